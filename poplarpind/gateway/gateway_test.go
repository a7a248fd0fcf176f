package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/gateway"
)

const patience = 20 * time.Second // for conditions that are waited for; no verdict depends on how long they take

func freePort(t *testing.T) int {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).Port
}

// vm is a gateway with its listeners.
type vm struct {
	gateway *gateway.Gateway
	clients *httptest.Server
	peers   string
}

func startVM(t *testing.T, name, domain string, store *platformtest.Store, seeds ...string) *vm {
	t.Helper()
	settings := platform.Settings{VM: name, FailureDomain: domain, IP: "127.0.0.1", InternalPorts: [2]int{freePort(t), 0},
		PeerAddress: net.JoinHostPort("127.0.0.1", strconv.Itoa(freePort(t))), StoreAddress: store.Address(), Seeds: seeds,
		Bounds: platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 50}}
	started := &vm{gateway: gateway.New(settings, zap.NewNop()), peers: settings.PeerAddress}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, started.gateway.Start(ctx))
	started.clients = httptest.NewServer(platform.NewIngress(started.gateway))
	t.Cleanup(func() { started.clients.Close(); cancel() })
	return started
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("waited in vain: %s", what)
}

func (vm *vm) ask(t *testing.T, method, path string, body []byte) *http.Response {
	t.Helper()
	request := platformtest.NewRequest(t, method, vm.clients.URL+path, body)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// deployment is a store with a configuration and servers.
func deployment(t *testing.T) (*platformtest.Store, map[string]*platformtest.Target) {
	t.Helper()
	store, servers := platformtest.NewStore(t), map[string]*platformtest.Target{}
	for service, names := range map[string][]string{"s1": {"i-1"}, "s2": {"i-2"}, "one": {"i-3", "i-4"}} {
		for _, id := range names {
			servers[id] = platformtest.NewTarget(t, id)
			store.Put("servers", id, servers[id].Spec(service, "a", "ready"))
		}
	}
	store.Put("config", "main", platformtest.Config(1))
	return store, servers
}

func TestServe(t *testing.T) {
	store, servers := deployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	t.Run("a gather request is merged", func(t *testing.T) {
		response := vm.ask(t, http.MethodGet, "/g/x", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, platformtest.MissingParts(response), "0")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprintf("%-16s%-16s", "i-2", "i-1"))
	})
	t.Run("no route", func(t *testing.T) {
		assert.Equal(t, vm.ask(t, http.MethodGet, "/none/", nil).StatusCode, 404)
	})
	t.Run("a request that may have run is not sent again", func(t *testing.T) {
		broken := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		for _, id := range []string{"i-3", "i-4"} {
			servers[id].SetHandler(broken)
		}
		before := servers["i-3"].Calls.Load() + servers["i-4"].Calls.Load()
		assert.Equal(t, vm.ask(t, http.MethodPost, "/o/x", []byte("b")).StatusCode, 502)
		assert.Equal(t, servers["i-3"].Calls.Load()+servers["i-4"].Calls.Load(), before+1)
	})
	t.Run("one that has not run is sent to another server", func(t *testing.T) {
		servers["i-3"].SetHandler(platformtest.Refuse)
		servers["i-4"].SetHandler(nil)
		for range 4 {
			assert.Equal(t, vm.ask(t, http.MethodPost, "/o/x", []byte("b")).StatusCode, 200)
		}
	})
	t.Run("a server's answer to another request is not passed on", func(t *testing.T) {
		servers["i-1"].SetHandler(platformtest.MismatchedReply)
		response := vm.ask(t, http.MethodGet, "/g/x", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, platformtest.MissingParts(response), "1")
		servers["i-1"].SetHandler(nil)
	})
	t.Run("a body over the configuration's limit", func(t *testing.T) {
		assert.Equal(t, vm.ask(t, http.MethodPost, "/o/x", make([]byte, 2000)).StatusCode, 413)
	})
}

func TestNoConfiguration(t *testing.T) {
	vm := startVM(t, "vm-a1", "a", platformtest.NewStore(t))
	response := vm.ask(t, http.MethodGet, "/g/x", nil)
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, !vm.gateway.Ready())
}

