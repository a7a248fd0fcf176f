package gateway_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/peer"
)

const testMaxViewAge = 1200 * time.Millisecond

// account returns the wire form of a client account.
func account(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys}
}

// accountConfig returns a configuration with accounts and a public route /p/ beside the other routes.
func accountConfig(version int, accounts ...map[string]any) map[string]any {
	config := platformtest.Config(version)
	config["routes"] = append(config["routes"].([]map[string]any), platformtest.PublicRoute("p", "/p/", "one"))
	if len(accounts) > 0 {
		config["tenants"] = accounts
	}
	return config
}

// received holds the headers of the last call that a target got.
type received struct {
	mu     sync.Mutex
	header http.Header
}

func (received *received) last() http.Header {
	received.mu.Lock()
	defer received.mu.Unlock()
	return received.header
}

// recordHeaders makes targets record the headers of their calls.
func recordHeaders(targets map[string]*platformtest.Target) *received {
	record := &received{}
	for id, target := range targets {
		target.SetHandler(func(writer http.ResponseWriter, request *http.Request) {
			record.mu.Lock()
			record.header = request.Header
			record.mu.Unlock()
			platformtest.Sign(writer, id)
			_, _ = writer.Write(make([]byte, platform.RecordSize))
		})
	}
	return record
}

// startAccounts starts a VM of a deployment with accounts.
func startAccounts(t *testing.T, log *zap.Logger, accounts ...map[string]any) (*vm, *platformtest.Store, *received) {
	t.Helper()
	store, targets := newDeployment(t)
	record := recordHeaders(targets)
	store.Put("config", "main", accountConfig(2, accounts...))
	settings := newSettings(t, "vm-a1", "a", store)
	settings.Bounds.MaxConfigDelay, settings.Regions = testMaxViewAge, map[string]string{"a": "north"}
	vm := startVMWith(t, settings, log)
	waitFor(t, "ready", vm.gateway.Ready)
	return vm, store, record
}

// configure applies a configuration of the next version.
func (vm *vm) configure(t *testing.T, store *platformtest.Store, config map[string]any) {
	t.Helper()
	config["version"] = vm.gateway.Dump().ConfigVersion + 1
	store.Put("config", "main", config)
	waitFor(t, "the next configuration", func() bool { return vm.gateway.Dump().ConfigVersion == config["version"] })
}

// doWith sends a request with these headers.
func (vm *vm) doWith(t *testing.T, path string, header http.Header) *http.Response {
	t.Helper()
	request := platformtest.NewRequest(t, http.MethodGet, vm.clients.URL+path, nil)
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

func (vm *vm) assertStatus(t *testing.T, key string, status int) {
	t.Helper()
	response := vm.doWith(t, "/o/x", bearer(key))
	assert.Equal(t, response.StatusCode, status)
	assert.Equal(t, response.Header.Get("Retry-After") != "", status == 503)
}

func assertAccount(t *testing.T, record *received, authorization, account []string) {
	t.Helper()
	assert.DeepEqual(t, record.last()["Authorization"], authorization)
	assert.DeepEqual(t, record.last()["X-Tenant"], account)
}

// TestKeys guards against requests that are served without a key of an account, or refused in spite of one.
func TestKeys(t *testing.T) {
	vm, _, record := startAccounts(t, zap.NewNop(), account("alpha", "k-1", "k-2"), account("beta", "k-3"))
	for name, test := range map[string]struct {
		authorization []string
		account       string // empty for a 401
	}{
		"known":             {[]string{"Bearer k-1"}, "alpha"},
		"second key":        {[]string{"Bearer k-2"}, "alpha"},
		"another account":   {[]string{"Bearer k-3"}, "beta"},
		"odd case":          {[]string{"bEARER k-1"}, "alpha"},
		"spaces":            {[]string{"  Bearer   k-1  "}, "alpha"},
		"unknown":           {[]string{"Bearer k-9"}, ""},
		"key in other case": {[]string{"Bearer K-1"}, ""},
		"missing":           {nil, ""},
		"empty":             {[]string{""}, ""},
		"scheme alone":      {[]string{"Bearer"}, ""},
		"key alone":         {[]string{"k-1"}, ""},
		"other scheme":      {[]string{"Basic k-1"}, ""},
		"longer scheme":     {[]string{"Bearer2 k-1"}, ""},
		"two keys":          {[]string{"Bearer k-1 k-2"}, ""},
		"two headers":       {[]string{"Bearer k-1", "Bearer k-1"}, ""},
		"list in a header":  {[]string{"Bearer k-1, Bearer k-1"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{"X-Tenant": {"forged", "beta"}}
			if test.authorization != nil {
				header["Authorization"] = test.authorization
			}
			response := vm.doWith(t, "/o/x", header)
			if test.account == "" {
				assert.Equal(t, response.StatusCode, 401)
				return
			}
			assert.Equal(t, response.StatusCode, 200)
			assertAccount(t, record, nil, []string{test.account})
		})
	}
	t.Run("a public route needs no key and passes neither header", func(t *testing.T) {
		for _, header := range []http.Header{nil, bearer("k-9"), {"Authorization": {"Basic x"}, "X-Tenant": {"beta"}}} {
			assert.Equal(t, vm.doWith(t, "/p/x", header).StatusCode, 200)
			assertAccount(t, record, nil, nil)
		}
	})
	t.Run("every call of a gather carries the account", func(t *testing.T) {
		assert.Equal(t, vm.doWith(t, "/g/x", bearer("k-1")).StatusCode, 200)
		assertAccount(t, record, nil, []string{"alpha"})
	})
}

// TestKeyChanges guards against requests on a kept connection that are checked against the configuration in force when it was opened.
func TestKeyChanges(t *testing.T) {
	vm, store, record := startAccounts(t, zap.NewNop(), account("alpha", "k-1"), account("beta", "k-2"))
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	connections := 0
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			connections++
		}
	}}
	check := func(key string, status int, account ...string) {
		t.Helper()
		request := platformtest.NewRequest(t, http.MethodGet, vm.clients.URL+"/o/x", nil)
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
		assert.NilError(t, err)
		_, _ = response.Body.Read(make([]byte, 1000)) // the connection is reused only after the body was read
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status)
		if len(account) > 0 {
			assert.DeepEqual(t, record.last()["X-Tenant"], account)
		}
	}
	check("k-1", 200, "alpha")
	check("k-3", 401)
	vm.configure(t, store, accountConfig(0, account("alpha", "k-1", "k-3"), account("beta", "k-2")))
	check("k-3", 200, "alpha")
	vm.configure(t, store, accountConfig(0, account("alpha"), account("beta", "k-1", "k-2", "k-3")))
	check("k-1", 200, "beta") // moved, with the last keys of alpha
	vm.configure(t, store, accountConfig(0, account("alpha"), account("beta")))
	check("k-2", 401) // the last keys of the last account, which still needs one
	check("", 401)
	vm.configure(t, store, accountConfig(0))
	check("k-1", 200)
	assertAccount(t, record, []string{"Bearer k-1"}, nil)
	assert.Equal(t, connections, 1)
}

