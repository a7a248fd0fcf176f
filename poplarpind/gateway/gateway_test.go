package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/gateway"
)

const waitTimeout = 20 * time.Second // generous, since no result depends on how long a condition takes

// vm is a running gateway and the listener for its clients.
type vm struct {
	gateway     *gateway.Gateway
	clients     *httptest.Server
	peerAddress string
}

func newSettings(t *testing.T, name, domain string, store *platformtest.Store, seeds ...string) platform.Settings {
	t.Helper()
	addresses, err := platformtest.FreeAddresses()
	assert.NilError(t, err)
	return platform.Settings{VM: name, FailureDomain: domain, IP: "127.0.0.1", InternalPorts: [2]int{addresses.InternalPort, 0},
		PeerAddress: addresses.Peers, StoreAddress: store.Address(), Seeds: seeds,
		Bounds: platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 50, MaxEvacuateDelay: 5 * time.Second}}
}

func startVM(t *testing.T, name, domain string, store *platformtest.Store, seeds ...string) *vm {
	t.Helper()
	return startVMWith(t, newSettings(t, name, domain, store, seeds...), zap.NewNop())
}

func startVMWithin(t *testing.T, bounds platform.Bounds, name, domain string, store *platformtest.Store, seeds ...string) *vm {
	t.Helper()
	settings := newSettings(t, name, domain, store, seeds...)
	settings.Bounds = bounds
	return startVMWith(t, settings, zap.NewNop())
}

func startVMWith(t *testing.T, settings platform.Settings, log *zap.Logger) *vm {
	t.Helper()
	started := &vm{gateway: gateway.New(settings, "test", log), peerAddress: settings.PeerAddress}
	ctx, cancel := context.WithCancel(context.Background())
	assert.NilError(t, started.gateway.Start(ctx))
	started.clients = httptest.NewServer(platform.NewIngress(started.gateway, platform.NewBodies(1<<20)))
	t.Cleanup(func() { started.clients.Close(); cancel() })
	return started
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func (vm *vm) do(t *testing.T, method, path string, body []byte) *http.Response {
	t.Helper()
	request := platformtest.NewRequest(t, method, vm.clients.URL+path, body)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// newDeployment returns a store that holds a configuration and targets, and the targets by ID.
func newDeployment(t *testing.T) (*platformtest.Store, map[string]*platformtest.Target) {
	t.Helper()
	store, targets := platformtest.NewStore(t), map[string]*platformtest.Target{}
	for service, ids := range map[string][]string{"s1": {"i-1"}, "s2": {"i-2"}, "one": {"i-3", "i-4"}} {
		for _, id := range ids {
			targets[id] = platformtest.NewTarget(t, id)
			store.Put("servers", id, targets[id].Spec(service, "a", "ready"))
		}
	}
	store.Put("config", "main", platformtest.Config(1))
	return store, targets
}

func TestServe(t *testing.T) {
	store, targets := newDeployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	t.Run("a gather request is merged", func(t *testing.T) {
		response := vm.do(t, http.MethodGet, "/g/x", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, platformtest.MissingParts(response), "0")
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), fmt.Sprintf("%-16s%-16s", "i-2", "i-1"))
	})
	t.Run("a request without a route gets 404", func(t *testing.T) {
		assert.Equal(t, vm.do(t, http.MethodGet, "/none/", nil).StatusCode, 404)
	})
	t.Run("a request that may have run is not retried", func(t *testing.T) {
		broken := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		for _, id := range []string{"i-3", "i-4"} {
			targets[id].SetHandler(broken)
		}
		before := targets["i-3"].Calls.Load() + targets["i-4"].Calls.Load()
		assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", []byte("b")).StatusCode, 502)
		assert.Equal(t, targets["i-3"].Calls.Load()+targets["i-4"].Calls.Load(), before+1)
	})
	t.Run("a request that has not run is retried on another target", func(t *testing.T) {
		targets["i-3"].SetHandler(platformtest.Refuse)
		targets["i-4"].SetHandler(nil)
		for range 4 {
			assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", []byte("b")).StatusCode, 200)
		}
	})
	t.Run("a target's response to another request is discarded", func(t *testing.T) {
		targets["i-1"].SetHandler(platformtest.MismatchedReply)
		response := vm.do(t, http.MethodGet, "/g/x", nil)
		assert.Equal(t, response.StatusCode, 200)
		assert.Equal(t, platformtest.MissingParts(response), "1")
		targets["i-1"].SetHandler(nil)
	})
	t.Run("a body over the configured limit is rejected", func(t *testing.T) {
		assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", make([]byte, 2000)).StatusCode, 413)
	})
}

// TestNoConfiguration checks that a VM without a configuration refuses requests with a retry time and reports that it is not ready.
func TestNoConfiguration(t *testing.T) {
	vm := startVM(t, "vm-a1", "a", platformtest.NewStore(t))
	response := vm.do(t, http.MethodGet, "/g/x", nil)
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, !vm.gateway.Ready())
}

