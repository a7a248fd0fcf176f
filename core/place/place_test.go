package place_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
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

func newFleet(endpoints ...place.Endpoint) *place.Fleet {
	fleet := place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
	fleet.SetObjective(route, 8*median)
	for _, endpoint := range endpoints {
		fleet.Update(start, endpoint)
	}
	return fleet
}

func target(id, failureDomain string) place.Endpoint {
	return place.Endpoint{ID: id, Service: "s", Address: id, FailureDomain: failureDomain, Slots: 2, State: place.Ready}
}

func assertChosen(t *testing.T, fleet *place.Fleet, now time.Time, want string) {
	t.Helper()
	chosen, ok := fleet.Choose(now, "s", route, nil)
	assert.Assert(t, ok)
	assert.Equal(t, chosen.ID, want)
}

func assertNoChoice(t *testing.T, fleet *place.Fleet, now time.Time) {
	t.Helper()
	chosen, ok := fleet.Choose(now, "s", route, nil)
	assert.Assert(t, !ok, "%s was chosen", chosen.ID)
}

// playCalls plays calls of one latency to an endpoint, one after the other, and returns the time after the last.
func playCalls(fleet *place.Fleet, now time.Time, id string, latency time.Duration, calls int) time.Time {
	for range calls {
		attempt := fleet.StartAttempt(now, id, route)
		now = now.Add(latency)
		attempt.Answered(now)
	}
	return now
}

func TestChoose(t *testing.T) {
	t.Run("prefers the own failure domain", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		assertChosen(t, fleet, start, "here")
	})
	t.Run("skips a draining target", func(t *testing.T) {
		draining := target("here", "a")
		draining.State = place.Draining
		fleet := newFleet(draining, target("there", "b"))
		assertChosen(t, fleet, start, "there")
	})
	t.Run("skips a removed target", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		fleet.Remove("here")
		assertNoChoice(t, fleet, start)
	})
	t.Run("skips a displaced target", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.StartAttempt(start, "here", route).Displaced()
		assertChosen(t, fleet, start, "there")
	})
	t.Run("avoids an unreachable target", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.StartAttempt(start, "here", route).Unreachable(start)
		assertChosen(t, fleet, start, "there")
	})
	t.Run("calls an unreachable target if there is no other", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		fleet.StartAttempt(start, "here", route).Unreachable(start)
		assertChosen(t, fleet, start, "here")
	})
	t.Run("avoids a stuck target", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.StartAttempt(start, "here", route)
		assertChosen(t, fleet, start.Add(5*median), "there")
		assert.Assert(t, fleet.Stuck(start.Add(5*median), "here"))
	})
	t.Run("returns to a stuck target that answers", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		attempt := fleet.StartAttempt(start, "here", route)
		attempt.Answered(start.Add(10 * median))
		assertChosen(t, fleet, start.Add(10*median), "here")
	})
	t.Run("avoids a target that answers nothing but invalid responses", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		for range 3 {
			fleet.StartAttempt(start, "here", route).InvalidAnswer(start)
		}
		assertChosen(t, fleet, start.Add(100*time.Millisecond), "there")
	})
	t.Run("does not regard a target as down after one invalid response", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.StartAttempt(start, "here", route).InvalidAnswer(start)
		assertChosen(t, fleet, start.Add(100*time.Millisecond), "here")
	})
	t.Run("does not regard a target as down after one broken connection", func(t *testing.T) {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.StartAttempt(start, "here", route).ConnectionBroken(start)
		assertChosen(t, fleet, start.Add(100*time.Millisecond), "here")
	})
}

