package main_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// nested returns a value nested to a depth.
func nested(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// oddEntry returns the text of a target's entry in which another writer has replaced a part.
func oddEntry(before, after string) string {
	const entry = `{"service":"one","address":"127.0.0.1:9","zone":"a","slots":2,"state":"ready","seq":1}`
	return strings.Replace(entry, before, after, 1)
}

// TestOddEntries guards against VMs that stop following the list of targets, or end, because of one entry of another writer. One VM reads the
// store, the other starts from a seed and gets its updates from the first.
func TestOddEntries(t *testing.T) {
	binary := build(t)
	for name, entry := range map[string]string{
		"nested too deep for an answer":    nested(20_000),
		"nested as deep as can be read":    nested(9_996),
		"nested too deep for a watch":      nested(9_997),
		"a field nested too deep":          oddEntry(`"seq":1`, `"seq":1,"extra":`+nested(20_000)),
		"objects nested too deep":          strings.Repeat(`{"a":`, 20_000) + "1" + strings.Repeat("}", 20_000),
		"not a value":                      oddEntry(`"slots":2`, `"slots":NaN`),
		"too large for a number":           oddEntry(`"slots":2`, `"slots":1e400`),
		"slots out of range":               oddEntry(`"slots":2`, `"slots":1e300`),
		"start out of range":               oddEntry(`"seq":1`, `"seq":1,"born":1e300`),
		"sequence out of range":            oddEntry(`"seq":1`, `"seq":-1e300`),
		"port out of range":                oddEntry(`:9"`, `:65536"`),
		"port zero":                        oddEntry(`:9"`, `:0"`),
		"no port":                          oddEntry(`:9"`, `"`),
		"no host":                          oddEntry(`127.0.0.1:9`, `:9`),
		"a name for a host":                oddEntry(`127.0.0.1:9`, `localhost:9`),
		"an unspecified host":              oddEntry(`127.0.0.1:9`, `0.0.0.0:9`),
		"a mapped unspecified host":        oddEntry(`127.0.0.1:9`, `[::ffff:0.0.0.0]:9`),
		"a host of many":                   oddEntry(`127.0.0.1:9`, `224.0.0.1:9`),
		"a host of all":                    oddEntry(`127.0.0.1:9`, `255.255.255.255:9`),
		"a host with a zone":               oddEntry(`127.0.0.1:9`, `[fe80::1%eth0]:9`),
		"longer than messages between VMs": oddEntry(`"seq":1`, `"seq":1,"extra":"`+strings.Repeat("x", 1<<20)+`"`),
	} {
		t.Run(name, func(t *testing.T) { playOddEntry(t, binary, entry) })
	}
}

// oddEntries is the number of odd entries that VMs read at a time.
const oddEntries = 17

func playOddEntry(t *testing.T, binary, odd string) {
	t.Helper()
	store := platformtest.NewStore(t)
	entries := 0
	put := func(name string) {
		entries++
		store.PutTarget(platformtest.NewTarget(t, name), "one", "a", "ready")
	}
	putOdd := func(name string) {
		entries++
		store.PutText("servers", name, odd)
	}
	for i := range oddEntries {
		putOdd(fmt.Sprintf("before-%d", i))
	}
	put("i-1")
	store.PutConfig(platformtest.Config(1))
	reader := startVM(t, binary, platformtest.Process{VM: "vm-a1", StoreAddress: store.Address()})
	follower := startVM(t, binary, platformtest.Process{VM: "vm-a2", StoreAddress: "127.0.0.1:1", Seeds: []string{strings.TrimPrefix(reader.peerURL, "http://")}})
	assertFollow := func(version int, targets ...string) {
		t.Helper()
		reader.awaitView(t, version, targets)
		follower.awaitView(t, version, targets)
	}
	assertFollow(1, "i-1")
	for i := range oddEntries {
		putOdd(fmt.Sprintf("meanwhile-%d", i))
	}
	put("i-2")
	assertFollow(1, "i-1", "i-2")
	putOdd("i-1") // under the id of a target
	assertFollow(1, "i-2")
	put("i-1")
	store.Put("servers", "i-2", nil)
	store.PutConfig(platformtest.Config(2))
	assertFollow(2, "i-1")
	assert.Equal(t, post(t, reader, func() {}), http.StatusOK)
	assert.Equal(t, post(t, follower, func() {}), http.StatusOK)
	assert.Assert(t, store.Watches("servers") <= entries+1, "%d watches for %d changes", store.Watches("servers"), entries)
}

// TestOtherConfigurations guards against a VM that takes another object of the kind for the configuration and no longer follows the real one.
func TestOtherConfigurations(t *testing.T) {
	store := platformtest.NewStore(t)
	store.PutTarget(platformtest.NewTarget(t, "i-1"), "one", "a", "ready")
	store.PutConfig(platformtest.Config(1))
	store.PutText("config", "other", `{"version":7,"routes":[]}`)
	process := startProcess(t, build(t), store)
	process.awaitView(t, 1, []string{"i-1"})
	store.PutConfig(platformtest.Config(2))
	store.PutText("config", "other", nested(20_000))
	process.awaitView(t, 2, []string{"i-1"})
	store.PutConfig(platformtest.Config(3))
	process.awaitView(t, 3, []string{"i-1"})
}

// TestUnreadableConfiguration guards against a VM that cannot start because another one hands it a configuration that nobody can read.
func TestUnreadableConfiguration(t *testing.T) {
	binary := build(t)
	store := platformtest.NewStore(t)
	store.PutTarget(platformtest.NewTarget(t, "i-1"), "one", "a", "ready")
	store.PutConfig(platformtest.Config(1))
	reader := startProcess(t, binary, store)
	store.PutText("config", "main", nested(20_000))
	store.PutTarget(platformtest.NewTarget(t, "i-2"), "one", "a", "ready") // once it is known, so is the configuration
	reader.awaitView(t, 1, []string{"i-1", "i-2"})
	follower := startVM(t, binary, platformtest.Process{VM: "vm-a2", StoreAddress: "127.0.0.1:1", Seeds: []string{strings.TrimPrefix(reader.peerURL, "http://")}})
	follower.awaitView(t, 1, []string{"i-1", "i-2"})
	store.PutConfig(platformtest.Config(2))
	reader.awaitView(t, 2, []string{"i-1", "i-2"})
	follower.awaitView(t, 2, []string{"i-1", "i-2"})
}

// awaitView waits until the process has a version of the configuration and exactly these targets.
func (process *process) awaitView(t *testing.T, version int, targets []string) {
	t.Helper()
	var known []string
	var dump struct {
		Version int
		Servers []struct{ ID, Service string }
	}
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		select {
		case <-process.exited:
			t.Fatal("the process has ended")
		default:
		}
		response, err := http.Get(process.peerURL + "/debug/dump")
		assert.NilError(t, err)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&dump))
		assert.NilError(t, response.Body.Close())
		known = nil
		for _, server := range dump.Servers {
			if server.Service == "one" {
				known = append(known, server.ID)
			}
		}
		if dump.Version == version && slices.Equal(known, targets) {
			return
		}
	}
	t.Fatalf("version %d with the targets %v, not version %d with %v", dump.Version, known, version, targets)
}