// TestStoreChanges checks that changes of the store are applied, and that neither malformed entries, nor an older configuration,
// nor an outage of the store disturb requests.
func TestStoreChanges(t *testing.T) {
	store, targets := newDeployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	t.Run("a draining target gets no more calls", func(t *testing.T) {
		store.Put("servers", "i-3", targets["i-3"].Spec("one", "a", "draining"))
		waitFor(t, "the change of state", func() bool { return vm.gateway.Dump().Endpoint("i-3").State == "draining" })
		before := targets["i-3"].Calls.Load()
		for range 5 {
			assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", nil).StatusCode, 200)
		}
		assert.Equal(t, targets["i-3"].Calls.Load(), before)
	})
	t.Run("a malformed entry adds no target", func(t *testing.T) {
		store.Put("servers", "i-9", map[string]any{"service": "one", "state": 7})
		store.Put("servers", "i-8", "nothing")
		store.Put("config", "main", platformtest.Config(2))
		waitFor(t, "the next configuration", func() bool { return vm.gateway.Dump().ConfigVersion == 2 })
		assert.Equal(t, vm.gateway.Dump().Endpoint("i-9").State, place.State(""))
		assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", nil).StatusCode, 200)
	})
	t.Run("an older configuration is not applied", func(t *testing.T) {
		store.Put("config", "main", platformtest.Config(1))
		store.Put("config", "main", platformtest.Config(3))
		waitFor(t, "the newest configuration", func() bool { return vm.gateway.Dump().ConfigVersion == 3 })
	})
	t.Run("requests are served during an outage of the store", func(t *testing.T) {
		store.SetDown(true)
		assert.Equal(t, vm.do(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
		store.SetDown(false)
		store.Put("config", "main", platformtest.Config(4))
		waitFor(t, "the next configuration", func() bool { return vm.gateway.Dump().ConfigVersion == 4 })
	})
}

// TestSingleWatcher checks that one VM of a failure domain watches the store and that the others get its updates.
func TestSingleWatcher(t *testing.T) {
	store, _ := newDeployment(t)
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
	waitFor(t, "a single watcher", func() bool { return watching() == 1 })
	store.Put("config", "main", platformtest.Config(2))
	for _, vm := range vms {
		waitFor(t, "the new configuration", func() bool { return vm.gateway.Dump().ConfigVersion == 2 })
	}
}

// TestObservationsShared guards against latency observations that stop at the VM that watches the store: an observation by one of its
// subscribers must also reach the other subscribers, to which the observing VM has no link.
func TestObservationsShared(t *testing.T) {
	store, targets := newDeployment(t)
	vms := []*vm{startVM(t, "vm-a1", "a", store), startVM(t, "vm-a2", "a", store), startVM(t, "vm-a3", "a", store)}
	var subscribers []*vm
	waitFor(t, "a single watcher", func() bool {
		subscribers = nil
		for _, vm := range vms {
			if dump := vm.gateway.Dump(); !dump.WatchingStore && dump.Ready {
				subscribers = append(subscribers, vm)
			}
		}
		return len(subscribers) == len(vms)-1
	})
	for range 60 { // until the VM has a baseline latency for the route
		assert.Equal(t, subscribers[0].do(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
	}
	targets["i-1"].SetHandler(platformtest.Delayed(200 * time.Millisecond))
	for _, vm := range vms { // requests continue, as a VM that changes its source meanwhile misses an observation
		waitFor(t, "the shared observation", func() bool {
			assert.Equal(t, subscribers[0].do(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
			return vm.gateway.Dump().Endpoint("i-1").Slowness > 1
		})
	}
	targets["i-1"].SetHandler(nil)
}

// TestStartFromSeed checks that a VM which starts during an outage of the store becomes ready with the state of a seed.
func TestStartFromSeed(t *testing.T) {
	store, _ := newDeployment(t)
	first := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", first.gateway.Ready)
	store.SetDown(true)
	second := startVM(t, "vm-b1", "b", store, first.peerAddress)
	waitFor(t, "the state from the seed", second.gateway.Ready)
	assert.Equal(t, second.do(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
}

// TestTruncatedSeedState guards against a seed's state that stopped and is applied as if it were whole, so that targets vanish.
func TestTruncatedSeedState(t *testing.T) {
	store, targets := newDeployment(t)
	first := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", first.gateway.Ready)
	response, err := http.Get("http://" + first.peerAddress + "/state")
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	state := strings.TrimSpace(string(data))
	var answers []string
	for _, shape := range platformtest.ResponseShapes(state) {
		if shape.Name == "no length" || shape.Name == "chunks" {
			for _, sent := range []int{len(shape.Head) - 1, len(shape.Head), len(shape.Head) + len(shape.Body)/2, len(shape.Bytes()) - 1} {
				answers = append(answers, shape.Bytes()[:sent])
			}
		}
	}
	answers = append(answers, platformtest.ResponseShapes(state)[0].Bytes())
	var asked atomic.Int64
	seed := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
		return platformtest.Truncated{Bytes: answers[min(int(asked.Add(1)), len(answers))-1], Ending: platformtest.Closed}
	})
	store.SetDown(true)
	second := startVM(t, "vm-a2", "a", store, seed.Address)
	waitFor(t, "the state from the seed", second.gateway.Ready)
	assert.Equal(t, asked.Load(), int64(len(answers)))
	for id := range targets {
		assert.Assert(t, second.gateway.Dump().Endpoint(id).State == "ready", id)
	}
}

// TestSettingsChange guards against a settings watch that ends at a malformed file, such as one that is being written: new seeds
// and a new store address must be applied without a signal once the file is valid.
func TestSettingsChange(t *testing.T) {
	vm := startVM(t, "vm-a1", "a", platformtest.NewStore(t))
	path := filepath.Join(t.TempDir(), "boot.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }
	write("{")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go vm.gateway.WatchSettings(ctx, path)
	write(platformtest.Settings("127.0.0.1:8", "10.0.0.9:7302"))
	waitFor(t, "the new store address", func() bool { return vm.gateway.Dump().StoreAddress == "127.0.0.1:8" })
	assert.DeepEqual(t, vm.gateway.Dump().Seeds, []string{"10.0.0.9:7302"})
}
