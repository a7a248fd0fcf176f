package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// callsOf returns how often each part was sent, to targets or to relays.
func callsOf(actions []fanout.Action, services []string) map[string]int {
	calls := map[string]int{}
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			calls[action.Target.Service]++
		case fanout.Relay:
			for _, part := range action.Parts {
				calls[services[part]]++
			}
		}
	}
	return calls
}

// loseAll ends calls to targets and relays without an answer and returns the resulting actions.
func loseAll(run *fanout.Run, now time.Time, calls []fanout.Action) []fanout.Action {
	actions := lose(run, now, sends(calls))
	for _, action := range calls {
		if relay, ok := action.(fanout.Relay); ok {
			actions = append(actions, run.RelayFailed(now, relay.Call, fanout.Lost)...)
		}
	}
	return actions
}

// TestUnreadAnswers guards against parts that run on more targets than their route allows: a VM that is short of processor, or stood still, takes
// targets for cut off whose answers it has only not read yet.
func TestUnreadAnswers(t *testing.T) {
	services := serviceNames(9)
	failProbes := func(fleet *place.Fleet, now time.Time) {
		for _, probe := range fleet.SuspectProbes(now) {
			fleet.ProbeFailed(probe)
		}
	}
	for name, standStill := range map[string]func(run *fanout.Run, fleet *place.Fleet, now time.Time, calls []fanout.Action) []fanout.Action{
		"nothing is read for a time": func(run *fanout.Run, _ *place.Fleet, _ time.Time, _ []fanout.Action) []fanout.Action {
			return tickUntil(run, start.Add(800*time.Millisecond))
		},
		"probes end before their connections are noticed": func(run *fanout.Run, fleet *place.Fleet, now time.Time, _ []fanout.Action) []fanout.Action {
			failProbes(fleet, now)
			return tickUntil(run, start.Add(800*time.Millisecond))
		},
		"links are given up before their answers are read": func(run *fanout.Run, fleet *place.Fleet, now time.Time, calls []fanout.Action) []fanout.Action {
			failProbes(fleet, now)
			return append(loseAll(run, now, calls), tickUntil(run, start.Add(800*time.Millisecond))...)
		},
	} {
		t.Run(name, func(t *testing.T) {
			run, shared, now, calls := newCutOffLoad(true)
			calls = append(calls, standStill(run, shared.Fleet, now, calls)...)
			for service, count := range callsOf(calls, services) {
				assert.Assert(t, count <= 2, "%s was called %d times", service, count)
			}
		})
	}
}
