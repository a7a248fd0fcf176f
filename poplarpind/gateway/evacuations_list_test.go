package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// staleStore serves lists of evacuations, of which the stale ones lack the first evacuation that was ever written. Watches bring nothing.
func staleStore(writer http.ResponseWriter, request *http.Request) {
	switch query := request.URL.Query(); {
	case query.Has("watch"):
		<-request.Context().Done()
	case query.Has("stale_ok"):
		writer.WriteHeader(http.StatusNotFound)
	default:
		platformtest.WriteList(writer, "a", 5, 12)
	}
}

// TestStaleListLacksKind guards against the end of an evacuation by a stale list from before it was written: a VM that begins to watch the
// store would take the list for one as new as its targets, and watch from there.
func TestStaleListLacksKind(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(staleStore))
	defer store.Close()
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a", StoreAddress: strings.TrimPrefix(store.URL, "http://")}, "test", zap.NewNop())
	gateway.mu.Lock()
	gateway.applyUpdate("vm-a2", rpc.StoreUpdate{Through: 10, Full: true, Evacuations: &rpc.Evacuations{Revision: 5, FailureDomains: []string{"a"}}})
	gateway.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	gateway.watchKind(ctx, platform.EvacuationsKind)
	assert.DeepEqual(t, gateway.fleet.Evacuated(), []string{"a"})
	_, revision := gateway.evacuations.Known()
	assert.Equal(t, revision, int64(12))
}
