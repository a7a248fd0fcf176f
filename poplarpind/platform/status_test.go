package platform_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/platform"
)

// TestInvalidStatus guards against a list of VMs made of a response whose status the platform may not give.
func TestInvalidStatus(t *testing.T) {
	for _, status := range platformtest.InvalidStatuses() {
		for name, response := range platformtest.InvalidResponses(status, `{"vms":[{"name":"vm-1"}]}`) {
			server := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
				return platformtest.Truncated{Bytes: response, Ending: platformtest.Kept}
			})
			vms, err := platform.New("http://"+server.Address, "a").VMs(t.Context())
			assert.Check(t, err != nil, "%s, %s: %d VMs", status, name, len(vms))
		}
	}
}
