package entry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpind/entry"
)

// TestStopTimeout guards against a planned stop that ends before a request that the VM accepted in its drain wait.
func TestStopTimeout(t *testing.T) {
	for _, drainWait := range []time.Duration{0, 5 * time.Second, 10 * time.Minute} { // 10 minutes is the longest that the settings accept
		assert.Assert(t, entry.StopTimeout(drainWait) > drainWait+config.MaxDeadline)
	}
}
