package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/place"
)

const (
	route  = "r"
	median = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

func newFleet(servers ...place.Endpoint) *place.Fleet {
	fleet := place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
	fleet.SetObjective(route, 8*median)
	for _, server := range servers {
		fleet.Update(start, server)
	}
	return fleet
}

func server(id, domain string) place.Endpoint {
	return place.Endpoint{ID: id, Service: "s", Address: id, FailureDomain: domain, Slots: 2, State: place.Ready}
}

func assertChosen(t *testing.T, fleet *place.Fleet, now time.Time, want string) {
	t.Helper()
	chosen, ok := fleet.Choose(now, "s", route, nil)
	assert.Assert(t, ok)
	assert.Equal(t, chosen.ID, want)
}

func assertNone(t *testing.T, fleet *place.Fleet, now time.Time) {
	t.Helper()
	chosen, ok := fleet.Choose(now, "s", route, nil)
	assert.Assert(t, !ok, "%s was chosen", chosen.ID)
}

// answer plays calls of one latency to a server.
func answer(fleet *place.Fleet, now time.Time, id string, latency time.Duration, calls int) time.Time {
	for range calls {
		flight := fleet.StartAttempt(now, id, route)
		now = now.Add(latency)
		flight.Answered(now)
	}
	return now
}

func TestChoose(t *testing.T) {
	t.Run("own failure domain first", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		assertChosen(t, fleet, start, "here")
	})
	t.Run("not one that is leaving", func(t *testing.T) {
		leaving := server("here", "a")
		leaving.State = place.Draining
		fleet := newFleet(leaving, server("there", "b"))
		assertChosen(t, fleet, start, "there")
	})
	t.Run("not one whose entry is gone", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		fleet.Remove("here")
		assertNone(t, fleet, start)
	})
	t.Run("not one whose address another server has", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		fleet.StartAttempt(start, "here", route).Displaced()
		assertChosen(t, fleet, start, "there")
	})
	t.Run("not one that cannot be reached", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		fleet.StartAttempt(start, "here", route).Unreachable(start)
		assertChosen(t, fleet, start, "there")
	})
	t.Run("one that cannot be reached where there is no other", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		fleet.StartAttempt(start, "here", route).Unreachable(start)
		assertChosen(t, fleet, start, "here")
	})
	t.Run("not one that has stopped answering", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		fleet.StartAttempt(start, "here", route)
		assertChosen(t, fleet, start.Add(5*median), "there")
		assert.Assert(t, fleet.Stuck(start.Add(5*median), "here"))
	})
	t.Run("again once it answers", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		flight := fleet.StartAttempt(start, "here", route)
		flight.Answered(start.Add(10 * median))
		assertChosen(t, fleet, start.Add(10*median), "here")
	})
	t.Run("a crash is not a broken connection", func(t *testing.T) {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		fleet.StartAttempt(start, "here", route).ConnectionBroken(start)
		assertChosen(t, fleet, start.Add(100*time.Millisecond), "here")
	})
}

func TestSlowServer(t *testing.T) {
	fleet := newFleet(server("here", "a"), server("there", "b"))
	now := answer(fleet, start, "there", median, 10)
	now = answer(fleet, now, "here", 10*median, 12)
	t.Run("is avoided", func(t *testing.T) { assertChosen(t, fleet, now, "there") })
	t.Run("is tried again after a while", func(t *testing.T) { assertChosen(t, fleet, now.Add(10*time.Second), "here") })
	t.Run("counts again once it has recovered", func(t *testing.T) {
		later := answer(fleet, now.Add(time.Second), "here", median, 12)
		assertChosen(t, fleet, later, "here")
	})
}

func TestLapsedEntry(t *testing.T) {
	lapse := func() *place.Fleet {
		fleet := newFleet(server("here", "a"), server("there", "b"))
		fleet.ReplaceTargets(start, []place.Endpoint{server("there", "b")}, true)
		return fleet
	}
	t.Run("comes last", func(t *testing.T) { assertChosen(t, lapse(), start, "there") })
	t.Run("gets no calls once it has not come back", func(t *testing.T) {
		fleet := lapse()
		fleet.Remove("there")
		assertChosen(t, fleet, start.Add(2*time.Second), "here")
		assertNone(t, fleet, start.Add(2300*time.Millisecond))
		assert.DeepEqual(t, fleet.Expire(start.Add(2300*time.Millisecond)), []string{"here"})
	})
	t.Run("counts in full once it is back", func(t *testing.T) {
		fleet := lapse()
		fleet.Update(start.Add(time.Second), server("here", "a"))
		assertChosen(t, fleet, start.Add(3*time.Second), "here")
	})
	t.Run("is gone at once while the store was there", func(t *testing.T) {
		fleet := newFleet(server("here", "a"))
		fleet.ReplaceTargets(start, nil, false)
		assertNone(t, fleet, start)
	})
}

