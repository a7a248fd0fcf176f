package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// view returns what a fleet knows of a server.
func view(t *testing.T, fleet *place.Fleet, now time.Time, id string) place.EndpointView {
	t.Helper()
	for _, view := range fleet.Views(now) {
		if view.ID == id {
			return view
		}
	}
	t.Fatalf("server %s is not known", id)
	return place.EndpointView{}
}

// hear plays findings of other VMs and reports whether one of them changed where calls go.
func hear(fleet *place.Fleet, now time.Time, list ...place.Observation) bool {
	changed := false
	for _, finding := range list {
		changed = fleet.ApplyObservation(now, finding) || changed
	}
	return changed
}

func TestFindings(t *testing.T) {
	t.Run("usual calls are not told", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		answer(fleet, start, "here", median, 20)
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("slow calls are told once", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		answer(fleet, start, "here", 10*median, 2)
		assert.Assert(t, fleet.HasObservations())
		assert.Equal(t, len(fleet.TakeObservations()), 2)
		assert.Assert(t, !fleet.HasObservations())
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("and that a slow server is well again", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		now := answer(fleet, start, "here", 10*median, 3)
		fleet.TakeObservations()
		answer(fleet, now, "here", median, 1)
		assert.Equal(t, len(fleet.TakeObservations()), 1)
	})
	t.Run("two slow calls of other VMs lead past a server", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		slow := place.Observation{Endpoint: "here", LatencyRatio: 10}
		assert.Assert(t, hear(fleet, start, slow, slow))
		assertChosen(t, fleet, start, "there")
	})
	t.Run("and usual ones back to it", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		slow, well := place.Observation{Endpoint: "here", LatencyRatio: 10}, place.Observation{Endpoint: "here", LatencyRatio: 1}
		hear(fleet, start, slow, slow)
		assert.Assert(t, hear(fleet, start, well, well))
		assertChosen(t, fleet, start, "here")
	})
	t.Run("what is heard is not told again", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		hear(fleet, start, place.Observation{Endpoint: "here", LatencyRatio: 10})
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("nothing is learnt of servers that are not known", func(t *testing.T) {
		assert.Assert(t, !hear(newFleet(server("here", "a")), start, place.Observation{Endpoint: "other", LatencyRatio: 10}))
	})
	t.Run("nothing is told of entry VMs", func(t *testing.T) {
		peer := server("vm", "a")
		peer.Peer = true
		fleet := newFleet(peer)
		answer(fleet, start, "vm", 10*median, 3)
		assert.Equal(t, len(fleet.TakeObservations()), 0)
	})
	t.Run("a bounded number waits to be told", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		answer(fleet, start, "here", 10*median, 5000)
		assert.Assert(t, len(fleet.TakeObservations()) < 1000)
	})
	t.Run("one that was decoded is checked", func(t *testing.T) {
		for _, finding := range []place.Observation{{Endpoint: "", LatencyRatio: 1}, {Endpoint: "i", LatencyRatio: 0}, {Endpoint: "i", LatencyRatio: -1}, {Endpoint: "i", LatencyRatio: 1e9}} {
			assert.Assert(t, !finding.Valid(), "%+v", finding)
		}
	})
}

// TestBrokenOffCounts checks that a call that was broken off late counts from then on, not from the server's last answer.
func TestBrokenOffCounts(t *testing.T) {
	fleet := newFleet(server("here", "a"), server("there", "b"))
	now := answer(fleet, start, "here", median, 5).Add(5 * time.Second)
	for range 3 {
		flight := fleet.StartAttempt(now, "here", route)
		now = now.Add(10 * median)
		flight.Cancelled(now)
	}
	assert.Assert(t, view(t, fleet, now, "here").Slowness > 2)
	assertChosen(t, fleet, now, "there")
}

// TestPooledFindings plays a failure domain of 17 VMs that each ask a server once a second, of which one in six turns ten times
// slower. Each VM by itself needs seconds; told of each other's calls all of them go past it within a few calls.
func TestPooledFindings(t *testing.T) {
	const vms, slowdown = 17, 10
	play := func(pooled bool) int {
		fleets := make([]*place.Fleet, vms)
		for i := range fleets {
			fleets[i] = newFleet(server("slow", "a"), server("there", "b"))
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
			if !pooled {
				continue
			}
			for _, finding := range fleet.TakeObservations() {
				for _, other := range fleets {
					if other != fleet {
						other.ApplyObservation(now.Add(slowdown*median), finding)
					}
				}
			}
		}
		return late
	}
	alone, pooled := play(false), play(true)
	assert.Assert(t, pooled <= vms/2, "%d late calls, %d alone", pooled, alone)
	assert.Assert(t, alone >= vms, "%d late calls alone", alone)
}
