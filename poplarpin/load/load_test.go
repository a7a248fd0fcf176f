package load

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
)

// TestRecovery guards against a report that hides a recovery: a fault at the very start of a run must count as one.
func TestRecovery(t *testing.T) {
	for name, at := range map[string]time.Duration{"fault at the start": 0, "later fault": time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			experiment, err := New(Plan{Faults: []Fault{{At: config.Duration(at), Signal: "none"}}})
			assert.NilError(t, err)
			experiment.start = time.Now()
			experiment.recordRecovery(api.Answer{Outcome: api.Partial}, time.Second)
			assert.Equal(t, experiment.report.RecoveredIn.Std(), time.Duration(0), "before any fault")
			experiment.runSchedule(context.Background())
			experiment.recordRecovery(api.Answer{Outcome: api.Partial}, time.Second)
			assert.Equal(t, experiment.report.RecoveredIn.Std(), time.Second-at)
		})
	}
}
