package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// targetObjects returns the store's objects of targets, with these revisions by id.
func targetObjects(t *testing.T, revisions map[string]int64) []platform.Object {
	t.Helper()
	var objects []platform.Object
	for id, revision := range revisions {
		spec, err := json.Marshal(platformtest.TargetSpec("one", "127.0.0.1:1", "a", "ready"))
		assert.NilError(t, err)
		objects = append(objects, platform.Object{Name: id, Revision: revision, Spec: spec})
	}
	return objects
}

// listTargets applies a list of targets as the store returns it at a revision.
func (gateway *Gateway) listTargets(t *testing.T, revision int64, afterOutage bool, revisions map[string]int64) {
	t.Helper()
	gateway.applyList(platform.TargetsKind, targetObjects(t, revisions), platform.Position{Revision: revision}, afterOutage)
}

// follow subscribes a VM to the updates of another one.
func (gateway *Gateway) follow(source *Gateway) {
	gateway.mu.Lock()
	revisions := gateway.revisions()
	gateway.mu.Unlock()
	source.subscribe("vm-a2", func(_ string, update any) { gateway.receiveUpdate("vm-a1", update.(rpc.StoreUpdate)) }, revisions)
}

// assertTargets asserts which targets a VM may call.
func assertTargets(t *testing.T, gateway *Gateway, want ...string) {
	t.Helper()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	assert.DeepEqual(t, slices.Sorted(slices.Values(gateway.fleet.EndpointIDs("one", "a"))), want)
}

// TestUnseenDeletions guards against a VM that keeps a deleted target for good: its source has not seen the deletion, as it listed the store after it,
// and sent changes only.
func TestUnseenDeletions(t *testing.T) {
	t.Run("the source has restarted", func(t *testing.T) {
		source, follower := newTestGateway(), newTestGateway()
		follower.listTargets(t, 5, false, map[string]int64{"i-1": 2, "i-2": 5})
		source.listTargets(t, 9, false, map[string]int64{"i-1": 2})
		follower.follow(source)
		assertTargets(t, follower, "i-1")
	})
	t.Run("the source lists anew while it is followed by a VM that knows more", func(t *testing.T) {
		source, follower := newTestGateway(), newTestGateway()
		source.listTargets(t, 3, false, map[string]int64{"i-1": 2})
		follower.listTargets(t, 5, false, map[string]int64{"i-1": 2, "i-2": 5})
		follower.follow(source)
		assertTargets(t, follower, "i-1", "i-2")
		source.listTargets(t, 9, false, map[string]int64{"i-1": 2, "i-3": 8})
		assertTargets(t, follower, "i-1", "i-3")
	})
	t.Run("a target that an outage may have removed keeps its grace period", func(t *testing.T) {
		source, follower := newTestGateway(), newTestGateway()
		source.listTargets(t, 5, false, map[string]int64{"i-1": 2, "i-2": 5})
		follower.follow(source)
		source.listTargets(t, 9, true, map[string]int64{"i-1": 2})
		assertTargets(t, follower, "i-1", "i-2")
		follower.mu.Lock()
		defer follower.mu.Unlock()
		assert.DeepEqual(t, follower.fleet.Expire(time.Now().Add(time.Minute)), []string{"i-2"})
	})
}

// TestLateSeedState guards against targets and VMs that have left and come back from the older state of a seed, which answers after the store.
func TestLateSeedState(t *testing.T) {
	gateway, older := newTestGateway(), newTestGateway()
	older.listTargets(t, 5, false, map[string]int64{"i-1": 2, "i-2": 5})
	older.setPeers([]platform.VM{{Name: "vm-gone", FailureDomain: "a", Address: "127.0.0.1:1"}})
	config, err := json.Marshal(platformtest.Config(1))
	assert.NilError(t, err)
	older.applyList(platform.ConfigKind, []platform.Object{{Name: platform.ConfigName, Revision: 1, Spec: config}}, platform.Position{Revision: 5}, false)
	store := platformtest.NewStore(t)
	gateway.currentStoreAddress.Store(new(store.Address()))
	seed := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { // the store answers first
		gateway.listTargets(t, 9, false, map[string]int64{"i-1": 2})
		_, err := gateway.readPeers(t.Context(), gateway.newStore(platform.VMsKind), false)
		assert.NilError(t, err)
		older.serveState(writer, request)
	}))
	t.Cleanup(seed.Close)
	assert.NilError(t, gateway.requestSeedState(context.Background(), http.DefaultClient, strings.TrimPrefix(seed.URL, "http://")))
	assertTargets(t, gateway, "i-1")
	assert.Equal(t, len(gateway.peers), 0)
	assert.Equal(t, gateway.table.Load().Version, int64(1))
}

// TestSeedStatus guards against a state that a VM takes from a response that is no success.
func TestSeedStatus(t *testing.T) {
	older := newTestGateway()
	older.listTargets(t, 5, false, map[string]int64{"i-1": 2})
	config, err := json.Marshal(platformtest.Config(1))
	assert.NilError(t, err)
	older.applyList(platform.ConfigKind, []platform.Object{{Name: platform.ConfigName, Revision: 1, Spec: config}}, platform.Position{Revision: 5}, false)
	state := httptest.NewRecorder()
	older.serveState(state, httptest.NewRequest(http.MethodGet, statePath, nil))
	request := func(status string) error {
		seed := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
			return platformtest.Truncated{Bytes: platformtest.InvalidResponses(status, state.Body.String())["a body"], Ending: platformtest.Kept}
		})
		return newTestGateway().requestSeedState(t.Context(), http.DefaultClient, seed.Address)
	}
	assert.NilError(t, request("200"))
	for _, status := range append(platformtest.InvalidStatuses(), "404", "500") {
		assert.Check(t, request(status) != nil, status)
	}
}
