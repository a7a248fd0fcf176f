package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
)

// TestRelayRun guards against parts that a relay reports twice or never, and against reports after the final one.
func TestRelayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(rapid.IntRange(1, 9).Draw(t, "parts"))
		relayRun := fanout.NewRelayRun("r", services, 20*time.Millisecond, newFleet(services), start)
		now, open, reported, final := start, []int{}, map[int]int{}, 0
		apply := func(actions []fanout.Action) {
			for _, action := range actions {
				switch action := action.(type) {
				case fanout.Send:
					assert.Equal(t, action.Target.FailureDomain, "a")
					open = append(open, action.Call)
				case fanout.Report:
					assert.Equal(t, final, 0)
					assert.Equal(t, len(action.Latencies), len(action.Answered))
					for _, part := range action.Answered {
						reported[part]++
					}
					for _, missing := range action.Missing {
						reported[missing.Part]++
					}
					if action.Final {
						final++
					}
				}
			}
		}
		apply(relayRun.Start(now))
		for len(open) > 0 {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
			apply(relayRun.Tick(now))
			i := rapid.IntRange(0, len(open)-1).Draw(t, "call")
			call := open[i]
			open = append(open[:i], open[i+1:]...)
			apply(relayRun.Result(now, call, rapid.SampledFrom(outcomes).Draw(t, "outcome")))
		}
		assert.Equal(t, final, 1)
		for part := range services {
			assert.Equal(t, reported[part], 1, "part %d", part)
		}
	})
}

// TestRelayRunReportsEarly guards against a slow target that delays the results of the other parts beyond the requested time.
func TestRelayRunReportsEarly(t *testing.T) {
	services := serviceNames(9)
	relayRun := fanout.NewRelayRun("r", services, 20*time.Millisecond, newFleet(services), start)
	sends := relayRun.Start(start)
	var open []int
	for _, action := range sends {
		if send, ok := action.(fanout.Send); ok {
			open = append(open, send.Call)
		}
	}
	for _, call := range open[1:] {
		assert.Equal(t, len(relayRun.Result(start.Add(5*time.Millisecond), call, fanout.Answered)), 0)
	}
	assert.Equal(t, relayRun.Next(), start.Add(20*time.Millisecond))
	actions := relayRun.Tick(relayRun.Next())
	assert.Equal(t, len(actions), 1)
	report := actions[0].(fanout.Report)
	assert.Equal(t, len(report.Answered), len(open)-1)
	assert.Assert(t, report.Early)
	assert.Assert(t, !report.Final)
}

// TestNoHedgeBeforeItsTime guards against hedging all parts of a relay because it reports that it has no target for one of them.
func TestNoHedgeBeforeItsTime(t *testing.T) {
	services := serviceNames(9)
	run := fanout.New(gatherSpec(services), newSharedState(services), start)
	relayed, sends := map[int][]int{}, 0
	for _, action := range run.Start(start) {
		if relay, ok := action.(fanout.Relay); ok {
			relayed[relay.Call] = relay.Parts
		}
	}
	assert.Equal(t, len(relayed), 1)
	for call, parts := range relayed {
		missing := []fanout.Missing{{Part: parts[0], Outcome: fanout.NoCapacity}}
		_, actions := run.RelayReport(start.Add(time.Millisecond), call, fanout.Report{Missing: missing})
		for _, action := range actions {
			if _, ok := action.(fanout.Send); ok {
				sends++
			}
		}
	}
	assert.Equal(t, sends, 1)
}

// TestRelayRunWithoutTargets guards against a report after the final one: a relay that has no target for any part reports so at once,
// and must not send the early report too.
func TestRelayRunWithoutTargets(t *testing.T) {
	relayRun := fanout.NewRelayRun("r", []string{"x1", "x2"}, 20*time.Millisecond, newFleet(serviceNames(2)), start)
	actions := relayRun.Start(start)
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].(fanout.Report).Final)
	assert.Assert(t, relayRun.Finished())
	assert.Equal(t, len(relayRun.Tick(relayRun.Next())), 0)
}
