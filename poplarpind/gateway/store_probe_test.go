package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestCallsWhileTurnedAway guards against a VM that calls a store that turns it away for each kind of objects by itself, at the full price.
func TestCallsWhileTurnedAway(t *testing.T) {
	store, _ := newDeployment(t)
	var turnsAway atomic.Bool
	var calls, pings atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !turnsAway.Load() {
			store.ServeHTTP(writer, request)
			return
		}
		if strings.Contains(request.URL.RawQuery, "stale_ok") {
			pings.Add(1)
		} else {
			calls.Add(1)
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
	waitFor(t, "pings", func() bool { return pings.Load() >= 3 })
	before := calls.Load()
	waitFor(t, "more pings", func() bool { return pings.Load() >= 8 })
	assert.Equal(t, calls.Load(), before)
	store.SetDown(false)
	turnsAway.Store(false)
	store.Put("servers", "new", platformtest.NewTarget(t, "new").Spec("s1", "a", "ready"))
	started := time.Now()
	waitFor(t, "the new target", func() bool { return vm.gateway.Dump().Endpoint("new").State == "ready" })
	t.Logf("known %s after the store answers again", time.Since(started))
}
