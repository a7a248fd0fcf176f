package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/corpustest"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

// TestStateOfLandedBuilds guards against a VM that starts beside VMs of an earlier build and cannot use their state.
func TestStateOfLandedBuilds(t *testing.T) {
	corpustest.Run(t, func(t *testing.T, _ string, recording []byte) {
		state, err := peer.Decode[seedState](recording)
		assert.NilError(t, err)
		assert.NilError(t, state.StoreUpdate.Validate())
		gateway := newTestGateway()
		gateway.mu.Lock()
		defer gateway.mu.Unlock()
		gateway.applyUpdate("seed", state.StoreUpdate)
		assert.Equal(t, gateway.table.Load().Version, int64(1))
		assert.Equal(t, gateway.fleet.Len(), 6)
		assert.Equal(t, len(state.EntryVMs), 1)
		assert.Equal(t, state.EntryVMs[0].Name, "a1")
	})
}

// TestGreetingsAreForgotten guards against a VM that is taken for one of the build that it had, and against names that take up memory.
func TestGreetingsAreForgotten(t *testing.T) {
	gateway := newTestGateway()
	gateway.setPeers([]platform.VM{{Name: "vm-a2", FailureDomain: "a", Address: "127.0.0.1:1"}})
	for _, vm := range []string{"vm-a2", "gone"} {
		gateway.Greeted(rpc.Hello{VM: vm, Capabilities: rpc.OwnCapabilities()})
	}
	gateway.setPeers([]platform.VM{{Name: "vm-a2", FailureDomain: "a", Address: "127.0.0.1:1"}})
	assert.Equal(t, len(gateway.Dump().Peers), 1)
	relays := func(kind place.RelayKind) bool {
		_, ok := gateway.fleet.ChooseRelay(time.Now(), kind, "r", "a", nil, func(string) bool { return true })
		return ok
	}
	assertRelays := func(named, merged bool, capabilities ...rpc.Capability) {
		t.Helper()
		gateway.Greeted(rpc.Hello{VM: "vm-a2", Capabilities: capabilities})
		assert.Equal(t, relays(place.NamedCalls), named)
		assert.Equal(t, relays(place.MergedCalls), merged)
	}
	assertRelays(true, true, rpc.OwnCapabilities()...)
	assertRelays(false, false)
	assertRelays(true, false, rpc.NamedTargets)
	assertRelays(false, false, rpc.RecordLimit)
	assertRelays(true, true, rpc.OwnCapabilities()...)
}