// TestNoAccounts guards against changed headers in deployments without accounts.
func TestNoAccounts(t *testing.T) {
	vm, _, record := startAccounts(t, zap.NewNop())
	header := http.Header{"Authorization": {"Basic eDp5", "other"}, "X-Tenant": {"mine"}}
	for _, path := range []string{"/o/x", "/p/x", "/g/x"} {
		assert.Equal(t, vm.doWith(t, path, header).StatusCode, 200)
		assertAccount(t, record, header["Authorization"], header["X-Tenant"])
	}
}

// TestOutdatedView guards against a 401, which clients never retry, for a key that is in force on other VMs.
func TestOutdatedView(t *testing.T) {
	t.Run("a VM without a configuration refuses with a retry time", func(t *testing.T) {
		startVM(t, "vm-a1", "a", platformtest.NewStore(t)).assertStatus(t, "k-1", 503)
	})
	vm, store, _ := startAccounts(t, zap.NewNop(), account("alpha", "k-1"))
	t.Run("an idle VM that watches the store alone stays current", func(t *testing.T) {
		for range 4 {
			time.Sleep(testMaxViewAge / 2)
			vm.assertStatus(t, "k-2", 401)
		}
	})
	t.Run("an outdated view refuses only what it cannot know", func(t *testing.T) {
		store.SetDown(true)
		time.Sleep(testMaxViewAge + 100*time.Millisecond)
		assert.Assert(t, vm.gateway.Dump().ViewAge.Std() > testMaxViewAge)
		vm.assertStatus(t, "k-1", 200)
		vm.assertStatus(t, "k-2", 503)
		assert.Equal(t, vm.doWith(t, "/o/x", nil).StatusCode, 401)
		assert.Equal(t, vm.doWith(t, "/o/x", http.Header{"Authorization": {"Basic k-2"}}).StatusCode, 401)
	})
	t.Run("a view that is current again tells the keys apart", func(t *testing.T) {
		store.Put("config", "main", accountConfig(3, account("alpha", "k-2")))
		store.SetDown(false)
		waitFor(t, "the key of the next configuration", func() bool { return vm.doWith(t, "/o/x", bearer("k-2")).StatusCode != 503 })
		vm.assertStatus(t, "k-2", 200)
		waitFor(t, "a current view", func() bool { return vm.doWith(t, "/o/x", bearer("k-1")).StatusCode != 503 })
		vm.assertStatus(t, "k-1", 401)
	})
}

