package release

import "slices"

// Action is what an Acceptor asks its driver to do next.
type Action interface{ action() }

// ReadHead asks for the head and its version in the platform.
type ReadHead struct{}

// ReadParts asks for parts by digest.
type ReadParts struct{ Digests []Digest }

// WriteParts asks to create parts; a part that exists already counts as written.
type WriteParts struct{ Parts map[Digest][]byte }

// UpdateHead asks to replace the head if its version is still the given one.
type UpdateHead struct {
	Head    Head
	Version int64
}

// Done reports the release that the note became.
type Done struct {
	Accepted AcceptedNote
	State    State
	Orphans  []Digest // parts of attempts that lost, which no head can refer to any more
}

// Refused reports that the note did not and will not become a release, unless the error's kind is Unknown.
type Refused struct{ Err error }

func (ReadHead) action()   {}
func (ReadParts) action()  {}
func (WriteParts) action() {}
func (UpdateHead) action() {}
func (Done) action()       {}
func (Refused) action()    {}

// Event is what the driver tells an Acceptor about the last action.
type Event interface{ event() }

// Begin starts the work.
type Begin struct{}

// HeadRead carries the head that was read; version 0 means that there is none.
type HeadRead struct {
	Head    Head
	Version int64
}

// PartsRead carries the parts that were read.
type PartsRead struct{ Parts map[Digest][]byte }

// Written says that the platform confirmed the write.
type Written struct{}

// Stale says that the platform refused the update because the version has changed.
type Stale struct{}

// NotSent says that the platform did not take the call.
type NotSent struct{}

// Lost says that the call may or may not have taken effect.
type Lost struct{}

func (Begin) event()     {}
func (HeadRead) event()  {}
func (PartsRead) event() {}
func (Written) event()   {}
func (Stale) event()     {}
func (NotSent) event()   {}
func (Lost) event()      {}

// Acceptor turns one note into a release exactly once, whatever answers of the platform are lost.
type Acceptor struct {
	note     Note
	attempts int
	head     Head
	version  int64
	parts    map[Digest][]byte
	proposal Proposal
	orphans  []Digest
	unsure   int64 // the head version that an update without an answer may still replace, or settled
	last     Action
}

// settled says that no update of the head can take effect any more.
const settled = -1

// MaxAttempts bounds the calls of one kind that an Acceptor repeats.
const MaxAttempts = 40

// NewAcceptor returns an Acceptor for a note; parts are those that the caller holds already.
func NewAcceptor(note Note, parts map[Digest][]byte) *Acceptor {
	known := map[Digest][]byte{}
	for digest, part := range parts {
		known[digest] = part
	}
	return &Acceptor{note: note, parts: known, unsure: settled}
}

// Parts returns the parts that the acceptor has read or written.
func (acceptor *Acceptor) Parts() map[Digest][]byte { return acceptor.parts }

// Step takes the outcome of the last action and returns the next one.
func (acceptor *Acceptor) Step(event Event) Action {
	acceptor.last = acceptor.next(event)
	return acceptor.last
}

func (acceptor *Acceptor) next(event Event) Action {
	switch event := event.(type) {
	case Begin:
		return ReadHead{}
	case HeadRead:
		acceptor.head, acceptor.version = event.Head, event.Version
		return acceptor.evaluate()
	case PartsRead:
		for digest, part := range event.Parts {
			acceptor.parts[digest] = part
		}
		return acceptor.evaluate()
	case Written:
		return acceptor.written()
	case Stale:
		acceptor.orphan()
		return acceptor.retry(ReadHead{})
	case NotSent:
		return acceptor.retry(acceptor.last)
	case Lost:
		return acceptor.lost()
	}
	return Refused{fail("accept", Invalid, "unexpected event %T", event)}
}

// evaluate looks for the note in the head and otherwise proposes the next release.
func (acceptor *Acceptor) evaluate() Action {
	if missing := acceptor.missing(); len(missing) > 0 {
		return acceptor.retry(ReadParts{missing})
	}
	state, err := Load(acceptor.head, acceptor.parts)
	if err != nil {
		return Refused{err}
	}
	if accepted, ok := acceptor.head.FindAccepted(acceptor.note.ID); ok {
		if accepted.Digest != acceptor.note.Digest() {
			return Refused{fail("accept", Conflict, "the id %s was used by another note, which is release %d", accepted.Note, accepted.Release)}
		}
		return acceptor.done(accepted, state)
	}
	if acceptor.version != acceptor.unsure {
		acceptor.unsure = settled
	}
	proposal, err := state.Propose(acceptor.note)
	if err != nil {
		return Refused{err}
	}
	acceptor.proposal = proposal
	return WriteParts{proposal.Parts}
}

func (acceptor *Acceptor) missing() []Digest {
	var missing []Digest
	for _, digest := range acceptor.head.Parts {
		if _, ok := acceptor.parts[digest]; digest != "" && !ok {
			missing = append(missing, digest)
		}
	}
	return missing
}

func (acceptor *Acceptor) written() Action {
	switch acceptor.last.(type) {
	case WriteParts:
		for digest, part := range acceptor.proposal.Parts {
			acceptor.parts[digest] = part
		}
		return UpdateHead{acceptor.proposal.Head, acceptor.version}
	case UpdateHead:
		return acceptor.finish()
	}
	return Refused{fail("accept", Invalid, "unexpected write")}
}

func (acceptor *Acceptor) finish() Action {
	state, err := Load(acceptor.proposal.Head, acceptor.parts)
	if err != nil {
		return Refused{err}
	}
	return acceptor.done(state.Head.RecentNotes[0], state)
}

// orphan notes the parts of an attempt whose head was refused: a head that refers to them would need the same version.
func (acceptor *Acceptor) orphan() {
	if _, ok := acceptor.last.(UpdateHead); !ok {
		return
	}
	for digest := range acceptor.proposal.Parts {
		acceptor.orphans = append(acceptor.orphans, digest)
	}
}

func (acceptor *Acceptor) done(accepted AcceptedNote, state State) Action {
	orphans := slices.DeleteFunc(acceptor.orphans, func(digest Digest) bool { return slices.Contains(state.Head.Parts, digest) })
	return Done{accepted, state, orphans}
}

// lost reads the head again, since only the head tells whether the update took effect.
func (acceptor *Acceptor) lost() Action {
	if _, ok := acceptor.last.(UpdateHead); ok {
		acceptor.unsure = acceptor.version
		return acceptor.retry(ReadHead{})
	}
	return acceptor.retry(acceptor.last)
}

func (acceptor *Acceptor) retry(action Action) Action {
	acceptor.attempts++
	if acceptor.attempts <= MaxAttempts {
		return action
	}
	return acceptor.GiveUp()
}

// GiveUp ends the work and says whether the note may have been accepted.
func (acceptor *Acceptor) GiveUp() Action {
	if acceptor.unsure != settled {
		return Refused{fail("accept", Unknown, "the platform did not say whether note %s was accepted; submit it again with the same id", acceptor.note.ID)}
	}
	return Refused{fail("accept", Unavailable, "the platform is unavailable; note %s was not accepted", acceptor.note.ID)}
}
