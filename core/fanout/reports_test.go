package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
)

// TestSlowReport guards against late answers while a target turns slow at once, before its calls show it. At half of the capacity of two
// replicas, one target of each shard takes five times as long from 5 s on and says so in its answers. Callers must get more answers in
// time than without the reports, with fewer calls at slow targets.
func TestSlowReport(t *testing.T) {
	const slowdown = 5
	play := func(reports bool) *cluster {
		cluster := newCluster(2, true)
		cluster.reports = reports
		cluster.schedule(start.Add(loadDuration/2), func(time.Time) {
			for i, service := range serviceNames(loadShards) {
				cluster.targets[service+[]string{"-0", "-1"}[i%2]].slowdown = slowdown
			}
		})
		cluster.run(0.25*2*loadSlots/loadWorkTime.Seconds(), false)
		t.Logf("reports %t: in time %d, late %d, refused %d, failed %d, mean latency %s, slow calls %d", reports, cluster.inTime, cluster.late,
			cluster.refused, cluster.failed, cluster.meanLatency(), cluster.slowCalls)
		return cluster
	}
	without, with := play(false), play(true)
	assert.Assert(t, with.meanLatency() < without.meanLatency())
	assert.Assert(t, with.inTime >= without.inTime)
	assert.Assert(t, with.slowCalls < without.slowCalls)
}

// TestEarlyHedge guards against waiting for the usual time of a hedge while the target says that work takes twice as long.
func TestEarlyHedge(t *testing.T) {
	next := func(pace, alternative float64) (*fanout.Run, time.Duration) {
		services := serviceNames(1)
		shared := newSharedState(services)
		run := fanout.New(fanout.Spec{Route: "r", Parts: services, Idempotent: true, MaxAttempts: 2, Objective: time.Second, Timeout: 2 * time.Second}, shared, start)
		target := run.Start(start)[0].(fanout.Send).Target
		for _, view := range shared.Fleet.Views(start) {
			endpoint, _ := shared.Fleet.Endpoint(view.ID)
			report := place.LoadReport{Slots: 2, PacePercent: alternative}
			if view.ID == target.ID {
				report.PacePercent = pace
			}
			shared.Fleet.ApplyReport(start.Add(time.Millisecond), endpoint, place.TargetReport{Load: &report})
		}
		return run, run.Next().Sub(start)
	}
	_, usual := next(199, 100)
	run, early := next(200, 100)
	assert.Assert(t, early < usual, "%s, %s", early, usual)
	assert.Equal(t, run.Tick(start.Add(early))[0].(fanout.Send).Reason, "hedge")
	t.Run("waits if the other target is slow too", func(t *testing.T) {
		run, early := next(200, 200)
		assert.Equal(t, len(run.Tick(start.Add(early))), 0)
		assert.Equal(t, run.Next().Sub(start), usual)
		assert.Equal(t, len(run.Tick(start.Add(usual))), 1)
	})
}

// TestPausedTarget guards against requests that wait for a target which asked for a pause, and against clients that return too early.
func TestPausedTarget(t *testing.T) {
	play := func(replicas int) []fanout.Action {
		services := serviceNames(1)
		shared := newSharedState(services)
		shared.Fleet = newFleetWithReplicas(services, replicas)
		run := fanout.New(fanout.Spec{Route: "r", Parts: services, MaxAttempts: 2, Timeout: 2 * time.Second}, shared, start)
		send := run.Start(start)[0].(fanout.Send)
		shared.Fleet.ApplyReport(start, send.Target, place.TargetReport{PauseFor: 700 * time.Millisecond})
		return run.Result(start, send.Call, fanout.Refused)
	}
	t.Run("its part goes to another at once", func(t *testing.T) {
		send, ok := play(2)[0].(fanout.Send)
		assert.Assert(t, ok && send.Target.ID != "s00-a")
	})
	t.Run("alone, its part is refused at once until the end of the pause", func(t *testing.T) {
		finish := play(1)[0].(fanout.Finish)
		assert.Equal(t, finish.Response.(fanout.Refuse).RetryAfter, 700*time.Millisecond)
	})
}

