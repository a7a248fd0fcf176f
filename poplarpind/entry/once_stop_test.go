package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/claim"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/release"
	"poplarpin.dev/core/search"
	"poplarpin.dev/poplarpind/entry"
	"poplarpin.dev/poplarpind/settings"
)

const (
	watchTime = 100 * time.Millisecond // after which the platform ends a watch without a change
	writeTime = 600 * time.Millisecond
)

// platform is an object store that refuses some of the writes and delays others.
type platform struct {
	*httptest.Server
	mu      sync.Mutex
	objects map[string]object.Object
	version int64
	refuses func(name, value string) bool // called under mu
	slow    string                        // prefix of the objects whose writes take writeTime
}

func newPlatform(t *testing.T) *platform {
	t.Helper()
	platform := &platform{objects: map[string]object.Object{}, refuses: func(string, string) bool { return false }}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+object.VMsPath, func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, `{"vms":[]}`) })
	mux.HandleFunc("GET "+object.ObjectsPath+"{name...}", platform.get)
	mux.HandleFunc("PUT "+object.ObjectsPath+"{name...}", platform.put)
	platform.Server = httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	return platform
}

func (platform *platform) get(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Query().Has("watch") {
		time.Sleep(watchTime)
	}
	found, ok := platform.object(request.PathValue("name"))
	if !ok {
		http.NotFound(writer, request)
		return
	}
	writer.Header().Set(object.VersionHeader, strconv.FormatInt(found.Version, 10))
	_, _ = writer.Write(found.Value)
}

func (platform *platform) put(writer http.ResponseWriter, request *http.Request) {
	name := request.PathValue("name")
	value, _ := io.ReadAll(request.Body)
	if platform.slow != "" && strings.HasPrefix(name, platform.slow) {
		time.Sleep(writeTime)
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	switch {
	case platform.refuses(name, string(value)):
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	case request.URL.Query().Get("version") != strconv.FormatInt(platform.objects[name].Version, 10):
		writer.WriteHeader(http.StatusConflict)
		return
	}
	platform.version++
	platform.objects[name] = object.Object{Name: name, Version: platform.version, Value: value}
	writer.Header().Set(object.VersionHeader, strconv.FormatInt(platform.version, 10))
}

func (platform *platform) object(name string) (object.Object, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	found, ok := platform.objects[name]
	return found, ok
}

// refuse makes the platform refuse a number of writes of the objects below a prefix, without those of held claims.
func (platform *platform) refuse(prefix string, count int) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.refuses = func(name, value string) bool {
		if !strings.HasPrefix(name, prefix) || strings.Contains(value, `"`+string(claim.Held)+`"`) {
			return false
		}
		count--
		return count >= 0
	}
}

// startVM starts a VM without peers and with one target, which answers each call with the given status and value.
func startVM(t *testing.T, platform *platform, status int, value any) *entry.VM {
	t.Helper()
	target := httptest.NewUnstartedServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_ = json.NewEncoder(writer).Encode(value)
	}))
	target.Config.Protocols = &http.Protocols{}
	target.Config.Protocols.SetUnencryptedHTTP2(true)
	target.Start()
	t.Cleanup(target.Close)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	extra := settings.DefaultExtra
	vm := entry.New(settings.Settings{Name: "vm-a", FailureDomain: "a", PeerAddress: listener.Addr().String(), Platform: platform.URL,
		Mode: settings.Owner, Extra: &extra}, zap.NewNop(), nil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	t.Cleanup(vm.Mesh().Close)
	go vm.Mesh().Serve(listener)
	go vm.Run(ctx)
	_, err = vm.Apply(ctx, release.Note{ID: "setup", Add: release.Objects{
		Classes: []config.Class{{Name: "alarm", Share: 0.5}},
		Targets: []config.Target{{Name: "heat-a", Address: target.Listener.Addr().String(), FailureDomain: "a", Slots: 2, Connections: 5}},
		Services: []config.Service{{Name: "heat", Classes: []string{"alarm"}, Deadline: config.Duration(10 * time.Second), MinCoverage: 1,
			ExtraCallRatio: 0.05}},
		Indexes: []config.Index{{Service: "heat", Version: 1, Shards: []config.Shard{{Name: "s0", To: 10, Documents: 10, Replicas: []string{"heat-a"}}}}},
	}})
	assert.NilError(t, err)
	return vm
}

// runOnce submits a request that runs once, and checks its outcome.
func runOnce(t *testing.T, vm *entry.VM, expected api.Outcome) {
	t.Helper()
	answer, err := vm.Query(context.Background(), api.Request{ID: "crew", Service: "heat", Query: "crew", NonIdempotent: true, Shard: "s0"})
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, expected, answer.Message)
}

// stop stops the VM as its process does.
func stop(vm *entry.VM, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	vm.Stop(ctx)
	vm.Leave(ctx)
}

// TestStopStoresOutcome guards against a claim that stays held, as the VM that knew the outcome has stopped before it was stored.
func TestStopStoresOutcome(t *testing.T) {
	for name, test := range map[string]struct {
		status   int
		reply    any
		outcome  api.Outcome
		expected claim.State
	}{
		"ran":     {http.StatusOK, search.Reply{RequestID: "crew", Version: 1, Shards: []search.ShardResult{{Name: "s0"}}}, api.Ran, claim.Completed},
		"not run": {http.StatusServiceUnavailable, search.Refusal{State: search.Shedding}, api.NotRun, claim.Released},
	} {
		t.Run(name, func(t *testing.T) {
			platform := newPlatform(t)
			vm := startVM(t, platform, test.status, test.reply)
			platform.refuse("claims/", 3)
			runOnce(t, vm, test.outcome)
			stop(vm, entry.StopTimeout(0))
			stored, _ := platform.object("claims/heat/crew")
			var found claim.Claim
			assert.NilError(t, json.Unmarshal(stored.Value, &found))
			assert.Equal(t, found.State, test.expected)
		})
	}
}

// TestStopWithoutPlatform guards against a planned stop that waits beyond its limit for a platform that is down.
func TestStopWithoutPlatform(t *testing.T) {
	platform := newPlatform(t)
	vm := startVM(t, platform, http.StatusServiceUnavailable, search.Refusal{State: search.Shedding})
	platform.refuse("claims/", 1000)
	runOnce(t, vm, api.NotRun)
	began := time.Now()
	stop(vm, time.Second)
	assert.Assert(t, time.Since(began) < 2*time.Second) // the VM makes attempts for 2.5 s or longer
}

// TestStopStoresNote guards against an accepted release whose note nobody can read, as the VM has stopped before it was stored.
func TestStopStoresNote(t *testing.T) {
	platform := newPlatform(t)
	platform.slow = "notes/"
	vm := startVM(t, platform, http.StatusOK, search.Reply{})
	stop(vm, entry.StopTimeout(0))
	_, stored := platform.object("notes/1")
	assert.Assert(t, stored)
}
