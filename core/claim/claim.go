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
	Held      State = "held"     // only the holder may run the request
	Released  State = "released" // the request did not run; another submission may acquire the claim
	Completed State = "ended"    // the request ran or failed on a target; Outcome holds the result
)

// Claim is the stored object that grants one submission the right to run a request.
type Claim struct {
	Holder  string      `json:"holder"` // VM, incarnation and submission
	State   State       `json:"state"`
	Outcome api.Outcome `json:"outcome,omitempty"`
}

// UnmarshalJSON decodes the claim and rejects an unknown state.
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

// BadState marks a claim whose state is unknown.
const BadState Kind = "badState"

// Error reports a stored claim that is invalid.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// Action is the next operation that a Runner asks its driver to perform.
type Action interface{ action() }

// Write asks to store the claim if the stored version still equals Version; version 0 means that no claim exists.
type Write struct {
	Claim   Claim
	Version int64
}

// Read asks to read the claim; Waiting: another submission holds it and may complete soon, so the driver should pause before reading.
type Read struct{ Waiting bool }

// Send asks to send the call to the target; a Runner returns it at most once.
type Send struct{}

// Finish asks to answer the caller and, if Record is set, to store that claim.
type Finish struct {
	Outcome api.Outcome
	Message string
	Record  *Write
}

func (Write) action()  {}
func (Read) action()   {}
func (Send) action()   {}
func (Finish) action() {}

// Event is an input of a Runner: its start, the outcome of its last action, or an abort.
type Event interface{ event() }

// Begin starts the Runner.
type Begin struct{}

// Written reports that the claim was stored with the given version.
type Written struct{ Version int64 }

// Found carries the stored claim after a Read or a rejected Write; version 0 means that no claim exists.
type Found struct {
	Claim   Claim
	Version int64
}

// NoAnswer reports that the platform did not answer; a write may have taken effect.
type NoAnswer struct{}

// Result carries the outcome of the call.
type Result struct{ Outcome rpc.Outcome }

// Aborted reports that the request's deadline has passed or its caller has disconnected.
type Aborted struct{}

func (Begin) event()    {}
func (Written) event()  {}
func (Found) event()    {}
func (NoAnswer) event() {}
func (Result) event()   {}
func (Aborted) event()  {}

// Messages to the caller for unknown outcomes.
const (
	heldByAnother       = "another submission of this id holds the claim; it may have run"
	platformUnavailable = "the platform does not answer; this VM did not run the request, another may have"
	replyLost           = "the call was sent and its answer was lost"
)

// MaxAttempts is the number of platform calls that a Runner repeats before the call is sent; beyond it, the outcome is unknown.
//
// Reads while another submission holds the claim are not counted.
const MaxAttempts = 6

// Runner is the state machine of one submission of a non-idempotent request.
type Runner struct {
	holder      string
	attempts    int
	version     int64
	held        bool
	sent        bool
	releaseSent bool
	waiting     bool // another submission holds the claim
	done        bool
	last        Action
}

// New returns a Runner for one submission; holder must be unique among all submissions.
func New(holder string) *Runner { return &Runner{holder: holder} }

// Step processes an event and returns the next action, or nil once the Runner has finished.
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
		return runner.abort()
	}
	return nil
}

func (runner *Runner) written(version int64) Action {
	runner.version = version
	if runner.releaseSent {
		return runner.finish(api.NotRun, "", nil)
	}
	return runner.send()
}

func (runner *Runner) send() Action {
	runner.held, runner.sent = true, true
	return Send{}
}

// found evaluates the stored claim and sends the call, tries to acquire the claim, waits, or answers with a recorded outcome.
func (runner *Runner) found(found Found) Action {
	if runner.sent { // the write that releases the claim was rejected; the outcome of the call already showed that it did not run
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

// noAnswer reads the claim, since only the stored claim shows whether the write took effect.
func (runner *Runner) noAnswer() Action {
	if runner.releaseSent {
		return runner.finish(api.NotRun, "", runner.release())
	}
	if runner.waiting {
		return Read{Waiting: true}
	}
	return runner.retry(Read{})
}

func (runner *Runner) retry(action Action) Action {
	runner.attempts++
	if runner.attempts > MaxAttempts {
		return runner.finish(api.Unknown, platformUnavailable, nil)
	}
	return action
}

// result handles the outcome of the call; the claim is released only if the outcome proves that the request did not run.
func (runner *Runner) result(outcome rpc.Outcome) Action {
	switch {
	case outcome == rpc.OK:
		return runner.finish(api.Ran, "", runner.completedWrite(api.Ran))
	case outcome == rpc.Failed:
		return runner.finish(api.Failed, "the target failed the request", runner.completedWrite(api.Failed))
	case !outcome.ProvesNotRun():
		return runner.finish(api.Unknown, replyLost, nil)
	}
	runner.releaseSent = true
	return *runner.release()
}

// release returns the write that lets another submission acquire the claim. It may be repeated, as it replaces the version that this
// submission wrote, and no other.
func (runner *Runner) release() *Write {
	return &Write{Claim{Holder: runner.holder, State: Released}, runner.version}
}

func (runner *Runner) completedWrite(outcome api.Outcome) *Write {
	return &Write{Claim{Holder: runner.holder, State: Completed, Outcome: outcome}, runner.version}
}

// abort answers at once: with not run if the outcome of the call has already proved that it did not run, and with unknown otherwise.
func (runner *Runner) abort() Action {
	if runner.releaseSent {
		return runner.finish(api.NotRun, "", runner.release())
	}
	if runner.sent {
		return runner.finish(api.Unknown, replyLost, nil)
	}
	if runner.waiting {
		return runner.finish(api.Unknown, heldByAnother, nil)
	}
	return runner.finish(api.Unknown, platformUnavailable, nil)
}

func (runner *Runner) finish(outcome api.Outcome, message string, record *Write) Action {
	runner.done = true
	return Finish{outcome, message, record}
}
