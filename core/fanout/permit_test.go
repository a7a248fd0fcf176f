package fanout

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// TestPermit guards against a caller that forgets to ask whether a request may be sent again: each way to a call asks once more.
func TestPermit(t *testing.T) {
	now := time.Unix(1000, 0)
	target := place.Endpoint{ID: "s-a", Service: "s", FailureDomain: "a", Slots: 2, State: place.Ready}
	relay := place.Endpoint{ID: "vm-b", Service: RelayService("b"), FailureDomain: "b", Slots: 16, State: place.Ready, Peer: true}
	ways := map[string]func(run *Run, part *partState){
		"direct": func(run *Run, part *partState) { run.startCall(now, part, "hedge") },
		"forwarded": func(run *Run, part *partState) {
			run.forward(now, part, chosen{target, relay, place.Relayed}, BudgetSpent, "hedge")
		},
		"relayed": func(run *Run, part *partState) { run.startRelay(now, relay, []int{part.index}) },
	}
	states := map[string]func(part *partState){
		"in flight":          func(part *partState) { part.inFlight = 1 },
		"may have run":       func(part *partState) { part.possibleRuns = 1 },
		"has surely not run": func(part *partState) { part.tries = 1 },
	}
	for way, call := range ways {
		for state, set := range states {
			for _, idempotent := range []bool{false, true} {
				t.Run(way+" "+state, func(t *testing.T) {
					fleet := place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
					fleet.Update(now, target)
					fleet.Update(now, relay)
					spec := Spec{Route: "r", Parts: []string{"s"}, MaxAttempts: 3, Idempotent: idempotent, Timeout: time.Second}
					run := New(spec, SharedState{Fleet: fleet, Budgets: NewBudgets(0.2, 5, now)}, now)
					part := &run.parts[0]
					set(part)
					call(run, part)
					want := idempotent || state == "has surely not run"
					assert.Equal(t, len(part.calls) == 1, want)
					assert.Equal(t, len(run.calls) == 1, want)
					assert.Equal(t, run.PreventedCalls() == 0, want)
				})
			}
		}
	}
}