// TestOddTargetID guards against an entry whose id ends the head of a call, so that its target runs requests that no client has sent.
func TestOddTargetID(t *testing.T) {
	var smuggled atomic.Int64
	target := platformtest.NewTruncatingTarget(t, func(request *http.Request) platformtest.Truncated {
		if request.URL.Path == "/o/smuggled" {
			smuggled.Add(1)
		}
		return platformtest.Truncated{Ending: platformtest.Kept, Bytes: "HTTP/1.1 200 OK\r\n" + platformtest.IDField(platformtest.RequestID(request)) +
			platformtest.StampField("stamp-2") + "Content-Length: 0\r\n\r\n"}
	})
	store := platformtest.NewStore(t)
	odd := "i-2\r\n\r\nGET /o/smuggled HTTP/1.1\r\nHost: h\r\nX-Request-Id: 1"
	store.Put("servers", odd, platformtest.TargetSpec("one", target.Address, "a", "ready"))
	store.PutConfig(platformtest.Config(1))
	process := startProcess(t, build(t), store)
	post(t, process, func() {})
	assert.Check(t, smuggled.Load() == 0, "%d requests", smuggled.Load())
	store.PutTarget(platformtest.NewTarget(t, "i-1"), "one", "a", "ready")
	process.awaitView(t, 1, []string{"i-1"})
}

// TestManyOddEntries guards against entries that are together longer than a message, so that a VM that depends on another one knows no targets.
func TestManyOddEntries(t *testing.T) {
	binary := build(t)
	store := platformtest.NewStore(t)
	for i := range 1500 {
		store.PutText("servers", fmt.Sprintf("odd-%d", i), oddEntry(`"slots":2`, `"slots":0,"extra":"`+strings.Repeat("x", 15_000)+`"`))
	}
	store.PutTarget(platformtest.NewTarget(t, "i-1"), "one", "a", "ready")
	store.PutConfig(platformtest.Config(1))
	reader := startVM(t, binary, platformtest.Process{VM: "vm-a1", StoreAddress: store.Address()})
	reader.awaitView(t, 1, []string{"i-1"})
	follower := startVM(t, binary, platformtest.Process{VM: "vm-a2", StoreAddress: "127.0.0.1:1", Seeds: []string{strings.TrimPrefix(reader.peerURL, "http://")}})
	follower.awaitView(t, 1, []string{"i-1"})
}

// TestEntryUnderVMName guards against an entry of a target under the name of a VM, which would take this VM out of the list of VMs.
func TestEntryUnderVMName(t *testing.T) {
	binary := build(t)
	for name, odd := range map[string]string{"odd": "[]", "usable": oddEntry("", "")} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore(t)
			store.PutConfig(platformtest.Config(1))
			store.PutTarget(platformtest.NewTarget(t, "i-1"), "one", "a", "ready")
			reader := startVM(t, binary, platformtest.Process{VM: "vm-a1", StoreAddress: store.Address()})
			follower := startVM(t, binary, platformtest.Process{VM: "vm-a2", StoreAddress: "127.0.0.1:1", Seeds: []string{strings.TrimPrefix(reader.peerURL, "http://")}})
			follower.awaitView(t, 1, []string{"i-1"})
			store.PutText("servers", "vm-a1", odd)
			store.PutConfig(platformtest.Config(2))
			follower.awaitView(t, 2, []string{"i-1"})
			time.Sleep(5 * time.Second) // subscriptions end within 2.5 s
			store.PutConfig(platformtest.Config(3))
			follower.awaitView(t, 3, []string{"i-1"})
		})
	}
}
