package entry

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"strconv"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpind/platform"
)

const (
	acceptTimeout      = 20 * time.Second      // for accepting a note, and for each background task that writes to the platform
	minAcceptBackoff   = 50 * time.Millisecond // mean delay before the first retry of a failed platform call, doubled for each further one
	maxAcceptBackoff   = time.Second           // also the mean delay between attempts to store the outcome of a non-idempotent request
	platformRetryAfter = 5 * time.Second       // sent to operators when the platform is unavailable
)

// Apply turns a release note into a new release and adopts it; the error is an api.Error.
func (vm *VM) Apply(ctx context.Context, note release.Note) (api.Release, error) {
	if vm.stopping.Load() {
		return api.Release{}, &api.Error{Op: "apply", Kind: api.Stopping, Message: "this VM is stopping; ask another", Outcome: api.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	vm.releases.RLock()
	previous := vm.releases.adopter.Head()
	acceptor := release.NewAcceptor(note, maps.Clone(vm.releases.adopter.Parts()))
	vm.releases.RUnlock()
	done, err := vm.runAcceptor(ctx, acceptor)
	if err != nil {
		return api.Release{}, applyError(err)
	}
	if err := vm.adopt(done.State.Head, acceptor.Parts(), "operator"); err != nil {
		vm.log.Error("release accepted but not adopted", zap.Error(err))
	}
	vm.storeNote(note, done, previous)
	return api.Release{Note: done.Accepted.Note, Release: done.Accepted.Release, Author: done.Accepted.Author}, nil
}

// runAcceptor executes the acceptor's actions, with backoff after failed platform calls, until it finishes.
func (vm *VM) runAcceptor(ctx context.Context, acceptor *release.Acceptor) (release.Done, error) {
	action := acceptor.Step(release.Begin{})
	delay := minAcceptBackoff
	for {
		switch final := action.(type) {
		case release.Done:
			return final, nil
		case release.Refused:
			return release.Done{}, final.Err
		}
		event := vm.executeAction(ctx, action)
		if isTransient(event) {
			select {
			case <-time.After(delay/2 + rand.N(delay)):
			case <-ctx.Done():
			}
			delay = min(2*delay, maxAcceptBackoff)
		}
		action = acceptor.Step(event)
		if ctx.Err() != nil && isTransient(event) {
			action = acceptor.GiveUp()
		}
	}
}

// isTransient reports whether the event is a failure after which the acceptor may try again.
func isTransient(event release.Event) bool {
	switch event.(type) {
	case release.NotSent, release.Lost, release.Stale:
		return true
	}
	return false
}

// executeAction makes the platform calls of one acceptor action and returns their outcome as an event.
func (vm *VM) executeAction(ctx context.Context, action release.Action) release.Event {
	switch action := action.(type) {
	case release.ReadHead:
		head, version, err := vm.readHead(ctx)
		if err != nil {
			return failureEvent(err)
		}
		return release.HeadRead{Head: head, Version: version}
	case release.ReadParts:
		parts := map[release.Digest][]byte{}
		for _, digest := range action.Digests {
			found, err := vm.platform.Get(ctx, partPrefix+string(digest))
			if platform.KindOf(err) == platform.NotFound {
				return release.Stale{}
			}
			if err != nil {
				return failureEvent(err)
			}
			parts[digest] = found.Value
		}
		return release.PartsRead{Parts: parts}
	case release.WriteParts:
		for digest, part := range action.Parts {
			if _, err := vm.platform.Put(ctx, partPrefix+string(digest), 0, part); err != nil && platform.KindOf(err) != platform.Stale {
				return failureEvent(err)
			}
		}
		return release.Written{}
	case release.UpdateHead:
		value, err := json.Marshal(action.Head)
		if err != nil {
			return release.NotSent{}
		}
		if _, err := vm.platform.Put(ctx, headObject, action.Version, value); err != nil {
			return failureEvent(err)
		}
		return release.Written{}
	}
	return release.NotSent{}
}

// failureEvent converts an error of a platform call to the acceptor's event.
func failureEvent(err error) release.Event {
	switch platform.KindOf(err) {
	case platform.Stale:
		return release.Stale{}
	case platform.Lost:
		return release.Lost{}
	}
	return release.NotSent{}
}

// storeNote stores the note for the history and deletes expired parts in the background; the release is valid without either.
func (vm *VM) storeNote(note release.Note, done release.Done, previous release.Head) {
	vm.storeInBackground(func(ctx context.Context) {
		value, err := json.Marshal(note)
		if err == nil {
			_, err = vm.platform.Put(ctx, notePrefix+strconv.FormatInt(done.Accepted.Release, 10), 0, value)
		}
		if err != nil && platform.KindOf(err) != platform.Stale {
			vm.log.Warn("storing release note failed", zap.Int64("release", done.Accepted.Release), zap.Error(err))
		}
		for _, digest := range append(release.ExpiredParts(previous, done.State.Head), done.Orphans...) {
			_ = vm.platform.Delete(ctx, partPrefix+string(digest))
		}
	})
}

// Note reads the note of a release from the platform.
func (vm *VM) Note(ctx context.Context, number int64) (release.Note, error) {
	var note release.Note
	found, err := vm.platform.Get(ctx, notePrefix+strconv.FormatInt(number, 10))
	if err != nil {
		return note, platformError("show", err)
	}
	return note, json.Unmarshal(found.Value, &note)
}

// History returns the accepted notes listed in the head of the release in force, newest first.
func (vm *VM) History() []release.AcceptedNote {
	vm.releases.RLock()
	defer vm.releases.RUnlock()
	return vm.releases.adopter.Head().RecentNotes
}

func platformError(op string, err error) error {
	if platform.KindOf(err) == platform.NotFound {
		return &api.Error{Op: op, Kind: api.NotFound, Message: "no such release is kept"}
	}
	return &api.Error{Op: op, Kind: api.Unavailable, Message: err.Error(), RetryAfter: retryAfter(platformRetryAfter)}
}

func applyError(err error) error {
	failure := &api.Error{Op: "apply", Kind: api.BadRequest, Message: err.Error(), Outcome: api.NotRun}
	var refused *release.Error
	if !errors.As(err, &refused) {
		return failure
	}
	failure.Winner = refused.Winner
	switch refused.Kind {
	case release.Conflict, release.TooOld, release.Missing, release.Exists:
		failure.Kind = api.ConflictKind
	case release.Unavailable:
		failure.Kind, failure.RetryAfter = api.Unavailable, retryAfter(platformRetryAfter)
	case release.Unknown:
		failure.Kind, failure.Outcome, failure.RetryAfter = api.UnknownKind, api.Unknown, retryAfter(platformRetryAfter)
	case release.Corrupt:
		failure.Kind = api.Unavailable
	}
	return failure
}

// Diff returns the changes that a note would make to the release in force; the error is an api.Error if the note would be refused.
func (vm *VM) Diff(note release.Note) ([]api.Change, error) {
	vm.releases.RLock()
	state, err := release.Load(vm.releases.adopter.Head(), vm.releases.adopter.Parts())
	vm.releases.RUnlock()
	if err != nil {
		return nil, applyError(err)
	}
	if _, err := state.Propose(note); err != nil {
		return nil, applyError(err)
	}
	return state.Diff(note), nil
}
