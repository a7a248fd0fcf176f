package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// TestMovedStore guards against a VM that goes on waiting for changes at the store's earlier address, which may not answer any more.
func TestMovedStore(t *testing.T) {
	gateway := newTestGateway()
	for _, kind := range []string{platform.ConfigKind, platform.TargetsKind} {
		read, cancel := gateway.beginRead(t.Context(), kind)
		t.Cleanup(cancel)
		gateway.applySettings([]byte(platformtest.Settings("127.0.0.1:9", "127.0.0.1:8")))
		assert.Assert(t, read.Err() != nil, kind)
		gateway.endRead(kind, false)
		read, cancel = gateway.beginRead(t.Context(), kind)
		t.Cleanup(cancel)
		gateway.applySettings([]byte(platformtest.Settings("127.0.0.1:9", "127.0.0.1:7")))
		assert.NilError(t, read.Err()) // only the seeds have changed
		gateway.endRead(kind, true)
		address := ""
		gateway.currentStoreAddress.Store(&address)
	}
}
