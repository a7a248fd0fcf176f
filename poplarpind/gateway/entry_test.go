package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// storedEntry returns the entry of the VM in the store.
func storedEntry(t *testing.T, store *platformtest.Store, gateway *Gateway) platform.VM {
	t.Helper()
	spec, ok := store.Specs("entryvms")[gateway.settings.VM]
	assert.Assert(t, ok, "no entry")
	vm := platform.VM{}
	assert.NilError(t, json.Unmarshal(spec, &vm))
	return vm
}

// TestEntryOfEarlierProcess guards against a VM that runs with the entry of its earlier process, which a late deletion by that process removes.
func TestEntryOfEarlierProcess(t *testing.T) {
	store := platformtest.NewStore(t)
	newProcess := func() (*Gateway, func() bool) {
		gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a", IP: "127.0.0.1", InternalPorts: [2]int{7000, 7010}}, "test", zap.NewNop())
		gateway.currentStoreAddress.Store(new(store.Address()))
		client := gateway.newStore(platform.VMsKind)
		t.Cleanup(client.Close)
		return gateway, func() bool {
			entered, err := gateway.readPeers(t.Context(), client, true)
			assert.NilError(t, err)
			return entered
		}
	}
	earlier, read := newProcess()
	assert.Assert(t, read())
	assert.Equal(t, storedEntry(t, store, earlier).Incarnation, earlier.quotas.incarnation)
	next, read := newProcess()
	assert.Assert(t, !read()) // its clients know the VM, so that it serves at once
	assert.Equal(t, storedEntry(t, store, next).Incarnation, earlier.quotas.incarnation)
	assert.Assert(t, !read())
	assert.Equal(t, storedEntry(t, store, next).Incarnation, next.quotas.incarnation)
	earlier.deregister(t.Context())
	assert.Equal(t, storedEntry(t, store, next).Incarnation, next.quotas.incarnation)
	next.deregister(t.Context())
	assert.Equal(t, len(store.Names("entryvms")), 0)
}

// TestMissingEntry guards against a VM whose entry was removed and that learns of it only at its next regular read of the list of VMs.
func TestMissingEntry(t *testing.T) {
	source, follower := newTestGateway(), newTestGateway()
	var updates []rpc.StoreUpdate
	subscribe := func(peers ...platform.VM) rpc.StoreUpdate {
		source.setPeers(peers)
		source.mu.Lock()
		source.peersReadAt = time.Now()
		source.mu.Unlock()
		source.subscribe("vm-a2", func(_ string, update any) { updates = append(updates, update.(rpc.StoreUpdate)) }, rpc.StoreRevisions{})
		return updates[len(updates)-1]
	}
	assert.Assert(t, !subscribe(platform.VM{Name: "vm-a2", FailureDomain: "a"}).Unlisted)
	update := subscribe(platform.VM{Name: "vm-a3", FailureDomain: "a"})
	assert.Assert(t, update.Unlisted)
	follower.plan.Source = "vm-a1"
	follower.receiveUpdate("vm-b1", update)
	assert.Equal(t, len(follower.entryMissing), 0)
	update.StoreReachable = true
	follower.receiveUpdate("vm-a1", update)
	assert.Equal(t, len(follower.entryMissing), 1)
	assert.Assert(t, follower.waitForPeersRead(t.Context(), time.Hour, 0))
	follower.peersReadAt = time.Now() // the entry may not be in the source's list yet
	follower.receiveUpdate("vm-a1", update)
	assert.Equal(t, len(follower.entryMissing), 0)
}
