package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// TestDarkTarget guards against requests that wait until their client leaves for a connection to a target without power, while the budget of
// extra calls is spent: nothing has been sent, so that another call costs no budget.
func TestDarkTarget(t *testing.T) {
	store, targets := newDeployment(t)
	dark := platformtest.NewLink(t, targets["i-3"])
	dark.Hang()
	config := platformtest.Config(2)
	config["routes"] = append(config["routes"].([]map[string]any), map[string]any{"name": "l", "host": "h.example", "path_prefix": "/l/",
		"kind": "idempotent", "timeout_ms": 5000, "service": "one", "attempts": 2})
	store.Put("config", "main", config)
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress, settings.Bounds = store.Behind(t, dark), platform.Bounds{}
	vm := startVMWith(t, settings, zap.NewNop())
	waitFor(t, "ready", vm.gateway.Ready)
	for range 20 {
		request := platformtest.NewRequest(t, http.MethodGet, vm.clients.URL+"/l/x", nil)
		platformtest.SetTimeout(request, 900*time.Millisecond)
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, 200)
	}
}
