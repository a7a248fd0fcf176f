package release

import "slices"

// Action is the next operation that an Acceptor asks its driver to perform.
type Action interface{ action() }

// ReadHead asks to read the head and its version from the platform.
type ReadHead struct{}

// ReadParts asks to read parts by digest.
type ReadParts struct{ Digests []Digest }

// WriteParts asks to create parts; a part that already exists counts as written, since parts are named by their digest.
type WriteParts struct{ Parts map[Digest][]byte }

// UpdateHead asks to replace the head if its version still equals Version.
type UpdateHead struct {
	Head    Head
	Version int64
}

// Done reports the release that the note became.
type Done struct {
	Accepted AcceptedNote
	State    State
	Orphans  []Digest // parts of failed attempts, to which no head can refer
}

// Refused reports that the note did not become a release and will not; with kind Unknown it may have become one or still become one.
type Refused struct{ Err error }

func (ReadHead) action()   {}
func (ReadParts) action()  {}
func (WriteParts) action() {}
func (UpdateHead) action() {}
func (Done) action()       {}
func (Refused) action()    {}

// Event is an input of an Acceptor: its start or the outcome of its last action.
type Event interface{ event() }

// Begin starts the Acceptor.
type Begin struct{}

// HeadRead carries the head as read; version 0 means that no head exists.
type HeadRead struct {
	Head    Head
	Version int64
}

// PartsRead carries the parts as read.
type PartsRead struct{ Parts map[Digest][]byte }

// Written reports that the platform confirmed the write.
type Written struct{}

// Stale reports that the platform rejected the update because the version has changed.
type Stale struct{}

// NotSent reports that the call had no effect and may be repeated.
type NotSent struct{}

// Lost reports that no reply arrived, so that the call may or may not have taken effect.
type Lost struct{}

func (Begin) event()     {}
func (HeadRead) event()  {}
func (PartsRead) event() {}
func (Written) event()   {}
func (Stale) event()     {}
func (NotSent) event()   {}
func (Lost) event()      {}

// Acceptor turns one note into a release exactly once, even if replies of the platform are lost.
type Acceptor struct {
	note             Note
	attempts         int
	head             Head
	version          int64
	parts            map[Digest][]byte
	proposal         Proposal
	orphans          []Digest
	uncertainVersion int64 // the head version that an unconfirmed update may still replace, or noUncertainUpdate
	last             Action
}

// noUncertainUpdate means that no unconfirmed update of the head can still take effect.
const noUncertainUpdate = -1

// MaxAttempts is the number of times that an Acceptor repeats calls, counted over all kinds of calls, before it gives up.
const MaxAttempts = 40

// NewAcceptor returns an Acceptor for a note; parts are those that the caller already holds.
func NewAcceptor(note Note, parts map[Digest][]byte) *Acceptor {
	known := map[Digest][]byte{}
	for digest, part := range parts {
		known[digest] = part
	}
	return &Acceptor{note: note, parts: known, uncertainVersion: noUncertainUpdate}
}

// Parts returns the parts that the acceptor has read or written.
func (acceptor *Acceptor) Parts() map[Digest][]byte { return acceptor.parts }

// Step processes an event and returns the next action.
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
		acceptor.recordOrphans()
		return acceptor.retry(ReadHead{})
	case NotSent:
		return acceptor.retry(acceptor.last)
	case Lost:
		return acceptor.replyLost()
	}
	return Refused{errorf("accept", Invalid, "unexpected event %T", event)}
}

// evaluate requests missing parts first; it then checks whether the head already lists the note, and otherwise proposes the next release.
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
			return Refused{errorf("accept", Conflict, "note id %s was already used by another note, accepted as release %d", accepted.Note, accepted.Release)}
		}
		return acceptor.done(accepted, state)
	}
	// An unconfirmed update can take effect only at its own head version, so that a newer head rules it out.
	if acceptor.version != acceptor.uncertainVersion {
		acceptor.uncertainVersion = noUncertainUpdate
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
		return acceptor.completeProposal()
	}
	return Refused{errorf("accept", Invalid, "unexpected event Written")}
}

func (acceptor *Acceptor) completeProposal() Action {
	state, err := Load(acceptor.proposal.Head, acceptor.parts)
	if err != nil {
		return Refused{err}
	}
	return acceptor.done(state.Head.RecentNotes[0], state)
}

// recordOrphans records the parts of an attempt whose head update was rejected: no head can refer to them, since only an update of that
// same version could have.
func (acceptor *Acceptor) recordOrphans() {
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

// replyLost repeats the call, but reads the head after a head update, since only the head shows whether the update took effect.
func (acceptor *Acceptor) replyLost() Action {
	if _, ok := acceptor.last.(UpdateHead); ok {
		acceptor.uncertainVersion = acceptor.version
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

// GiveUp ends the attempt; the error's kind is Unknown if the note may have been accepted.
func (acceptor *Acceptor) GiveUp() Action {
	if acceptor.uncertainVersion != noUncertainUpdate {
		return Refused{errorf("accept", Unknown, "the platform did not confirm whether note %s was accepted; submit it again with the same id", acceptor.note.ID)}
	}
	return Refused{errorf("accept", Unavailable, "the platform is unavailable; note %s was not accepted", acceptor.note.ID)}
}