func TestSlowTarget(t *testing.T) {
	fleet := newFleet(target("here", "a"), target("there", "b"))
	now := playCalls(fleet, start, "there", median, 10)
	now = playCalls(fleet, now, "here", 10*median, 12)
	t.Run("is avoided", func(t *testing.T) { assertChosen(t, fleet, now, "there") })
	t.Run("is tried again after its slowness has decayed", func(t *testing.T) { assertChosen(t, fleet, now.Add(10*time.Second), "here") })
	t.Run("is preferred again once it has recovered", func(t *testing.T) {
		later := playCalls(fleet, now.Add(time.Second), "here", median, 12)
		assertChosen(t, fleet, later, "here")
	})
}

func TestLapsedEntry(t *testing.T) {
	lapsedFleet := func() *place.Fleet {
		fleet := newFleet(target("here", "a"), target("there", "b"))
		fleet.ReplaceTargets(start, []place.Endpoint{target("there", "b")}, true)
		return fleet
	}
	t.Run("is called only after the others", func(t *testing.T) { assertChosen(t, lapsedFleet(), start, "there") })
	t.Run("gets no calls after the grace period", func(t *testing.T) {
		fleet := lapsedFleet()
		fleet.Remove("there")
		assertChosen(t, fleet, start.Add(2*time.Second), "here")
		assertNoChoice(t, fleet, start.Add(2300*time.Millisecond))
		assert.DeepEqual(t, fleet.Expire(start.Add(2300*time.Millisecond)), []string{"here"})
	})
	t.Run("is preferred again once it reappears", func(t *testing.T) {
		fleet := lapsedFleet()
		fleet.Update(start.Add(time.Second), target("here", "a"))
		assertChosen(t, fleet, start.Add(3*time.Second), "here")
	})
	t.Run("is removed at once if the store was available", func(t *testing.T) {
		fleet := newFleet(target("here", "a"))
		fleet.ReplaceTargets(start, nil, false)
		assertNoChoice(t, fleet, start)
	})
}

// TestEntryUnderVMName guards against an entry of a target under the name of a VM that replaces the VM, or removes it when it changes.
func TestEntryUnderVMName(t *testing.T) {
	vm := place.Endpoint{ID: "vm", Service: "vms", Address: "10.0.0.1:1", FailureDomain: "b", State: place.Ready, Peer: true}
	fleet := newFleet(vm)
	assertKept := func() {
		t.Helper()
		endpoint, _ := fleet.Endpoint("vm")
		assert.Equal(t, endpoint, vm)
	}
	fleet.Update(start, target("vm", "a"))
	assertKept()
	fleet.MarkLapsed(start, "vm")
	fleet.Expire(start.Add(time.Hour))
	assertKept()
	assert.Assert(t, !fleet.Remove("vm"))
	assertKept()
}

func TestRestartedTarget(t *testing.T) {
	fleet := newFleet(target("here", "a"), target("there", "b"))
	fleet.StartAttempt(start, "here", route).Unreachable(start)
	restarted := target("here", "a")
	restarted.StartedUnixMilli = 1
	fleet.Update(start, restarted)
	assertChosen(t, fleet, start, "here")
}

// silence plays calls to failure domains that never answer and returns the time after the last.
func silence(fleet *place.Fleet, failureDomains ...string) time.Time {
	now := start
	for i := range 20 {
		for _, failureDomain := range failureDomains {
			fleet.StartAttempt(now, fmt.Sprintf("%s%d", failureDomain, i%2), route)
		}
		now = now.Add(30 * time.Millisecond)
	}
	return now
}

// burst plays calls to a failure domain that has not answered them yet and returns the time at which it is suspect.
func burst(fleet *place.Fleet, failureDomain string) time.Time {
	for i := range 10 {
		fleet.StartAttempt(start, fmt.Sprintf("%s%d", failureDomain, i%2), route)
	}
	return start.Add(150 * time.Millisecond)
}

