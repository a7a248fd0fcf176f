package release_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/release"
)

// delayedUpdate is a head update whose reply was lost and which may still take effect.
type delayedUpdate struct {
	head    release.Head
	version int64
}

// platform is a fake store that loses replies and delays head updates.
type platform struct {
	head    release.Head
	version int64
	parts   map[release.Digest][]byte
	delayed []delayedUpdate
	history []release.AcceptedNote
}

func (platform *platform) update(head release.Head, version int64) bool {
	if version != platform.version {
		return false
	}
	platform.head, platform.version = head, platform.version+1
	platform.history = append(platform.history, head.RecentNotes[0])
	return true
}

// perform executes an action, with a fault drawn for each call.
func (platform *platform) perform(t *rapid.T, action release.Action) release.Event {
	fault := rapid.IntRange(0, 5).Draw(t, "fault")
	switch action := action.(type) {
	case release.ReadHead:
		if fault == 0 {
			return release.NotSent{}
		}
		return release.HeadRead{Head: platform.head, Version: platform.version}
	case release.ReadParts:
		return release.PartsRead{Parts: platform.parts}
	case release.WriteParts:
		for digest, part := range action.Parts {
			platform.parts[digest] = part
		}
		return release.Written{}
	case release.UpdateHead:
		return platform.updateHead(fault, action)
	}
	return release.NotSent{}
}

func (platform *platform) updateHead(fault int, action release.UpdateHead) release.Event {
	switch fault {
	case 0:
		return release.NotSent{}
	case 1:
		platform.delayed = append(platform.delayed, delayedUpdate{action.Head, action.Version})
		return release.Lost{}
	case 2:
		platform.update(action.Head, action.Version)
		return release.Lost{}
	}
	if platform.update(action.Head, action.Version) {
		return release.Written{}
	}
	return release.Stale{}
}

// worker drives one acceptor; its last action is the result.
type worker struct {
	note     release.Note
	acceptor *release.Acceptor
	action   release.Action
	maxSteps int
	steps    int
}

func (worker *worker) done() bool {
	switch worker.action.(type) {
	case release.Done, release.Refused:
		return true
	}
	return false
}

func (worker *worker) step(t *rapid.T, platform *platform) {
	worker.steps++
	worker.action = worker.acceptor.Step(platform.perform(t, worker.action))
	if !worker.done() && worker.steps >= worker.maxSteps {
		worker.action = worker.acceptor.GiveUp()
	}
}

// TestAcceptedOnce checks the rules of model/release.pml on the implementation: a note must become a release at most once, and a note that
// was refused for certain must not become one. Lost replies, delayed head updates and resubmissions could break either.
func TestAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := &platform{parts: map[release.Digest][]byte{}}
		var workers []*worker
		for i := range 4 {
			// The first two submit the same note, like an operator who retries after a lost reply; the last two notes add the same class.
			submitted := note(fmt.Sprintf("n%d", max(1, i)), 0, fmt.Sprintf("c%d", i/2))
			if i < 2 {
				submitted = note("n1", 0, "c0")
			}
			acceptor := release.NewAcceptor(submitted, nil)
			workers = append(workers, &worker{note: submitted, acceptor: acceptor, action: acceptor.Step(release.Begin{}),
				maxSteps: rapid.IntRange(2, 30).Draw(t, "max steps")})
		}
		for pending := workers; len(pending) > 0; pending = unfinished(workers) {
			if len(platform.delayed) > 0 && rapid.Bool().Draw(t, "delayed update takes effect") {
				platform.update(platform.delayed[0].head, platform.delayed[0].version)
				platform.delayed = platform.delayed[1:]
			}
			pending[rapid.IntRange(0, len(pending)-1).Draw(t, "worker")].step(t, platform)
		}
		for _, delayed := range platform.delayed {
			platform.update(delayed.head, delayed.version)
		}
		assertAcceptedOnce(t, platform, workers)
	})
}

func unfinished(workers []*worker) []*worker {
	var pending []*worker
	for _, worker := range workers {
		if !worker.done() {
			pending = append(pending, worker)
		}
	}
	return pending
}

func assertAcceptedOnce(t *rapid.T, platform *platform, workers []*worker) {
	acceptances := map[string]int{}
	for _, accepted := range platform.history {
		acceptances[accepted.Note]++
	}
	for id, count := range acceptances {
		assert.Assert(t, count == 1, "note %s was accepted %d times", id, count)
	}
	assert.Equal(t, platform.head.Release, int64(len(platform.history)))
	for _, worker := range workers {
		switch action := worker.action.(type) {
		case release.Done:
			assert.Equal(t, acceptances[worker.note.ID], 1)
		case release.Refused:
			refused, ok := action.Err.(*release.Error)
			assert.Assert(t, ok)
			assert.Assert(t, refused.Winner != worker.note.ID, "a note conflicts with itself")
			if refused.Kind != release.Unknown {
				assertNotAccepted(t, acceptances, workers, worker)
			}
		}
	}
}

// assertNotAccepted checks that a refused note did not become a release, unless another worker submitted the same note.
func assertNotAccepted(t *rapid.T, acceptances map[string]int, workers []*worker, refused *worker) {
	for _, other := range workers {
		if other != refused && other.note.ID == refused.note.ID {
			return
		}
	}
	assert.Equal(t, acceptances[refused.note.ID], 0, "refused note %s was accepted", refused.note.ID)
}

// TestAdoptForward offers a VM release heads in random order, some without their parts; the adopted release must never go back.
func TestAdoptForward(t *testing.T) {
	state, parts := release.State{}, map[release.Digest][]byte{}
	state, _ = release.Load(release.Head{}, nil)
	var heads []release.Head
	for i := range 6 {
		proposal, err := state.Propose(note(fmt.Sprintf("n%d", i), int64(i), fmt.Sprintf("c%d", i)))
		assert.NilError(t, err)
		for digest, part := range proposal.Parts {
			parts[digest] = part
		}
		state, err = release.Load(proposal.Head, parts)
		assert.NilError(t, err)
		heads = append(heads, proposal.Head)
	}
	rapid.Check(t, func(t *rapid.T) {
		adopter := release.NewAdopter()
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			head := rapid.SampledFrom(heads).Draw(t, "head")
			available := parts
			if rapid.IntRange(0, 3).Draw(t, "omit parts") == 0 {
				available = nil
			}
			before := adopter.Release()
			adopted, err := adopter.Adopt(head, available)
			assert.Assert(t, adopter.Release() >= before)
			assert.Equal(t, adopted, adopter.Release() == head.Release && before < head.Release)
			if err == nil && adopter.Release() > 0 {
				assert.Equal(t, len(adopter.Configuration().Classes), int(adopter.Release()))
			}
		}
	})
}
