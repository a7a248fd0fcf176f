package platform_test

import (
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/platform"
)

// TestTruncatedList guards against a list of VMs that was truncated and is taken for a short one.
func TestTruncatedList(t *testing.T) {
	const list = `{"vms":[{"name":"vm-1"},{"name":"vm-2"}]}`
	for _, ending := range []platformtest.Ending{platformtest.Closed, platformtest.Reset} {
		for _, shape := range platformtest.ResponseShapes(list) {
			t.Run(string(ending)+"/"+shape.Name, func(t *testing.T) {
				t.Parallel()
				for sent := range len(shape.Bytes()) + 1 {
					server := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
						return platformtest.Truncated{Bytes: shape.Bytes()[:sent], Ending: ending}
					})
					vms, err := platform.New("http://"+server.Address, "a").VMs(t.Context())
					assert.Check(t, err != nil || len(vms) == 2, "%d VMs after %q", len(vms), shape.Bytes()[:sent])
					whole := sent == len(shape.Bytes()) && ending == platformtest.Closed && strings.Contains(shape.Head, " 200 ") && shape.Content != "" && !shape.Invalid
					assert.Check(t, !whole || err == nil, "%v", err)
				}
			})
		}
	}
}
