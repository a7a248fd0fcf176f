package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
)

// TestLeg checks that every part is reported exactly once, and that only the last report is final.
func TestLeg(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(rapid.IntRange(1, 9).Draw(t, "parts"))
		leg := fanout.NewRelayRun("r", services, 20*time.Millisecond, fleet(services), start)
		now, open, reported, final := start, []int{}, map[int]int{}, 0
		take := func(actions []fanout.Action) {
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
		take(leg.Start(now))
		for len(open) > 0 {
			now = now.Add(time.Duration(rapid.IntRange(0, 15).Draw(t, "ms")) * time.Millisecond)
			take(leg.Tick(now))
			i := rapid.IntRange(0, len(open)-1).Draw(t, "call")
			call := open[i]
			open = append(open[:i], open[i+1:]...)
			take(leg.Result(now, call, rapid.SampledFrom(outcomes).Draw(t, "outcome")))
		}
		assert.Equal(t, final, 1)
		for part := range services {
			assert.Equal(t, reported[part], 1, "part %d", part)
		}
	})
}

// TestLegReportsEarly checks that a slow server does not hold up the other parts beyond the time that was asked for.
func TestLegReportsEarly(t *testing.T) {
	services := names(9)
	leg := fanout.NewRelayRun("r", services, 20*time.Millisecond, fleet(services), start)
	sends := leg.Start(start)
	var open []int
	for _, action := range sends {
		if send, ok := action.(fanout.Send); ok {
			open = append(open, send.Call)
		}
	}
	for _, call := range open[1:] {
		assert.Equal(t, len(leg.Result(start.Add(5*time.Millisecond), call, fanout.Answered)), 0)
	}
	assert.Equal(t, leg.Next(), start.Add(20*time.Millisecond))
	actions := leg.Tick(leg.Next())
	assert.Equal(t, len(actions), 1)
	report := actions[0].(fanout.Report)
	assert.Equal(t, len(report.Answered), len(open)-1)
	assert.Assert(t, report.Early)
	assert.Assert(t, !report.Final)
}

// TestNoHedgeBeforeItsTime checks that the news that a relay has no server for a part does not double the other parts.
func TestNoHedgeBeforeItsTime(t *testing.T) {
	services := names(9)
	run := fanout.New(gatherSpec(services), sharedOf(services), start)
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
