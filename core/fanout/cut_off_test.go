package fanout_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

// newCutOffLoad starts a request to nine shards with a target in each of three failure domains, at a VM whose own failure domain's targets
// have been slow, so that first calls and hedges go to the other two. It returns the time from which on nothing comes back from these.
func newCutOffLoad(idempotent bool) (run *fanout.Run, shared fanout.SharedState, now time.Time, calls []fanout.Action) {
	services := serviceNames(9)
	shared = newSharedState(services)
	shared.Fleet = newFleetWithReplicas(services, 3)
	for _, service := range services {
		for range 5 {
			shared.Fleet.StartAttempt(start.Add(-time.Second), service+"-a", "other").Answered(start)
		}
	}
	spec := gatherSpec(services)
	spec.Idempotent, spec.Timeout = idempotent, 800*time.Millisecond
	run = fanout.New(spec, shared, start)
	calls = run.Start(start)
	for now = start; now.Sub(start) < 150*time.Millisecond; now = run.Next() {
		calls = append(calls, run.Tick(now)...)
	}
	return run, shared, now, calls
}

// sendsToOwn returns the calls among actions that go to targets of the VM's own failure domain.
func sendsToOwn(actions []fanout.Action) []fanout.Send {
	var own []fanout.Send
	for _, send := range sends(actions) {
		if strings.HasSuffix(send.Target.ID, "-a") {
			own = append(own, send)
		}
	}
	return own
}

// tickUntil returns the actions of a run until a time.
func tickUntil(run *fanout.Run, until time.Time) []fanout.Action {
	var actions []fanout.Action
	for now := run.Next(); now.Before(until) && !run.Finished(); now = run.Next() {
		actions = append(actions, run.Tick(now)...)
	}
	return actions
}

// TestCutOffAttempts guards against requests that are lost when a failure domain is cut off: both attempts of a part are under way to the others,
// where nothing runs them, while targets within reach could answer.
func TestCutOffAttempts(t *testing.T) {
	cutOff := func(shared fanout.SharedState, now time.Time) {
		for _, probe := range shared.Fleet.SuspectProbes(now) {
			shared.Fleet.ProbeFailed(probe)
		}
	}
	t.Run("parts without an answer go to targets within reach", func(t *testing.T) {
		run, shared, now, calls := newCutOffLoad(true)
		before := sendsToOwn(calls)
		assert.Assert(t, len(before) <= 1)
		cutOff(shared, now)
		own := append(before, sendsToOwn(tickUntil(run, start.Add(400*time.Millisecond)))...)
		assert.Equal(t, len(own), 9)
		var actions []fanout.Action
		for _, send := range own {
			actions = append(actions, run.Result(start.Add(400*time.Millisecond), send.Call, fanout.Answered)...)
		}
		_, delivered := actions[len(actions)-1].(fanout.Finish).Response.(fanout.Deliver)
		assert.Assert(t, delivered)
	})
	t.Run("also when the links have been given up", func(t *testing.T) {
		run, shared, now, calls := newCutOffLoad(true)
		cutOff(shared, now)
		var actions []fanout.Action
		for _, action := range calls {
			switch action := action.(type) {
			case fanout.Send:
				if action.Target.FailureDomain == "a" {
					continue
				}
				actions = append(actions, run.Result(now, action.Call, fanout.Lost)...)
			case fanout.Relay:
				actions = append(actions, run.RelayFailed(now, action.Call, fanout.Lost)...)
			}
		}
		own := sendsToOwn(append(calls, actions...))
		for _, send := range own { // shows that the request does not crash its targets
			own = append(own, sendsToOwn(run.Result(now, send.Call, fanout.Answered))...)
		}
		assert.Equal(t, len(own), 9)
	})
	t.Run("targets of a failure domain that has answered since count", func(t *testing.T) {
		run, shared, now, _ := newCutOffLoad(true)
		for _, domain := range []string{"b", "c"} {
			shared.Fleet.StartAttempt(now, "s00-"+domain, "r").Answered(now)
			shared.Fleet.StartAttempt(now, "vm-"+domain, "r").Answered(now)
		}
		strand(shared.Fleet, "b", serviceNames(9))
		strand(shared.Fleet, "c", serviceNames(9))
		assert.Equal(t, len(sendsToOwn(tickUntil(run, start.Add(800*time.Millisecond)))), 0)
	})
	t.Run("a request that is not idempotent gets no second call", func(t *testing.T) {
		run, shared, now, _ := newCutOffLoad(false)
		cutOff(shared, now)
		assert.Equal(t, len(sends(tickUntil(run, start.Add(800*time.Millisecond)))), 0)
	})
}
