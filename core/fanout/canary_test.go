package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

const canaryParts = 8

// newCanaryRun returns a run over shards with targets in the VM's own failure domain and in another.
func newCanaryRun(cautious bool) *fanout.Run {
	services := serviceNames(canaryParts)
	shared := newSharedState(services)
	shared.Fleet = newFleetWithReplicas(services, 3)
	for range 50 { // so that calls are too long to complete for the sake of their connection
		shared.Fleet.StartAttempt(start, services[0]+"-a", gatherSpec(services).Route).AnsweredAfter(start, 30*time.Millisecond)
	}
	for _, endpoint := range shared.Fleet.Endpoints() { // so that no call is the only one at its target
		shared.Fleet.StartAttempt(start, endpoint.ID, gatherSpec(services).Route)
	}
	spec := gatherSpec(services)
	spec.Cautious = cautious
	return fanout.New(spec, shared, start)
}

// sends returns the calls among some actions.
func sends(actions []fanout.Action) []fanout.Send {
	var found []fanout.Send
	for _, action := range actions {
		if send, ok := action.(fanout.Send); ok {
			found = append(found, send)
		}
	}
	return found
}

// lose ends calls without an answer and returns the resulting actions.
func lose(run *fanout.Run, now time.Time, calls []fanout.Send) []fanout.Action {
	var actions []fanout.Action
	for _, call := range calls {
		actions = append(actions, run.Result(now, call.Call, fanout.Lost)...)
	}
	return actions
}

func assertGivenUp(t *testing.T, actions []fanout.Action) {
	t.Helper()
	finish, ok := actions[len(actions)-1].(fanout.Finish)
	assert.Assert(t, ok)
	_, ok = finish.Response.(fanout.GiveUp)
	assert.Assert(t, ok, "%T", finish.Response)
}

// TestCanary guards against a request that crashes a target of each shard, and then their replicas as well.
func TestCanary(t *testing.T) {
	now := start.Add(5 * time.Millisecond)
	t.Run("a suspect calls one target first and the others once it has answered", func(t *testing.T) {
		run := newCanaryRun(true)
		first := sends(run.Start(start))
		assert.Equal(t, len(first), 1)
		assert.Equal(t, len(run.Tick(start.Add(objective/2))), 0, "hedge")
		assert.Equal(t, len(sends(run.Result(now, first[0].Call, fanout.Answered))), canaryParts-1)
	})
	t.Run("a request to one target is hedged unless it is a suspect", func(t *testing.T) {
		for _, cautious := range []bool{false, true} {
			services := serviceNames(1)
			shared := newSharedState(services)
			shared.Fleet = newFleetWithReplicas(services, 3)
			run := fanout.New(fanout.Spec{Route: "r", Parts: services, Idempotent: true, MaxAttempts: 3, Objective: objective, Timeout: timeout,
				Cautious: cautious}, shared, start)
			retries := sends(lose(run, now, sends(run.Start(start))))
			assert.Equal(t, len(retries), 1)
			assert.Equal(t, len(sends(run.Tick(now.Add(objective)))) == 1, !cautious)
		}
	})
	t.Run("a suspect that loses the first target calls no other", func(t *testing.T) {
		run := newCanaryRun(true)
		assertGivenUp(t, lose(run, now, sends(run.Start(start))))
	})
	t.Run("a suspect that is refused calls the next", func(t *testing.T) {
		run := newCanaryRun(true)
		first := sends(run.Start(start))
		second := sends(run.Result(now, first[0].Call, fanout.Refused))
		assert.Equal(t, len(second), 1)
		assert.Equal(t, len(sends(run.Result(now, second[0].Call, fanout.Answered))), canaryParts-1)
	})
	t.Run("a request that has lost targets calls one more", func(t *testing.T) {
		run := newCanaryRun(false)
		first := sends(run.Start(start))
		assert.Equal(t, len(first), canaryParts)
		assert.Equal(t, len(sends(lose(run, now, first))), 1)
	})
	t.Run("a request that loses one of many targets goes on as usual", func(t *testing.T) {
		run := newCanaryRun(false)
		first := sends(run.Start(start))
		run.Result(now, first[0].Call, fanout.Answered)
		assert.Equal(t, len(sends(lose(run, now, first[1:3]))), 2)
	})
	t.Run("a request that has lost its canary calls no other", func(t *testing.T) {
		run := newCanaryRun(false)
		first := sends(run.Start(start))
		canary := sends(lose(run, now, first[:1]))
		assert.Equal(t, len(canary), 1)
		assert.Equal(t, len(sends(lose(run, now, canary))), 0)
		assert.Equal(t, len(sends(lose(run, now, first[1:]))), 0)
		assert.Assert(t, run.Finished())
	})
	t.Run("the outcome of calls that are under way at the end becomes known", func(t *testing.T) {
		run := newCanaryRun(false)
		first := sends(run.Start(start))
		assert.Equal(t, len(sends(lose(run, now, sends(lose(run, now, first[:1]))))), 0)
		last := run.Tick(start.Add(timeout))
		assert.Assert(t, run.Finished())
		assertGivenUp(t, last)
		cancelled := 0
		for _, action := range last {
			if cancel, ok := action.(fanout.Cancel); ok {
				cancelled++
				assert.Assert(t, !cancel.CloseConnection, "the outcome does not become known")
			}
		}
		assert.Equal(t, cancelled, canaryParts-1)
	})
	t.Run("an answer that was under way when the canary was lost releases the others", func(t *testing.T) {
		run := newCanaryRun(false)
		first := sends(run.Start(start))
		assert.Equal(t, len(sends(lose(run, now, sends(lose(run, now, first[:3]))))), 0)
		assert.Assert(t, !run.Finished())
		retries := sends(run.Result(now, first[canaryParts-1].Call, fanout.Answered))
		assert.Equal(t, len(retries), 2, "but the canary, which has had its attempts")
	})
	t.Run("connections that all break once do not end a request", func(t *testing.T) {
		run := newCanaryRun(false)
		retries := sends(lose(run, now, sends(run.Start(start))))
		assert.Equal(t, len(retries), 1)
		held := sends(run.Result(now, retries[0].Call, fanout.Answered))
		assert.Equal(t, len(held), canaryParts-1)
		var last []fanout.Action
		for _, call := range held {
			last = run.Result(now, call.Call, fanout.Answered)
		}
		deliver, ok := last[len(last)-1].(fanout.Finish).Response.(fanout.Deliver)
		assert.Assert(t, ok)
		assert.Equal(t, deliver.Missing, 0)
	})
	t.Run("the first attempt has called a target of each shard before it is known to crash them, a later one calls one", func(t *testing.T) {
		assert.Equal(t, len(sends(newCanaryRun(false).Start(start))), canaryParts)
		assert.Equal(t, len(sends(newCanaryRun(true).Start(start))), 1)
	})
	t.Run("a request that crashes whatever runs it leaves the replicas alone", func(t *testing.T) {
		run := newCanaryRun(false)
		calls, crashed := sends(run.Start(start)), 0
		for step := now; len(calls) > 0; step = step.Add(time.Millisecond) {
			crashed += len(calls)
			calls = sends(lose(run, step, calls))
		}
		assert.Assert(t, run.Finished())
		assert.Assert(t, crashed <= canaryParts+1, "%d targets", crashed)
	})
}
