package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

// TestMissingCauses guards against a partial answer that the log can't explain: each part that it leaves out must be counted under the
// cause that an operator has to look at.
func TestMissingCauses(t *testing.T) {
	// partial plays a request whose first part gets no answer, and returns the causes when the partial answer is sent.
	partial := func(replicas int, slack float64) string {
		services := serviceNames(4)
		shared := newSharedState(services)
		shared.Fleet = newFleetWithReplicas(services, replicas)
		shared.Fleet.ReplacePeers(start, nil)
		shared.Budgets = fanout.NewBudgets(0, slack, start.Add(-time.Minute))
		shared.Budgets.SetVMs(start, 1)
		run := fanout.New(gatherSpec(services), shared, start)
		actions, now := run.Start(start), start
		for !run.Finished() {
			for _, action := range actions {
				if send, ok := action.(fanout.Send); ok && send.Target.Service != services[0] {
					run.Result(now, send.Call, fanout.Answered)
				}
			}
			now = run.Next()
			actions = run.Tick(now)
		}
		return run.MissingCauses().String()
	}
	t.Run("hedged in vain", func(t *testing.T) { assert.Equal(t, partial(2, 5), "hedgeSlow:1") })
	t.Run("no budget for a hedge", func(t *testing.T) { assert.Equal(t, partial(2, 0), "noBudget:1") })
	t.Run("no other target", func(t *testing.T) { assert.Equal(t, partial(1, 5), "noAlternative:1") })
}