func TestRestartedServer(t *testing.T) {
	fleet := newFleet(server("here", "a"), server("there", "b"))
	fleet.StartAttempt(start, "here", route).Unreachable(start)
	reborn := server("here", "a")
	reborn.StartedUnixMilli = 1
	fleet.Update(start, reborn)
	assertChosen(t, fleet, start, "here")
}

// cutOff sends calls to two failure domains that never answer.
func cutOff(fleet *place.Fleet, domains ...string) time.Time {
	now := start
	for i := range 20 {
		for _, domain := range domains {
			fleet.StartAttempt(now, fmt.Sprintf("%s%d", domain, i%2), route)
		}
		now = now.Add(30 * time.Millisecond)
	}
	return now
}

func TestDomains(t *testing.T) {
	all := []place.Endpoint{server("a0", "a"), server("b0", "b"), server("b1", "b"), server("c0", "c"), server("c1", "c")}
	t.Run("silence of all others is isolation", func(t *testing.T) {
		fleet := newFleet(all...)
		now := cutOff(fleet, "b", "c")
		assert.Assert(t, fleet.Isolated(now))
		assert.Equal(t, len(fleet.Probes(now)), 2)
		assertChosen(t, fleet, now, "a0")
	})
	t.Run("silence of one is not", func(t *testing.T) {
		fleet := newFleet(all...)
		assert.Assert(t, !fleet.Isolated(cutOff(fleet, "b")))
	})
	t.Run("a connection ends it", func(t *testing.T) {
		fleet := newFleet(all...)
		now := cutOff(fleet, "b", "c")
		fleet.FailureDomainReached("b")
		assert.Assert(t, !fleet.Isolated(now))
	})
	t.Run("what is served without the others", func(t *testing.T) {
		fleet := newFleet(all...)
		now := cutOff(fleet, "b", "c")
		assert.Assert(t, fleet.HasCoverage(now, []string{"s"}, 1))
		fleet.Remove("a0")
		assert.Assert(t, !fleet.HasCoverage(now, []string{"s"}, 0.5))
	})
	t.Run("relays are sought only where the best server is elsewhere", func(t *testing.T) {
		fleet := newFleet(all...)
		assert.Equal(t, len(fleet.BestFailureDomains(start, "s", route, false)), 0)
		fleet.Remove("a0")
		assert.Equal(t, len(fleet.BestFailureDomains(start, "s", route, false)), 2)
	})
}

func TestOverburdened(t *testing.T) {
	peer := func(id string, cores float64) place.Endpoint {
		return place.Endpoint{ID: id, Service: "vms", FailureDomain: "a", Slots: 16, State: place.Ready, Cores: cores, Peer: true}
	}
	for name, want := range map[string]struct {
		calls    int
		cores    float64
		burdened bool
	}{
		"few calls":              {20, 0.8, false},
		"many calls":             {70, 0.8, true},
		"no VM that is stronger": {70, 0.5, false},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(peer("vm", want.cores))
			assert.Equal(t, fleet.ShouldOffload(start, want.calls, 10*time.Millisecond, "vms"), want.burdened)
		})
	}
}

// TestChooseNeverLeaving checks over random histories that calls go only to servers that are ready, known and not excluded.
func TestChooseNeverLeaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet()
		ready := map[string]bool{}
		now := start
		var flights []*place.Attempt
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("i%d", rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				fleet.Update(now, server(id, "a"))
				ready[id] = true
			case 1:
				leaving := server(id, "a")
				leaving.State = place.Draining
				fleet.Update(now, leaving)
				ready[id] = false
			case 2:
				fleet.Remove(id)
				ready[id] = false
			case 3:
				flights = append(flights, fleet.StartAttempt(now, id, route))
			case 4:
				for _, flight := range flights {
					flight.Answered(now)
				}
				flights = nil
			case 5:
				for _, flight := range flights {
					flight.Unreachable(now)
				}
				flights = nil
			}
			if chosen, ok := fleet.Choose(now, "s", route, []string{"i0"}); ok {
				assert.Assert(t, ready[chosen.ID], "%s was chosen", chosen.ID)
				assert.Assert(t, chosen.ID != "i0")
			}
		}
	})
}