func TestFailureDomains(t *testing.T) {
	all := []place.Endpoint{target("a0", "a"), target("b0", "b"), target("b1", "b"), target("c0", "c"), target("c1", "c")}
	t.Run("this VM is isolated if no other failure domain answers", func(t *testing.T) {
		fleet := newFleet(all...)
		now := silence(fleet, "b", "c")
		assert.Assert(t, fleet.Isolated(now))
		assert.Equal(t, len(fleet.Probes(now)), 2)
		assertChosen(t, fleet, now, "a0")
	})
	t.Run("it is not isolated if only one does not answer", func(t *testing.T) {
		fleet := newFleet(all...)
		assert.Assert(t, !fleet.Isolated(silence(fleet, "b")))
	})
	t.Run("a connection ends the isolation", func(t *testing.T) {
		fleet := newFleet(all...)
		now := silence(fleet, "b", "c")
		fleet.Reached(fleet.Probes(now)[0])
		assert.Assert(t, !fleet.Isolated(now))
	})
	t.Run("a failure domain whose probes fail is cut off before calls show it", func(t *testing.T) {
		fleet := newFleet(all...)
		assert.Assert(t, !fleet.AwaitsAnswers(start))
		now := burst(fleet, "b")
		assert.Assert(t, fleet.AwaitsAnswers(now))
		assertChosen(t, fleet, now, "a0")
		probes := fleet.SuspectProbes(now)
		assert.Equal(t, len(probes), 2)
		assert.Equal(t, len(fleet.SuspectProbes(now)), 0, "probes are not repeated at once")
		fleet.ProbeFailed(probes[0])
		assert.Equal(t, len(fleet.Probes(now)), 0, "one endpoint may be down")
		fleet.ProbeFailed(probes[1])
		assert.Equal(t, len(fleet.Probes(now)), 1)
		assert.Assert(t, !fleet.AwaitsAnswers(now), "probes of the failure domains that are cut off go on")
	})
	t.Run("calls whose callers have left cut nothing off long afterwards", func(t *testing.T) {
		fleet := newFleet(all...)
		for range 5 {
			fleet.StartAttempt(start, "b0", route).Cancelled(start.Add(time.Millisecond))
		}
		now := start.Add(time.Minute)
		fleet.StartAttempt(now, "b1", route)
		targets, _ := fleet.CutOffDomains(now)
		assert.Equal(t, targets, 0)
		assert.Equal(t, len(fleet.SuspectProbes(now)), 2, "but it is probed at once")
		targets, _ = fleet.CutOffDomains(now.Add(400 * time.Millisecond))
		assert.Equal(t, targets, 1)
	})
	t.Run("a failure domain that answers meanwhile is not cut off", func(t *testing.T) {
		fleet := newFleet(all...)
		now := burst(fleet, "b")
		probes := fleet.SuspectProbes(now)
		fleet.StartAttempt(now, "b0", route).Answered(now)
		for _, probe := range probes {
			fleet.ProbeFailed(probe)
		}
		assert.Equal(t, len(fleet.Probes(now.Add(time.Second))), 0)
	})
	t.Run("VMs and targets of a failure domain are reached on different paths", func(t *testing.T) {
		vm := place.Endpoint{ID: "vm", Service: "vms", FailureDomain: "b", State: place.Ready, Peer: true}
		fleet := newFleet(append(all, vm)...)
		now := silence(fleet, "b")
		fleet.StartAttempt(now, "vm", route).Answered(now)
		assert.Assert(t, fleet.CutOff(now, "b"))
		_, ok := fleet.Choose(now, "vms", route, nil)
		assert.Assert(t, ok, "a VM of a failure domain whose targets are cut off")
	})
	t.Run("the other path to a suspect failure domain is probed too", func(t *testing.T) {
		vm := place.Endpoint{ID: "vm", Service: "vms", FailureDomain: "b", State: place.Ready, Peer: true}
		fleet := newFleet(append(all, vm)...)
		now := burst(fleet, "b")
		for _, probe := range fleet.SuspectProbes(now) {
			fleet.ProbeFailed(probe)
		}
		_, ok := fleet.Choose(now, "vms", route, nil)
		assert.Assert(t, !ok)
	})
	t.Run("calls that are not sent do not make a failure domain suspect", func(t *testing.T) {
		fleet := newFleet(all...)
		for range 20 {
			fleet.StartAttempt(start, "b0", route).Withdraw()
		}
		assert.Equal(t, len(fleet.SuspectProbes(start.Add(time.Second))), 0)
		assert.Equal(t, len(fleet.Probes(start.Add(time.Second))), 0)
	})
	t.Run("coverage counts only callable targets", func(t *testing.T) {
		fleet := newFleet(all...)
		now := silence(fleet, "b", "c")
		assert.Assert(t, fleet.HasCoverage(now, place.MergedCalls, []string{"s"}, 1))
		fleet.Remove("a0")
		assert.Assert(t, !fleet.HasCoverage(now, place.MergedCalls, []string{"s"}, 0.5))
	})
	t.Run("coverage counts targets that a VM next to them can call", func(t *testing.T) {
		vm := place.Endpoint{ID: "vm", Service: "vms", FailureDomain: "b", State: place.Ready, Peer: true}
		fleet := newFleet(target("b0", "b"), target("b1", "b"), vm)
		now := silence(fleet, "b")
		assert.Assert(t, fleet.HasCoverage(now, place.MergedCalls, []string{"s"}, 1))
		fleet.RelayReached(now, "vm", "b", false)
		assert.Assert(t, !fleet.HasCoverage(now, place.MergedCalls, []string{"s"}, 1))
	})
	t.Run("other failure domains are returned only if the best target is there", func(t *testing.T) {
		fleet := newFleet(all...)
		assert.Equal(t, len(fleet.BestFailureDomains(start, "s", route, false)), 0)
		fleet.Remove("a0")
		assert.Equal(t, len(fleet.BestFailureDomains(start, "s", route, false)), 2)
	})
}

