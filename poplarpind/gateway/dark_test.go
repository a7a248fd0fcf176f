package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// TestDarkTarget guards against requests that wait until their client leaves for connections to targets without power, while the budget of extra
// calls is spent: nothing has been sent, so that another call costs no budget.
func TestDarkTarget(t *testing.T) {
	store, links, services := platformtest.NewStore(t), []*platformtest.Link{}, []string{}
	for i := range 12 { // each shard has a dark target; at least one of them is called
		services = append(services, fmt.Sprint("s", i))
		dark, sound := platformtest.NewTarget(t, fmt.Sprint("dark", i)), platformtest.NewTarget(t, fmt.Sprint("sound", i))
		links = append(links, platformtest.NewLink(t, dark))
		links[i].Hang()
		store.PutTarget(dark, services[i], "a", "ready")
		store.PutTarget(sound, services[i], "a", "ready")
	}
	store.PutConfig(platformtest.WholeGatherConfig(services))
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress, settings.Bounds = store.Behind(t, links...), platform.Bounds{}
	vm := startVMWith(t, settings, zap.NewNop())
	waitFor(t, "ready", vm.gateway.Ready)
	request := platformtest.NewRequest(t, http.MethodGet, vm.clients.URL+"/g/x", nil)
	platformtest.SetTimeout(request, 900*time.Millisecond)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, platformtest.MissingParts(response), "0")
}