// TestRetryAfterPauses guards against clients that are sent away for a pause which is not the reason of their refusal: a single shard whose
// only target has paused for a minute would determine when the clients of all requests return that other shards refuse.
func TestRetryAfterPauses(t *testing.T) {
	newRun := func(pauses ...time.Duration) *fanout.Run {
		services := serviceNames(4)
		shared := newSharedState(nil)
		for i, service := range services {
			target := place.Endpoint{ID: service, Service: service, FailureDomain: "a", Slots: 2, State: place.Ready}
			shared.Fleet.Update(start, target)
			if i < len(pauses) {
				shared.Fleet.ApplyReport(start, target, place.TargetReport{PauseFor: pauses[i]})
			}
		}
		return fanout.New(gatherSpec(services), shared, start) // three shards suffice
	}
	t.Run("the rate of ends counts if the shards that have not paused suffice", func(t *testing.T) {
		run, now := newRun(time.Minute), start
		actions := run.Start(now)
		for !run.Finished() {
			var next []fanout.Action
			for _, action := range actions {
				if send, ok := action.(fanout.Send); ok {
					now = now.Add(time.Millisecond) // so that the retries are sent one after another and none is in flight at the end
					next = append(next, run.Result(now, send.Call, fanout.Refused)...)
				}
			}
			if len(next) == 0 {
				now = run.Next()
				next = run.Tick(now)
			}
			actions = next
		}
		refuse := actions[len(actions)-1].(fanout.Finish).Response.(fanout.Refuse)
		assert.Assert(t, refuse.Busy)
		assert.Assert(t, refuse.RetryAfter < time.Second, "%s", refuse.RetryAfter)
	})
	t.Run("else clients return when enough shards have a target again", func(t *testing.T) {
		for _, test := range []struct {
			pauses []time.Duration
			want   time.Duration
		}{
			{[]time.Duration{4 * time.Second, 2 * time.Second}, 2 * time.Second},
			{[]time.Duration{4 * time.Second, 2 * time.Second, 3 * time.Second}, 3 * time.Second},
		} {
			refuse := newRun(test.pauses...).Start(start)[0].(fanout.Finish).Response.(fanout.Refuse)
			assert.Equal(t, refuse.RetryAfter, test.want)
		}
	})
}

// TestLeavingAlone guards against the loss of a shard whose only target leaves: it is called until half of the drain delay, then the part
// is left out of the answer.
func TestLeavingAlone(t *testing.T) {
	services := serviceNames(8)
	shared := newSharedState(services)
	shared.Fleet = newFleetWithReplicas(services, 1)
	shared.Fleet.SetMaxDrainDelay(2 * time.Second)
	endpoint, _ := shared.Fleet.Endpoint("s00-a")
	shared.Fleet.ApplyReport(start, endpoint, place.TargetReport{Leaving: true})
	assertCalled := func(after time.Duration, want bool) {
		called := false
		for _, action := range fanout.New(gatherSpec(services), shared, start.Add(after)).Start(start.Add(after)) {
			send, ok := action.(fanout.Send)
			called = called || ok && send.Target.ID == "s00-a"
		}
		assert.Equal(t, called, want, "after %s", after)
	}
	assertCalled(999*time.Millisecond, true)
	assertCalled(time.Second, false)
}

// TestColdElsewhere guards against direct calls to a cold target of another failure domain, and against the loss of its shard: the only
// part must go to a VM there that has a share of the target's calls.
func TestColdElsewhere(t *testing.T) {
	table, _ := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "s", WarmUp: time.Minute, ColdCallsPerSecond: 5}}})
	shared := newSharedState(nil)
	shared.Fleet.SetTable(table)
	shared.Fleet.LimitCold("vm-a", place.ColdBounds{})
	shared.Fleet.Update(start, place.Endpoint{ID: "cold", Service: "s", FailureDomain: "b", Slots: 2, State: place.Ready, WarmupLeft: time.Minute})
	spec := gatherSpec([]string{"s"})
	relay, ok := fanout.New(spec, shared, start).Start(start)[0].(fanout.Relay)
	assert.Assert(t, ok)
	assert.Equal(t, relay.VM.ID, "vm-b")
}