// TestPaths guards against targets that count as down for all VMs because this one does not reach them, or the other way round.
func TestPaths(t *testing.T) {
	relayed := func(fleet *place.Fleet) bool {
		_, ok := fleet.ChooseRelayed(start, "s", route, nil, nil)
		return ok
	}
	t.Run("a target that this VM reaches needs no relay", func(t *testing.T) {
		assert.Assert(t, !relayed(newFleet(target("a0", "a"))))
	})
	t.Run("one that it does not reach is called by others", func(t *testing.T) {
		fleet := newFleet(target("a0", "a"))
		fleet.StartAttempt(start, "a0", route).Unreachable(start)
		assert.Assert(t, fleet.Down(start, "a0") && relayed(fleet))
	})
	t.Run("one that others do not reach either is not", func(t *testing.T) {
		fleet := newFleet(target("a0", "a"))
		fleet.StartRelayedAttempt(start, "a0", route, "a").Unreachable(start)
		assert.Assert(t, fleet.Down(start, "a0") && !relayed(fleet))
	})
	t.Run("nor is one for which several relays have declined", func(t *testing.T) {
		fleet := newFleet(target("a0", "a"))
		fleet.StartAttempt(start, "a0", route).Unreachable(start)
		for range 3 {
			assert.Assert(t, relayed(fleet))
			fleet.StartRelayedAttempt(start, "a0", route, "a").Declined(start)
		}
		assert.Assert(t, !relayed(fleet))
	})
	t.Run("an answer to another VM does not end this VM's own trouble", func(t *testing.T) {
		fleet := newFleet(target("a0", "a"))
		fleet.StartAttempt(start, "a0", route).Unreachable(start)
		fleet.StartRelayedAttempt(start, "a0", route, "a").Answered(start)
		assert.Assert(t, fleet.Down(start, "a0") && relayed(fleet))
	})
}

