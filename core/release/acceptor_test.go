package release_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/release"
)

// delayed is an update of the head that had no answer and may still take effect.
type delayed struct {
	head    release.Head
	version int64
}

// platform is a fake store whose answers can be lost and whose updates can come late.
type platform struct {
	head    release.Head
	version int64
	parts   map[release.Digest][]byte
	late    []delayed
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

// perform carries out an action, with a fault drawn for each call.
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
		platform.late = append(platform.late, delayed{action.Head, action.Version})
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

// worker is one acceptor and what it answered.
type worker struct {
	note     release.Note
	acceptor *release.Acceptor
	action   release.Action
	giveUpAt int
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
	if !worker.done() && worker.steps >= worker.giveUpAt {
		worker.action = worker.acceptor.GiveUp()
	}
}

// TestAcceptedOnce runs the rules of model/release.pml on the real core.
func TestAcceptedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		platform := &platform{parts: map[release.Digest][]byte{}}
		var workers []*worker
		for i := range 4 {
			// The first two submit the same note, as an operator does who lost the answer.
			submitted := note(fmt.Sprintf("n%d", max(1, i)), 0, fmt.Sprintf("c%d", i/2))
			if i < 2 {
				submitted = note("n1", 0, "c0")
			}
			acceptor := release.NewAcceptor(submitted, nil)
			workers = append(workers, &worker{note: submitted, acceptor: acceptor, action: acceptor.Step(release.Begin{}),
				giveUpAt: rapid.IntRange(2, 30).Draw(t, "patience")})
		}
		for open := workers; len(open) > 0; open = undone(workers) {
			if len(platform.late) > 0 && rapid.Bool().Draw(t, "late") {
				platform.update(platform.late[0].head, platform.late[0].version)
				platform.late = platform.late[1:]
			}
			open[rapid.IntRange(0, len(open)-1).Draw(t, "worker")].step(t, platform)
		}
		for _, late := range platform.late {
			platform.update(late.head, late.version)
		}
		assertOnce(t, platform, workers)
	})
}

func undone(workers []*worker) []*worker {
	var open []*worker
	for _, worker := range workers {
		if !worker.done() {
			open = append(open, worker)
		}
	}
	return open
}

func assertOnce(t *rapid.T, platform *platform, workers []*worker) {
	times := map[string]int{}
	for _, accepted := range platform.history {
		times[accepted.Note]++
	}
	for id, count := range times {
		assert.Assert(t, count == 1, "note %s was accepted %d times", id, count)
	}
	assert.Equal(t, platform.head.Release, int64(len(platform.history)))
	for _, worker := range workers {
		switch action := worker.action.(type) {
		case release.Done:
			assert.Equal(t, times[worker.note.ID], 1)
		case release.Refused:
			refused, ok := action.Err.(*release.Error)
			assert.Assert(t, ok)
			assert.Assert(t, refused.Winner != worker.note.ID, "a note lost against itself")
			if refused.Kind != release.Unknown {
				assertNotByThis(t, times, workers, worker)
			}
		}
	}
}

// assertNotByThis allows that another submission of the same note was accepted.
func assertNotByThis(t *rapid.T, times map[string]int, workers []*worker, refused *worker) {
	for _, other := range workers {
		if other != refused && other.note.ID == refused.note.ID {
			return
		}
	}
	assert.Equal(t, times[refused.note.ID], 0, "refused note %s was accepted", refused.note.ID)
}

// TestAdoptForward shows a VM heads in any order, with parts missing, and restarts it.
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
			shown := parts
			if rapid.IntRange(0, 3).Draw(t, "lack parts") == 0 {
				shown = nil
			}
			before := adopter.Release()
			adopted, err := adopter.Adopt(head, shown)
			assert.Assert(t, adopter.Release() >= before)
			assert.Equal(t, adopted, adopter.Release() == head.Release && before < head.Release)
			if err == nil && adopter.Release() > 0 {
				assert.Equal(t, len(adopter.Configuration().Classes), int(adopter.Release()))
			}
		}
	})
}