func TestChanges(t *testing.T) {
	store, servers := deployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	t.Run("a server that leaves gets nothing more", func(t *testing.T) {
		store.Put("servers", "i-3", servers["i-3"].Spec("one", "a", "draining"))
		waitFor(t, "the change", func() bool { return vm.gateway.Dump().Endpoint("i-3").State == "draining" })
		before := servers["i-3"].Calls.Load()
		for range 5 {
			assert.Equal(t, vm.ask(t, http.MethodPost, "/o/x", nil).StatusCode, 200)
		}
		assert.Equal(t, servers["i-3"].Calls.Load(), before)
	})
	t.Run("an entry of another writer names no server", func(t *testing.T) {
		store.Put("servers", "i-9", map[string]any{"service": "one", "state": 7})
		store.Put("servers", "i-8", "nothing")
		store.Put("config", "main", platformtest.Config(2))
		waitFor(t, "the change after it", func() bool { return vm.gateway.Dump().ConfigVersion == 2 })
		assert.Equal(t, vm.gateway.Dump().Endpoint("i-9").State, place.State(""))
		assert.Equal(t, vm.ask(t, http.MethodPost, "/o/x", nil).StatusCode, 200)
	})
	t.Run("an older configuration does not come back", func(t *testing.T) {
		store.Put("config", "main", platformtest.Config(1))
		store.Put("config", "main", platformtest.Config(3))
		waitFor(t, "the newest", func() bool { return vm.gateway.Dump().ConfigVersion == 3 })
	})
	t.Run("the store's outage does not end service", func(t *testing.T) {
		store.SetDown(true)
		assert.Equal(t, vm.ask(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
		store.SetDown(false)
		store.Put("config", "main", platformtest.Config(4))
		waitFor(t, "the change after it", func() bool { return vm.gateway.Dump().ConfigVersion == 4 })
	})
}

func TestOneWatcher(t *testing.T) {
	store, _ := deployment(t)
	vms := []*vm{startVM(t, "vm-a1", "a", store), startVM(t, "vm-a2", "a", store), startVM(t, "vm-a3", "a", store)}
	watching := func() int {
		count := 0
		for _, vm := range vms {
			if vm.gateway.Dump().WatchingStore {
				count++
			}
		}
		return count
	}
	waitFor(t, "one watcher", func() bool { return watching() == 1 })
	store.Put("config", "main", platformtest.Config(2))
	for _, vm := range vms {
		waitFor(t, "the news", func() bool { return vm.gateway.Dump().ConfigVersion == 2 })
	}
}

// TestShared checks that what the calls of one VM show of a server reaches the others of its failure domain, also those that
// it has no link to.
func TestShared(t *testing.T) {
	store, servers := deployment(t)
	vms := []*vm{startVM(t, "vm-a1", "a", store), startVM(t, "vm-a2", "a", store), startVM(t, "vm-a3", "a", store)}
	var readers []*vm
	waitFor(t, "one watcher", func() bool {
		readers = nil
		for _, vm := range vms {
			if dump := vm.gateway.Dump(); !dump.WatchingStore && dump.Ready {
				readers = append(readers, vm)
			}
		}
		return len(readers) == len(vms)-1
	})
	for range 60 { // until the VM knows how long calls of the route take
		assert.Equal(t, readers[0].ask(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
	}
	servers["i-1"].SetHandler(platformtest.Delayed(200 * time.Millisecond))
	for _, vm := range vms { // asked on, as a VM may change its source meanwhile and miss what was told
		waitFor(t, "what the calls showed", func() bool {
			assert.Equal(t, readers[0].ask(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
			return vm.gateway.Dump().Endpoint("i-1").Slowness > 1
		})
	}
	servers["i-1"].SetHandler(nil)
}

func TestSeeds(t *testing.T) {
	store, _ := deployment(t)
	first := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", first.gateway.Ready)
	store.SetDown(true)
	second := startVM(t, "vm-b1", "b", store, first.peers)
	waitFor(t, "what the seed knows", second.gateway.Ready)
	assert.Equal(t, second.ask(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
}

// TestSettingsChange checks that seeds and the store's address follow the settings file without a signal, past a file that
// cannot be read.
func TestSettingsChange(t *testing.T) {
	vm := startVM(t, "vm-a1", "a", platformtest.NewStore(t))
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("{")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go vm.gateway.WatchSettings(ctx, path)
	write(platformtest.Settings("127.0.0.1:8", "10.0.0.9:7302"))
	waitFor(t, "the new address", func() bool { return vm.gateway.Dump().StoreAddress == "127.0.0.1:8" })
	assert.DeepEqual(t, vm.gateway.Dump().Seeds, []string{"10.0.0.9:7302"})
}
