package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// endpointView returns the view of one endpoint.
func endpointView(t *testing.T, fleet *place.Fleet, now time.Time, id string) place.EndpointView {
	t.Helper()
	for _, view := range fleet.Views(now) {
		if view.ID == id {
			return view
		}
	}
	t.Fatalf("endpoint %s is not known", id)
	return place.EndpointView{}
}

// playRareCalls is playCalls with a second before each call.
func playRareCalls(fleet *place.Fleet, now time.Time, id string, latency time.Duration, calls int) time.Time {
	for range calls {
		now = playCalls(fleet, now.Add(time.Second), id, latency, 1)
	}
	return now
}

// applyObservations applies observations of other VMs and reports whether one of them crossed the slowness threshold.
func applyObservations(fleet *place.Fleet, now time.Time, list ...place.Observation) bool {
	changed := false
	for _, observation := range list {
		changed = fleet.ApplyObservation(now, observation) || changed
	}
	return changed
}

func TestObservations(t *testing.T) {
	t.Run("calls of usual latency are not shared", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		playCalls(fleet, start, "here", median, 20)
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("slow calls are shared once", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		playRareCalls(fleet, start, "here", 10*median, 2)
		assert.Assert(t, fleet.HasObservations())
		assert.Equal(t, len(fleet.TakeObservations()), 2)
		assert.Assert(t, !fleet.HasObservations())
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("the first fast answer of a slow target is shared", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		now := playRareCalls(fleet, start, "here", 10*median, 3)
		fleet.TakeObservations()
		playRareCalls(fleet, now, "here", median, 1)
		assert.Equal(t, len(fleet.TakeObservations()), 1)
	})
	t.Run("a single slow call of a VM that calls the target often is not shared", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		now := playCalls(fleet, start, "here", median, 5)
		now = playCalls(fleet, now, "here", 10*median, 1)
		playCalls(fleet, now, "here", median, 5)
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("a VM that calls a target often shares that it has become slow, and that it has recovered", func(t *testing.T) {
		caller, other := newFleet(target("here", "a"), target("there", "b")), newFleet(target("here", "a"), target("there", "b"))
		now := playCalls(caller, start, "here", median, 5)
		for _, phase := range []struct {
			latency time.Duration
			want    string
		}{{10 * median, "there"}, {median, "here"}} {
			now = playCalls(caller, now, "here", phase.latency, 10)
			applyObservations(other, now, caller.TakeObservations()...)
			assertChosen(t, other, now, phase.want)
		}
	})
	t.Run("two slow calls of other VMs divert calls from a target", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		slow := place.Observation{Endpoint: "here", LatencyRatio: 10}
		assert.Assert(t, applyObservations(fleet, start, slow, slow))
		assertChosen(t, fleet, start, "there")
	})
	t.Run("calls of usual latency end the diversion", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		slow, normal := place.Observation{Endpoint: "here", LatencyRatio: 10}, place.Observation{Endpoint: "here", LatencyRatio: 1}
		applyObservations(fleet, start, slow, slow)
		assert.Assert(t, applyObservations(fleet, start, normal, normal))
		assertChosen(t, fleet, start, "here")
	})
	t.Run("observations of other VMs are not shared again", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		applyObservations(fleet, start, place.Observation{Endpoint: "here", LatencyRatio: 10})
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("an observation of an unknown endpoint is ignored", func(t *testing.T) {
		assert.Assert(t, !applyObservations(newFleet(target("here", "a")), start, place.Observation{Endpoint: "other", LatencyRatio: 10}))
	})
	t.Run("calls to entry VMs are not shared", func(t *testing.T) {
		peer := target("vm", "a")
		peer.Peer = true
		fleet := newFleet(peer)
		playCalls(fleet, start, "vm", 10*median, 3)
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("the number of pending observations is bounded", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		playCalls(fleet, start, "here", 10*median, 5000)
		assert.Assert(t, len(fleet.TakeObservations()) < 1000)
	})
	t.Run("invalid observations are detected", func(t *testing.T) {
		for _, observation := range []place.Observation{{Endpoint: "", LatencyRatio: 1}, {Endpoint: "i", LatencyRatio: 0},
			{Endpoint: "i", LatencyRatio: -1}, {Endpoint: "i", LatencyRatio: 1e9}} {
			assert.Assert(t, !observation.Valid(), "%+v", observation)
		}
	})
}

// TestCancelledCallRaisesSlowness guards against slowness that decays from the last answer of a target that no longer answers: a call
// that is cancelled late must count as of its cancellation.
func TestCancelledCallRaisesSlowness(t *testing.T) {
	fleet := newFleet(target("here", "a"), target("there", "b"))
	now := playCalls(fleet, start, "here", median, 5).Add(5 * time.Second)
	for range 3 {
		attempt := fleet.StartAttempt(now, "here", route)
		now = now.Add(10 * median)
		attempt.Cancelled(now)
	}
	assert.Assert(t, endpointView(t, fleet, now, "here").Slowness > 2)
	assertChosen(t, fleet, now, "there")
}

// TestObservationsOfDeadLinks guards against targets that all VMs take for slow because the links of one of them are down. The VM calls the
// target rarely, so that it shares each slow call.
func TestObservationsOfDeadLinks(t *testing.T) {
	fleet := newFleet(target("here", "a"), target("other", "a"))
	now := playCalls(fleet, start, "here", median, 5).Add(time.Second)
	fleet.TakeObservations()
	attempt := fleet.StartAttempt(now, "here", route)
	attempt.Cancelled(now.Add(10 * median))
	assert.Equal(t, len(fleet.TakeObservations()), 0)
	now = now.Add(time.Second)
	attempt = fleet.StartAttempt(now, "here", route)
	fleet.StartAttempt(now, "other", route).Answered(now.Add(median))
	attempt.Cancelled(now.Add(10 * median))
	assert.Equal(t, len(fleet.TakeObservations()), 1, "the link works, so the target is slow")
}

// TestSharedObservations guards against slow detection of a slow target by VMs that each call it rarely. In a failure domain of 17 VMs,
// each makes one call a second, and the target that they prefer has become ten times slower. A VM on its own needs several calls, and
// thus seconds, to avoid it; with shared observations all of them avoid it after a few calls.
func TestSharedObservations(t *testing.T) {
	const vms, slowdown = 17, 10
	play := func(shared bool) int {
		fleets := make([]*place.Fleet, vms)
		for i := range fleets {
			fleets[i] = newFleet(target("slow", "a"), target("there", "b"))
		}
		late := 0
		for call := range 8 * vms { // eight seconds
			now := start.Add(time.Duration(call) * time.Second / vms)
			fleet := fleets[call%vms]
			chosen, ok := fleet.Choose(now, "s", route, nil)
			assert.Assert(t, ok)
			if chosen.ID != "slow" {
				continue
			}
			late++
			fleet.StartAttempt(now, "slow", route).Answered(now.Add(slowdown * median))
			if !shared {
				continue
			}
			for _, observation := range fleet.TakeObservations() {
				for _, other := range fleets {
					if other != fleet {
						other.ApplyObservation(now.Add(slowdown*median), observation)
					}
				}
			}
		}
		return late
	}
	unshared, shared := play(false), play(true)
	assert.Assert(t, shared <= vms/2, "%d late calls, %d without sharing", shared, unshared)
	assert.Assert(t, unshared >= vms, "%d late calls without sharing", unshared)
}

// collect plays three seconds of calls of some VMs to a target and returns how many of the observations a watcher forwards to them.
func collect(watcher *place.Fleet, vms []*place.Fleet, now time.Time, latency func(call int) time.Duration) (calls, forwarded int) {
	const interval = 12 * time.Millisecond
	for call := range int(3 * time.Second / interval) {
		now = now.Add(interval)
		caller := vms[call%len(vms)]
		caller.StartAttempt(now, "here", route).Answered(now.Add(latency(call)))
		calls++
		for _, observation := range caller.TakeObservations() {
			if _, forward := watcher.CollectObservation(now, observation); !forward {
				continue
			}
			forwarded++
			for _, vm := range vms {
				if vm != caller {
					vm.ApplyObservation(now, observation)
				}
			}
		}
	}
	return calls, forwarded
}

// TestCollectedObservations guards against a flood of observations: in a failure domain of 27 VMs that call each target three times a second, a
// tenth of the calls to healthy targets take three times as long as usual, and each observation goes to 26 VMs. What all VMs should hear is
// that a target has become slow, and that it has recovered.
func TestCollectedObservations(t *testing.T) {
	newDomain := func() (watcher *place.Fleet, vms []*place.Fleet) {
		for range 26 {
			vms = append(vms, newFleet(target("here", "a"), target("there", "b")))
		}
		return newFleet(target("here", "a"), target("there", "b")), vms
	}
	noisy := func(call int) time.Duration {
		if call%10 == 0 {
			return 3 * median
		}
		return median
	}
	t.Run("slow calls to a healthy target", func(t *testing.T) {
		watcher, vms := newDomain()
		calls, forwarded := collect(watcher, vms, start, noisy)
		assert.Assert(t, forwarded*100 <= calls, "%d of %d", forwarded, calls)
	})
	t.Run("a target that becomes slow and recovers", func(t *testing.T) {
		watcher, vms := newDomain()
		slow := func(int) time.Duration { return 10 * median }
		calls, forwarded := collect(watcher, vms, start, slow)
		assert.Assert(t, forwarded*10 <= calls, "%d of %d", forwarded, calls)
		for _, vm := range vms {
			assertChosen(t, vm, start.Add(3*time.Second), "there")
		}
		collect(watcher, vms, start.Add(3*time.Second), noisy)
		for _, vm := range vms {
			assertChosen(t, vm, start.Add(6*time.Second), "here")
		}
	})
}
