package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// TestRelayRun guards against parts that a relay reports twice or never, and against reports after the final one.
func TestRelayRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(rapid.IntRange(1, 9).Draw(t, "parts"))
		relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services, ReportAfter: 20 * time.Millisecond}, newFleet(services), start)
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
				default:
					t.Fatalf("a relay must not ask another VM: %T", action)
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
	relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services, ReportAfter: 20 * time.Millisecond}, newFleet(services), start)
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

// TestRelayRunOnceReportsOnce guards against a report without a result to a VM that takes it as a reason to send the request again.
func TestRelayRunOnceReportsOnce(t *testing.T) {
	services := serviceNames(1)
	relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services, ReportAfter: 20 * time.Millisecond, Once: true}, newFleet(services), start)
	assert.Equal(t, len(relayRun.Start(start)), 1)
	assert.Equal(t, len(relayRun.Tick(start.Add(20*time.Millisecond))), 0)
	actions := relayRun.Result(start.Add(30*time.Millisecond), 0, fanout.Answered)
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].(fanout.Report).Final)
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
	relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: []string{"x1", "x2"}, ReportAfter: 20 * time.Millisecond}, newFleet(serviceNames(2)), start)
	actions := relayRun.Start(start)
	assert.Equal(t, len(actions), 1)
	assert.Assert(t, actions[0].(fanout.Report).Final)
	assert.Assert(t, relayRun.Finished())
	assert.Equal(t, len(relayRun.Tick(relayRun.Next())), 0)
}

// TestRelaysShareCalls guards against a relay that is busy with the calls of one request for most of its objective: at 180 parts the calls
// take a VM of 0.8 cores 27 ms, so several VMs of the failure domain must share them, each part at exactly one.
func TestRelaysShareCalls(t *testing.T) {
	services := serviceNames(180)
	newState := func(relays ...float64) fanout.SharedState {
		shared := newSharedState(services)
		shared.Fleet = place.New("a", 0.2, rand.New(rand.NewPCG(1, 1)))
		for i, cores := range relays {
			shared.Fleet.Update(start, place.Endpoint{ID: fmt.Sprintf("vm-b%d", i), Service: fanout.RelayService("b"), FailureDomain: "b", Slots: 16,
				State: place.Ready, Cores: cores, Peer: true})
		}
		for _, service := range services {
			shared.Fleet.Update(start, place.Endpoint{ID: service + "-b", Service: service, FailureDomain: "b", Slots: 2, State: place.Ready})
		}
		return shared
	}
	partsByRelay := func(shared fanout.SharedState) map[string]int {
		byRelay, seen := map[string]int{}, map[int]bool{}
		for _, action := range fanout.New(gatherSpec(services), shared, start).Start(start) {
			relay, ok := action.(fanout.Relay)
			assert.Assert(t, ok, "%v", action)
			for _, part := range relay.Parts {
				assert.Assert(t, !seen[part], "part %d is relayed twice", part)
				seen[part] = true
			}
			byRelay[relay.VM.ID] += len(relay.Parts)
		}
		assert.Equal(t, len(seen), len(services))
		return byRelay
	}
	t.Run("several large VMs share them evenly", func(t *testing.T) {
		byRelay := partsByRelay(newState(0.8, 0.8, 0.8, 0.2, 0.2))
		assert.DeepEqual(t, byRelay, map[string]int{"vm-b0": 60, "vm-b1": 60, "vm-b2": 60})
	})
	t.Run("a single large VM takes all rather than a small one", func(t *testing.T) {
		assert.DeepEqual(t, partsByRelay(newState(0.8, 0.2, 0.2)), map[string]int{"vm-b0": 180})
	})
}