// TestWitnesses guards against targets that count as crashed since a VM does not reach them, and against witnesses that have ended too.
func TestWitnesses(t *testing.T) {
	fleet := newFleet()
	for _, id := range []string{"b0", "b1", "b2", "c0"} {
		endpoint := target(id, id[:1])
		endpoint.Address = "at-" + id
		fleet.Update(start, endpoint)
	}
	fleet.StartAttempt(start, "b2", route).Answered(start.Add(time.Millisecond))
	assert.DeepEqual(t, fleet.Witnesses(start, "b0", 3), []string{"at-b2", "at-b1"})
	assert.DeepEqual(t, fleet.Witnesses(start, "b0", 1), []string{"at-b2"})
	assert.Equal(t, len(fleet.Witnesses(start, "c0", 3)), 0)
}

// TestChooseRelay guards against relays that are down, excluded or outside the permitted regions, and against needless hops.
func TestChooseRelay(t *testing.T) {
	vm := func(id, domain string) place.Endpoint {
		return place.Endpoint{ID: id, Service: "relay/" + domain, FailureDomain: domain, Slots: 16, State: place.Ready, Peer: true}
	}
	fleet := newFleet(vm("vm-a", "a"), vm("vm-b1", "b"), vm("vm-b2", "b"), vm("vm-c", "c"))
	fleet.SetRegions(map[string]string{"a": "x", "b": "x", "c": "y"})
	choose := func(domain string, exclude []string, regions string) string {
		chosen, _ := fleet.ChooseRelay(start, place.NamedCalls, "r", domain, exclude, func(region string) bool { return strings.Contains(regions, region) })
		return chosen.ID
	}
	assert.Equal(t, choose("a", nil, "xy"), "vm-a")
	assert.Equal(t, choose("c", nil, "xy"), "vm-c")
	assert.Equal(t, choose("b", []string{"vm-b1"}, "xy"), "vm-b2")
	assert.Equal(t, choose("c", []string{"vm-a", "vm-b1"}, "x"), "vm-b2")
	fleet.RelayCapable(start, place.NamedCalls, "vm-b1", false)
	assert.Equal(t, choose("b", nil, "xy"), "vm-b2")
	fleet.RelayCapable(start, place.NamedCalls, "vm-b1", true)
	fleet.StartAttempt(start, "vm-b2", "r").Refused(start)
	assert.Equal(t, choose("b", nil, "x"), "vm-b1")
	assert.Equal(t, choose("b", []string{"vm-a", "vm-b1"}, "x"), "")
}

// TestDecliningRelays guards against a VM without targets that leaves VMs alone for seconds after they have got theirs back.
func TestDecliningRelays(t *testing.T) {
	vms := []string{"vm-b", "vm-c"}
	decliningFleet := func() (*place.Fleet, time.Time) {
		fleet, now := newFleet(), start
		for _, id := range vms {
			fleet.Update(now, place.Endpoint{ID: id, Service: "relay/" + id[3:], FailureDomain: id[3:], Slots: 16, State: place.Ready, Peer: true})
		}
		for range 10 {
			now = now.Add(500 * time.Millisecond)
			for _, id := range vms {
				fleet.StartAttempt(now, id, "r").Refused(now)
			}
		}
		return fleet, now
	}
	choose := func(fleet *place.Fleet, now time.Time, exclude ...string) string {
		chosen, _ := fleet.ChooseRelay(now, place.NamedCalls, "r", "a", exclude, func(string) bool { return true })
		return chosen.ID
	}
	t.Run("not at once", func(t *testing.T) {
		fleet, now := decliningFleet()
		assert.Equal(t, choose(fleet, now.Add(50*time.Millisecond)), "")
	})
	t.Run("one in each interval, for all parts of a request", func(t *testing.T) {
		fleet, now := decliningFleet()
		now = now.Add(100 * time.Millisecond)
		asked := choose(fleet, now)
		assert.Assert(t, asked != "")
		attempt := fleet.StartAttempt(now, asked, "r")
		assert.Equal(t, choose(fleet, now), asked)
		assert.Equal(t, choose(fleet, now.Add(time.Millisecond)), "")
		attempt.Refused(now.Add(time.Millisecond))
		other := choose(fleet, now.Add(100*time.Millisecond))
		assert.Assert(t, other != "" && other != asked)
	})
	t.Run("one that answers is asked as usual", func(t *testing.T) {
		fleet, now := decliningFleet()
		now = now.Add(100 * time.Millisecond)
		asked := choose(fleet, now)
		fleet.StartAttempt(now, asked, "r").Answered(now)
		assert.Equal(t, choose(fleet, now.Add(time.Millisecond)), asked)
	})
	t.Run("not one whose link has failed", func(t *testing.T) {
		fleet, now := decliningFleet()
		for _, id := range vms {
			fleet.StartAttempt(now, id, "r").Unreachable(now)
		}
		assert.Equal(t, choose(fleet, now.Add(200*time.Millisecond)), "")
	})
}

