package fanout_test

import (
	"slices"
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

// endUndelivered ends the calls whose delivery a run asks about as undelivered, and returns the resulting actions.
func endUndelivered(run *fanout.Run, now time.Time, checks []fanout.CheckDelivery, calls []fanout.Action) []fanout.Action {
	var ended []fanout.Action
	for _, check := range checks {
		if slices.ContainsFunc(calls, func(action fanout.Action) bool {
			relay, ok := action.(fanout.Relay)
			return ok && relay.Call == check.Call
		}) {
			ended = append(ended, run.RelayFailed(now, check.Call, fanout.Undelivered)...)
		} else {
			ended = append(ended, run.Result(now, check.Call, fanout.Undelivered)...)
		}
	}
	return ended
}

// TestCutOffAttempts guards against requests that are lost when a failure domain is cut off: both attempts of a part are under way to the others,
// where nothing runs them, while targets within reach could answer.
func TestCutOffAttempts(t *testing.T) {
	cutOff := func(shared fanout.SharedState, now time.Time) {
		for _, probe := range shared.Fleet.SuspectProbes(now) {
			shared.Fleet.ProbeFailed(probe)
		}
	}
	const checked = 300 * time.Millisecond // after the start; the run has then asked once whether its calls were delivered
	t.Run("parts whose calls were not delivered go to targets within reach", func(t *testing.T) {
		run, shared, now, calls := newCutOffLoad(true)
		before := sendsToOwn(calls)
		assert.Assert(t, len(before) <= 1)
		cutOff(shared, now)
		asked := tickUntil(run, start.Add(checked))
		assert.Equal(t, len(sendsToOwn(asked)), 0)
		actions := endUndelivered(run, start.Add(checked), deliveryChecks(asked), calls)
		own := append(before, sendsToOwn(actions)...)
		assert.Equal(t, len(own), 9)
		for _, send := range own {
			actions = append(actions, run.Result(start.Add(500*time.Millisecond), send.Call, fanout.Answered)...)
		}
		_, delivered := actions[len(actions)-1].(fanout.Finish).Response.(fanout.Deliver)
		assert.Assert(t, delivered)
	})
	t.Run("parts with one call that may have been delivered get one more", func(t *testing.T) {
		run, shared, now, calls := newCutOffLoad(true)
		cutOff(shared, now)
		checks := deliveryChecks(tickUntil(run, start.Add(checked)))
		actions := endUndelivered(run, start.Add(checked), checks[:1], calls)
		actions = append(actions, tickUntil(run, start.Add(800*time.Millisecond))...)
		undelivered := callsOf(slices.DeleteFunc(slices.Clone(calls), func(action fanout.Action) bool { return callIndex(action) != checks[0].Call }), serviceNames(9))
		for service, count := range callsOf(append(calls, actions...), serviceNames(9)) {
			assert.Assert(t, count <= 2+undelivered[service], "%s was called %d times", service, count)
		}
	})
	t.Run("a relay that has reported has got its message", func(t *testing.T) {
		run, _, now, calls := newCutOffLoad(true)
		actions := lose(run, now, sends(calls))
		for _, action := range calls {
			if relay, ok := action.(fanout.Relay); ok {
				run.RelayReport(now, relay.Call, fanout.Report{Early: true})
				actions = append(actions, run.RelayFailed(now, relay.Call, fanout.Undelivered)...)
			}
		}
		for service, count := range callsOf(append(calls, actions...), serviceNames(9)) {
			assert.Assert(t, count <= 2, "%s was called %d times", service, count)
		}
	})
	t.Run("targets of a failure domain that has answered since are not asked about", func(t *testing.T) {
		run, shared, now, _ := newCutOffLoad(true)
		for _, domain := range []string{"b", "c"} {
			shared.Fleet.StartAttempt(now, "s00-"+domain, "r").Answered(now)
			shared.Fleet.StartAttempt(now, "vm-"+domain, "r").Answered(now)
		}
		strand(shared.Fleet, "b", serviceNames(9))
		strand(shared.Fleet, "c", serviceNames(9))
		actions := tickUntil(run, start.Add(800*time.Millisecond))
		assert.Equal(t, len(sendsToOwn(actions)), 0)
		assert.Equal(t, len(deliveryChecks(actions)), 0)
	})
	t.Run("a request that is not idempotent gets no second call", func(t *testing.T) {
		run, shared, now, calls := newCutOffLoad(false)
		cutOff(shared, now)
		actions := tickUntil(run, start.Add(800*time.Millisecond))
		assert.Equal(t, len(sends(actions)), 0)
		assert.Equal(t, len(deliveryChecks(actions)), 0)
		for _, send := range sends(calls) {
			assert.Equal(t, len(sends(run.Result(now, send.Call, fanout.Undelivered))), 0)
		}
	})
}

// callIndex returns the index of the call that an action makes, -1 if it makes none.
func callIndex(action fanout.Action) int {
	switch action := action.(type) {
	case fanout.Send:
		return action.Call
	case fanout.Relay:
		return action.Call
	}
	return -1
}

// deliveryChecks returns the actions that ask whether a call was delivered.
func deliveryChecks(actions []fanout.Action) []fanout.CheckDelivery {
	var checks []fanout.CheckDelivery
	for _, action := range actions {
		if check, ok := action.(fanout.CheckDelivery); ok {
			checks = append(checks, check)
		}
	}
	return checks
}
