package claim

import (
	"encoding/json"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/rpc"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	Held      State = "held"     // its holder alone may run the request
	Released  State = "released" // the request was not run; another may claim it
	Completed State = "ended"    // the request reached the target and its outcome is known
)

// Claim is the object that lets one submission run a request.
type Claim struct {
	Holder  string      `json:"holder"` // VM, incarnation and submission
	State   State       `json:"state"`
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// UnmarshalJSON decodes and checks the state.
func (claim *Claim) UnmarshalJSON(data []byte) error {
	type plain Claim
	if err := json.Unmarshal(data, (*plain)(claim)); err != nil {
		return err
	}
	switch claim.State {
	case Held, Released, Completed:
		return nil
	}
	return &Error{Op: "decode", Kind: BadState, Detail: string(claim.State)}
}

// Kind classifies an Error.
type Kind string

// BadState marks a claim in no known state.
const BadState Kind = "badState"

// Error reports a claim that cannot be used.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Action is what a Runner asks its driver to do next.
type Action interface{ action() }

// Write asks to store the claim if its version is still the given one; version 0 means that it does not exist.
type Write struct {
	Claim   Claim
	Version int64
}

// Read asks for the claim; Waiting says that another holds it and may end soon, so that the driver should pause first.
type Read struct{ Waiting bool }

// Send asks to send the call, which may happen once only.
type Send struct{}

// Finish asks to answer the caller, and to record the claim if there is one to record.
type Finish struct {
	Outcome api.Outcome
	Message string
	Record  *Write
}

func (Write) action()  {}
func (Read) action()   {}
func (Send) action()   {}
func (Finish) action() {}

// Event is what the driver tells a Runner about the last action.
type Event interface{ event() }

// Begin starts the work.
type Begin struct{}

// Written says that the claim was stored and has the given version.
type Written struct{ Version int64 }

// Found carries the claim as it stands, after a Read or a refused Write; version 0 means that it does not exist.
type Found struct {
	Claim   Claim
	Version int64
}

// NoAnswer says that the platform did not answer; the write may have taken effect.
type NoAnswer struct{}

// Result carries the outcome of the call.
type Result struct{ Outcome rpc.Outcome }

// Aborted says that the request's time is over or its caller is gone.
type Aborted struct{}

func (Begin) event()    {}
func (Written) event()  {}
func (Found) event()    {}
func (NoAnswer) event() {}
func (Result) event()   {}
func (Aborted) event()  {}

// Messages of outcomes that are not certain.
const (
	otherHolds   = "another submission of this id holds the claim; it may have run"
	platformDown = "the platform does not answer; this VM did not run the request, another may have"
	callLost     = "the call was sent and its answer was lost"
)

// MaxAttempts bounds the calls to the platform before the call is sent.
const MaxAttempts = 6

// Runner runs one submission of a non-idempotent request.
type Runner struct {
	holder    string
	attempts  int
	version   int64
	held      bool
	sent      bool
	releasing bool
	waiting   bool // another submission holds the claim
	done      bool
	last      Action
}

// New returns a Runner; holder must be unique to the submission.
func New(holder string) *Runner { return &Runner{holder: holder} }

// Step takes an event and returns the next action, or nil if there is nothing to do.
func (runner *Runner) Step(event Event) Action {
	if runner.done {
		return nil
	}
	action := runner.next(event)
	if action != nil {
		runner.last = action
	}
	return action
}

func (runner *Runner) next(event Event) Action {
	switch event := event.(type) {
	case Begin:
		return Write{Claim{Holder: runner.holder, State: Held}, 0}
	case Written:
		return runner.written(event.Version)
	case Found:
		return runner.found(event)
	case NoAnswer:
		return runner.noAnswer()
	case Result:
		return runner.result(event.Outcome)
	case Aborted:
		return runner.givenUp()
	}
	return nil
}

func (runner *Runner) written(version int64) Action {
	runner.version = version
	if runner.releasing {
		return runner.finish(api.NotRun, "", nil)
	}
	return runner.send()
}

func (runner *Runner) send() Action {
	runner.held, runner.sent = true, true
	return Send{}
}

// found looks at the claim as it stands.
func (runner *Runner) found(found Found) Action {
	if runner.sent {
		return runner.finish(api.NotRun, "", nil)
	}
	switch {
	case found.Version == 0:
		return runner.retry(Write{Claim{Holder: runner.holder, State: Held}, 0})
	case found.Claim.Holder == runner.holder && found.Claim.State == Held:
		runner.version = found.Version
		return runner.send()
	case found.Claim.State == Released:
		runner.waiting = false
		return runner.retry(Write{Claim{Holder: runner.holder, State: Held}, found.Version})
	case found.Claim.State == Completed:
		return runner.finish(found.Claim.Outcome, "the outcome of an earlier submission of this id", nil)
	}
	runner.waiting = true
	return Read{Waiting: true}
}

// noAnswer reads the claim, since only the claim tells whether the write took effect.
func (runner *Runner) noAnswer() Action {
	if runner.releasing {
		return runner.finish(api.NotRun, "", nil)
	}
	if runner.waiting {
		return Read{Waiting: true}
	}
	return runner.retry(Read{})
}

func (runner *Runner) retry(action Action) Action {
	runner.attempts++
	if runner.attempts > MaxAttempts {
		return runner.finish(api.Unknown, platformDown, nil)
	}
	return action
}

// result ends the request; only an outcome that proves that nothing ran releases the claim.
func (runner *Runner) result(outcome rpc.Outcome) Action {
	switch outcome {
	case rpc.OK:
		return runner.finish(api.Ran, "", runner.ended(api.Ran))
	case rpc.Failed:
		return runner.finish(api.Failed, "the target failed the request", runner.ended(api.Failed))
	case rpc.Lost, rpc.OwnerLost:
		return runner.finish(api.Unknown, callLost, nil)
	}
	runner.releasing = true
	return Write{Claim{Holder: runner.holder, State: Released}, runner.version}
}

func (runner *Runner) ended(outcome api.Outcome) *Write {
	return &Write{Claim{Holder: runner.holder, State: Completed, Outcome: outcome}, runner.version}
}

// givenUp answers at once: not run only if the call was never sent and the claim was surely held or is being released.
func (runner *Runner) givenUp() Action {
	if runner.releasing {
		return runner.finish(api.NotRun, "", nil)
	}
	if runner.sent {
		return runner.finish(api.Unknown, callLost, nil)
	}
	if runner.waiting {
		return runner.finish(api.Unknown, otherHolds, nil)
	}
	return runner.finish(api.Unknown, platformDown, nil)
}

func (runner *Runner) finish(outcome api.Outcome, message string, record *Write) Action {
	runner.done = true
	return Finish{outcome, message, record}
}