// TestSubscriberView checks that the view of a VM which gets its updates from another is as old as that VM's.
func TestSubscriberView(t *testing.T) {
	store, _ := newDeployment(t)
	store.Put("config", "main", accountConfig(2, account("alpha", "k-1")))
	var vms []*vm
	for _, name := range []string{"vm-a1", "vm-a2"} {
		settings := newSettings(t, name, "a", store)
		settings.Bounds.MaxConfigDelay = testMaxViewAge
		vms = append(vms, startVMWith(t, settings, zap.NewNop()))
	}
	for _, vm := range vms {
		waitFor(t, "a current view", func() bool { return vm.doWith(t, "/o/x", bearer("k-2")).StatusCode == 401 })
	}
	waitFor(t, "a single watcher", func() bool { return vms[0].gateway.Dump().WatchingStore != vms[1].gateway.Dump().WatchingStore })
	time.Sleep(testMaxViewAge)
	for _, vm := range vms {
		vm.assertStatus(t, "k-2", 401)
	}
	store.SetDown(true)
	time.Sleep(2 * testMaxViewAge)
	for _, vm := range vms {
		vm.assertStatus(t, "k-2", 503)
	}
}

// fakeRelay is an entry VM that records what it is asked to relay and refuses it.
type fakeRelay struct {
	peer.Handler
	gathers chan rpc.Gather
}

func (fakeRelay fakeRelay) Notify(_ string, reply peer.Reply, method string, params json.RawMessage) error {
	if method != rpc.MethodGather {
		return nil
	}
	return peer.Handle(params, func(gather rpc.Gather) {
		fakeRelay.gathers <- gather
		reply(rpc.MethodGatherResult, rpc.GatherResult{QueryID: gather.QueryID, Refused: true, Final: true})
	})
}

func (fakeRelay) Greeted(rpc.Hello) {}

func (fakeRelay) LinkDown(string) {}

func (fakeRelay) AwaitsReply(string) bool { return false }

// startRelay registers a fake entry VM of a failure domain with some capabilities.
func startRelay(t *testing.T, store *platformtest.Store, name, domain string, capabilities ...rpc.Capability) fakeRelay {
	t.Helper()
	relay := fakeRelay{gathers: make(chan rpc.Gather, 100)}
	links, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	mesh := peer.New(rpc.Hello{VM: name, Incarnation: 1, Capabilities: capabilities}, relay, nil)
	go mesh.Serve(links)
	t.Cleanup(func() { mesh.Close(); _ = links.Close() })
	store.Put("entryvms", name, map[string]any{"failureDomain": domain, "address": links.Addr().String(), "cores": 4})
	return relay
}

// TestRelayedAccount guards against a key in a message to another VM, and against relays outside the home regions.
func TestRelayedAccount(t *testing.T) {
	store, targets := platformtest.NewStore(t), map[string]*platformtest.Target{}
	var shards []string
	for i := range 6 {
		shard := "s" + strconv.Itoa(i)
		targets[shard], shards = platformtest.NewTarget(t, shard), append(shards, shard)
		store.Put("servers", shard, targets[shard].Spec(shard, "b", "ready"))
	}
	record := recordHeaders(targets)
	config := accountConfig(1, account("alpha", "k-1"), account("beta", "k-2"))
	config["tenants"].([]map[string]any)[1]["home_regions"] = []string{"north"}
	gather := config["routes"].([]map[string]any)[0]
	gather["gather"], gather["target_latency_ms"] = shards, 100
	store.Put("config", "main", config)
	relay := startRelay(t, store, "vm-b1", "b", rpc.OwnCapabilities()...)
	settings := newSettings(t, "vm-a1", "a", store)
	settings.Regions = map[string]string{"a": "north", "b": "south"}
	vm := startVMWith(t, settings, zap.NewNop())
	waitFor(t, "ready", vm.gateway.Ready)
	waitFor(t, "the relay", func() bool { return vm.gateway.Dump().Endpoint("vm-b1").State == "ready" })
	t.Run("the message names the account and has no key", func(t *testing.T) {
		assert.Equal(t, vm.doWith(t, "/g/x", http.Header{"Authorization": {"Bearer k-1"}, "X-Tenant": {"forged"}}).StatusCode, 200)
		head := string((<-relay.gathers).Head)
		assert.Assert(t, !containsAny(head, "k-1", "Authorization", "forged"), head)
		assert.Assert(t, containsAny(head, "X-Tenant: alpha\r\n"), head)
		assertAccount(t, record, nil, []string{"alpha"})
	})
	t.Run("outside the home regions neither relay nor target is asked", func(t *testing.T) {
		before, started := targets["s0"].Calls.Load(), time.Now()
		assert.Equal(t, vm.doWith(t, "/g/x", bearer("k-2")).StatusCode, 503)
		assert.Assert(t, time.Since(started) < 2*time.Second, "it waited for something")
		assert.Equal(t, targets["s0"].Calls.Load(), before)
		assert.Equal(t, len(relay.gathers), 0)
	})
}
