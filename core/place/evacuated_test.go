package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// TestEvacuatedFailureDomain guards against calls to targets of an evacuated failure domain, also by relays, and against a VM that counts
// them as capacity or as a sign of a partition.
func TestEvacuatedFailureDomain(t *testing.T) {
	peer := place.Endpoint{ID: "vm-b1", Service: "relay/b", FailureDomain: "b", State: place.Ready, Peer: true}
	fleet := newFleet(target("here", "a"), target("there", "b"), peer)
	began, ended := fleet.SetEvacuated(start, []string{"a"})
	assert.DeepEqual(t, [][]string{began, ended}, [][]string{{"a"}, nil})
	assertChosen(t, fleet, start, "there")
	_, ok := fleet.ChooseLocal(start, "s", route)
	assert.Assert(t, !ok)
	fleet.SetEvacuated(start, []string{"a", "b"})
	assertNoChoice(t, fleet, start)
	assert.Assert(t, !fleet.HasCoverage(start, place.MergedCalls, []string{"s"}, 0.5))
	assert.Equal(t, len(fleet.BestFailureDomains(start, "s", route, false)), 0)
	_, ok = fleet.Choose(start, "relay/b", route, nil)
	assert.Assert(t, ok, "VMs of an evacuated failure domain continue to serve")
	_, ended = fleet.SetEvacuated(start, []string{"b"})
	assert.DeepEqual(t, ended, []string{"a"})
	assertChosen(t, fleet, start, "here")
}

// TestEvacuatedAndCutOff guards against a VM that leaves the rotation, or probes targets, because an evacuated failure domain is silent.
func TestEvacuatedAndCutOff(t *testing.T) {
	fleet := newFleet(target("here", "a"), target("b0", "b"), target("b1", "b"))
	now := silence(fleet, "b")
	assert.Assert(t, fleet.Isolated(now))
	fleet.SetEvacuated(now, []string{"b"})
	assert.Assert(t, !fleet.Isolated(now))
	assert.Equal(t, len(fleet.Probes(now.Add(time.Millisecond))), 0)
}

// TestEvacuatedAndPaused guards against clients that are told to return at the end of a target's pause though its failure domain is evacuated.
func TestEvacuatedAndPaused(t *testing.T) {
	fleet := newFleet(target("here", "a"))
	fleet.ApplyReport(start, target("here", "a"), place.TargetReport{PauseFor: time.Minute})
	_, paused := fleet.NextPauseEnd(start, "s", nil)
	assert.Assert(t, paused)
	fleet.SetEvacuated(start, []string{"a"})
	_, paused = fleet.NextPauseEnd(start, "s", nil)
	assert.Assert(t, !paused)
}
