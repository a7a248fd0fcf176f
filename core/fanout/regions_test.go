package fanout_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
)

var regionsOfDomains = map[string]string{"a": "north", "b": "south", "c": "west"}

// assertInside checks that no action sends the request outside the regions, and returns the calls that the actions start.
func assertInside(t *rapid.T, regions []string, actions []fanout.Action) []int {
	var calls []int
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			assert.Assert(t, slices.Contains(regions, regionsOfDomains[action.Target.FailureDomain]), "%s is called", action.Target.ID)
			calls = append(calls, action.Call)
		case fanout.Relay:
			assert.Assert(t, slices.Contains(regions, regionsOfDomains[action.VM.FailureDomain]), "%s relays", action.VM.ID)
			calls = append(calls, action.Call)
		}
	}
	return calls
}

// TestHomeRegions guards against a request or its body that leaves its home regions by a first call, a retry, a hedge or a relay.
func TestHomeRegions(t *testing.T) {
	services := serviceNames(12)
	newRun := func(regions ...string) *fanout.Run {
		shared := newSharedState(services)
		shared.Fleet = newFleetWithReplicas(services, 3)
		shared.Fleet.SetRegions(regionsOfDomains)
		spec := gatherSpec(services)
		spec.Regions = (&route.Route{HomeRegions: regions}).AllowedRegions(nil)
		return fanout.New(spec, shared, start)
	}
	t.Run("calls, retries, hedges and relays stay inside", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			regions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"north", "south", "west"}), 1, 2, rapid.ID[string]).Draw(t, "regions")
			run, now := newRun(regions...), start
			open := assertInside(t, regions, run.Start(now))
			assert.Assert(t, len(open) > 0)
			for !run.Finished() {
				outcome := rapid.SampledFrom([]fanout.Outcome{fanout.Refused, fanout.Lost, fanout.NotSent, fanout.NoCapacity, fanout.Answered}).Draw(t, "outcome")
				if len(open) == 0 || rapid.Bool().Draw(t, "tick") {
					now = run.Next()
					open = append(open, assertInside(t, regions, run.Tick(now))...)
					continue
				}
				call := open[0]
				open, now = open[1:], now.Add(time.Millisecond)
				open = append(open, assertInside(t, regions, run.Result(now, call, outcome))...)
				open = append(open, assertInside(t, regions, run.RelayFailed(now, call, outcome))...)
			}
		})
	})
	t.Run("a request that no region may serve is refused at once, with the cause", func(t *testing.T) {
		actions := newRun("east").Start(start)
		assert.Equal(t, len(actions), 1)
		refusal, refused := actions[0].(fanout.Finish).Response.(fanout.Refuse)
		assert.Assert(t, refused)
		assert.Equal(t, refusal.Reason, "too few parts have a server in the home regions")
	})
	t.Run("targets outside do not keep calls from being relayed", func(t *testing.T) {
		actions := newRun("south").Start(start) // the VM's own failure domain, with the cheapest targets, is in another region
		assert.Equal(t, len(actions), 1)
		relay, relayed := actions[0].(fanout.Relay)
		assert.Assert(t, relayed)
		assert.Equal(t, relay.VM.ID, "vm-b")
	})
}
