package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
)

// TestSettledInList guards against a VM that restarts soon after it entered the list and uses its share before the others count it, so that
// the shares of all VMs add up to more than the quotas.
func TestSettledInList(t *testing.T) {
	for name, test := range map[string]struct {
		listed  bool
		since   time.Duration // for which the entry says that it is listed; 0 for none
		settled bool
	}{
		"not listed":               {false, 0, false},
		"listed for a minute":      {true, time.Minute, true},
		"listed for a second":      {true, time.Second, false},
		"entry of a build before":  {true, 0, true},
		"entry from a later clock": {true, -time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a", Bounds: platform.Bounds{QuotaWindow: time.Second}}, "test", zap.NewNop())
			registeredAt := int64(0)
			if test.since != 0 {
				registeredAt = time.Now().Add(-test.since).UnixMilli()
			}
			gateway.quotas.listRead(bootTime(), nil, test.listed, registeredAt)
			assert.Equal(t, gateway.quotas.list.settled, test.settled)
		})
	}
}
