package gateway

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

// TestStateOfLandedBuilds guards against a VM that starts beside VMs of an earlier build and cannot use their state.
func TestStateOfLandedBuilds(t *testing.T) {
	for _, build := range []string{"0b73695", "3db0f72", "0fcc62c", "e92619e"} {
		t.Run(build, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", "builds", build+".json"))
			assert.NilError(t, err)
			state, err := peer.Decode[seedState](data)
			assert.NilError(t, err)
			assert.NilError(t, state.StoreUpdate.Validate())
			gateway := New(platform.Settings{VM: "vm-b1", FailureDomain: "b"}, "test", zap.NewNop())
			gateway.mu.Lock()
			defer gateway.mu.Unlock()
			gateway.applyUpdate("seed", state.StoreUpdate)
			assert.Equal(t, gateway.table.Load().Version, int64(1))
			assert.Equal(t, gateway.fleet.Len(), 6)
			assert.Equal(t, len(state.EntryVMs), 1)
			assert.Equal(t, state.EntryVMs[0].Name, "a1")
		})
	}
}

// TestGreetingsAreForgotten guards against a VM that is taken for one of the build that it had, and against names that take up memory.
func TestGreetingsAreForgotten(t *testing.T) {
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.NewNop())
	gateway.setPeers([]platform.VM{{Name: "vm-a2", FailureDomain: "a", Address: "127.0.0.1:1"}})
	for _, vm := range []string{"vm-a2", "gone"} {
		gateway.Greeted(rpc.Hello{VM: vm, Capabilities: rpc.OwnCapabilities()})
	}
	gateway.setPeers([]platform.VM{{Name: "vm-a2", FailureDomain: "a", Address: "127.0.0.1:1"}})
	assert.Equal(t, len(gateway.Dump().Peers), 1)
	relays := func() bool {
		_, ok := gateway.fleet.ChooseRelay(time.Now(), "r", "a", nil, func(string) bool { return true })
		return ok
	}
	assert.Assert(t, relays())
	gateway.Greeted(rpc.Hello{VM: "vm-a2"})
	assert.Assert(t, !relays())
	gateway.Greeted(rpc.Hello{VM: "vm-a2", Capabilities: rpc.OwnCapabilities()})
	assert.Assert(t, relays())
}
