package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
)

// TestQuarantinesAreReadSeldom guards against a call for the saved quarantines each time a VM begins to watch the store, as it does whenever the
// VM that it gets its updates from falls silent.
func TestQuarantinesAreReadSeldom(t *testing.T) {
	var reads atomic.Int64
	store := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		reads.Add(1)
		_, _ = writer.Write([]byte(`{"items":[],"read_revision":5}`))
	}))
	t.Cleanup(store.Close)
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a", StoreAddress: strings.TrimPrefix(store.URL, "http://")}, "test", zap.NewNop())
	load := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		gateway.loadQuarantines(ctx)
	}
	load()
	load()
	assert.Equal(t, reads.Load(), int64(1))
	gateway.quarantinesLoadedAt = time.Now().Add(-loadInterval)
	load()
	assert.Equal(t, reads.Load(), int64(2))
}