// TestIncapableRelay guards against a VM that is left alone for ever because of the build that it once had.
func TestIncapableRelay(t *testing.T) {
	fleet := newFleet(place.Endpoint{ID: "vm", Service: "relay/b", FailureDomain: "b", Slots: 16, State: place.Ready, Peer: true})
	fleet.RelayCapable(start, place.MergedCalls, "vm", false)
	chosen := func(now time.Time, kind place.RelayKind) bool {
		_, ok := fleet.ChooseRelay(now, kind, "r", "b", nil, func(string) bool { return true })
		return ok
	}
	for elapsed, want := range map[time.Duration]bool{0: false, 9 * time.Second: false, 11 * time.Second: true} {
		now := start.Add(elapsed)
		assert.Equal(t, chosen(now, place.MergedCalls), want, "%s", elapsed)
		assert.Equal(t, len(fleet.UnfitRelays(now, place.MergedCalls, "relay/b", "b")) == 0, want, "%s", elapsed)
		assert.Assert(t, chosen(now, place.NamedCalls), "%s", elapsed)
	}
	fleet.RelayCapable(start, place.NamedCalls, "vm", false)
	assert.Assert(t, !chosen(start, place.NamedCalls))
}

func TestShouldOffload(t *testing.T) {
	peer := func(id string, cores float64) place.Endpoint {
		return place.Endpoint{ID: id, Service: "vms", FailureDomain: "a", Slots: 16, State: place.Ready, Cores: cores, Peer: true}
	}
	for name, want := range map[string]struct {
		calls   int
		cores   float64
		offload bool
	}{
		"few calls":      {20, 0.8, false},
		"many calls":     {70, 0.8, true},
		"no stronger VM": {70, 0.5, false},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newFleet(peer("vm", want.cores))
			assert.Equal(t, fleet.ShouldOffload(start, want.calls, 10*time.Millisecond, "vms"), want.offload)
		})
	}
}

// TestChooseOnlyReady guards against calls to endpoints that are draining, removed or excluded, over random histories of updates and calls.
func TestChooseOnlyReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := newFleet()
		ready := map[string]bool{}
		now := start
		var attempts []*place.Attempt
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			id := fmt.Sprintf("i%d", rapid.IntRange(0, 4).Draw(t, "id"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				fleet.Update(now, target(id, "a"))
				ready[id] = true
			case 1:
				draining := target(id, "a")
				draining.State = place.Draining
				fleet.Update(now, draining)
				ready[id] = false
			case 2:
				fleet.Remove(id)
				ready[id] = false
			case 3:
				attempts = append(attempts, fleet.StartAttempt(now, id, route))
			case 4:
				for _, attempt := range attempts {
					attempt.Answered(now)
				}
				attempts = nil
			case 5:
				for _, attempt := range attempts {
					attempt.Unreachable(now)
				}
				attempts = nil
			}
			if chosen, ok := fleet.Choose(now, "s", route, []string{"i0"}); ok {
				assert.Assert(t, ready[chosen.ID], "%s was chosen", chosen.ID)
				assert.Assert(t, chosen.ID != "i0")
			}
		}
	})
}
