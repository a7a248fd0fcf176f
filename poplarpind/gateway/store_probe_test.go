package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestCallsWhileTurnedAway guards against a VM that calls a store that turns it away for each kind of objects by itself, at the full price. A
// kind may be called once: its loop may still have been in a pause when the store began to turn the VM away.
func TestCallsWhileTurnedAway(t *testing.T) {
	store, _ := newDeployment(t)
	var turnsAway atomic.Bool
	var pings atomic.Int64
	var calls sync.Map // by path
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !turnsAway.Load() {
			store.ServeHTTP(writer, request)
			return
		}
		if strings.Contains(request.URL.RawQuery, "stale_ok") {
			pings.Add(1)
		} else {
			count, _ := calls.LoadOrStore(request.URL.Path, &atomic.Int64{})
			count.(*atomic.Int64).Add(1)
		}
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress = strings.TrimPrefix(server.URL, "http://")
	vm := startVMWith(t, settings, zap.NewNop())
	waitFor(t, "ready", vm.gateway.Ready)
	waitFor(t, "the watches", func() bool { return store.Watches("servers") > 0 && store.Watches("config") > 0 })
	turnsAway.Store(true)
	store.SetDown(true) // ends the watches
	waitFor(t, "pings", func() bool { return pings.Load() >= 8 })
	calls.Range(func(path, count any) bool {
		assert.Assert(t, count.(*atomic.Int64).Load() <= 1, "%s", path)
		return true
	})
	store.SetDown(false)
	turnsAway.Store(false)
	store.Put("servers", "new", platformtest.NewTarget(t, "new").Spec("s1", "a", "ready"))
	started := time.Now()
	waitFor(t, "the new target", func() bool { return vm.gateway.Dump().Endpoint("new").State == "ready" })
	t.Logf("known %s after the store answers again", time.Since(started))
}
