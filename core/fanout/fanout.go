package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/budget"
	"poplarpin.dev/core/place"
)

// Outcome says how a call ended.
type Outcome string

// The outcomes of calls.
const (
	Answered        Outcome = "answered"  // the server ran it and gave an answer
	Failed          Outcome = "failed"    // the server ran it and reported a failure of its own
	Refused         Outcome = "refused"   // the server did not run it
	Displaced       Outcome = "displaced" // another server has the address; it did not run it
	NotSent         Outcome = "notSent"   // nothing of it left
	ConnectionLimit Outcome = "crowded"   // the server takes no more connections; nothing of it left
	NoCapacity      Outcome = "noRoom"    // this VM has no connection to spare for the server; nothing of it left
	Lost            Outcome = "lost"      // the connection broke; it may have run
	InvalidResponse Outcome = "spoilt"    // the answer was unusable; it may have run
)

// ran reports whether a call with this outcome may have run.
func (outcome Outcome) ran() bool {
	switch outcome {
	case Answered, Failed, Lost, InvalidResponse:
		return true
	}
	return false
}

// Action is what a Run asks its driver to do.
type Action interface{ action() }

// Send asks to make a call; its end comes back by Result.
type Send struct {
	Call   int
	Target place.Endpoint
	Reason string // why it is made: first, hedge or the outcome that it makes up for
}

// Relay asks a VM of another failure domain to call its servers for several parts; what it brings comes back by Relayed and RelayLost.
type Relay struct {
	Call  int
	VM    place.Endpoint
	Parts []int // indices into the request's parts
	// ReportAfter is how long the relay waits for all parts before it reports those that are in.
	ReportAfter time.Duration
}

// Cancel says that a call's result is not needed any more. Where Break is set its connection is to be closed, so that the
// server stops; else its answer is read and thrown away.
type Cancel struct {
	Call            int
	CloseConnection bool
}

// Finish asks to answer the caller.
type Finish struct{ Response Response }

func (Send) action()   {}
func (Relay) action()  {}
func (Cancel) action() {}
func (Finish) action() {}

// Response is the end of a request: Deliver, PassOn, Refuse or GiveUp.
type Response interface{ verdict() }

// Deliver answers with all that these calls brought, which is each part that is in once.
type Deliver struct {
	Calls   []int
	Missing int // parts that are left out
}

// ForwardFailure answers with the failure that a server reported.
type ForwardFailure struct{ Call int }

// Refuse says that the request has not run and never will.
type Refuse struct {
	RetryAfter time.Duration
	Reason     string
}

// GiveUp says that the request may have run and brought no answer.
type GiveUp struct {
	TimedOut bool
	Reason   string
}

func (Deliver) verdict()        {}
func (ForwardFailure) verdict() {}
func (Refuse) verdict()         {}
func (GiveUp) verdict()         {}

// Spec is a request as the decisions need it.
type Spec struct {
	Route       string
	Parts       []string // services, one server of each is called
	Gather      bool     // the answers of the parts are merged, and some may be missing
	MinCoverage float64  // share of the parts below which the answer is no success
	Idempotent  bool
	MaxAttempts int // servers that may run it, for each part
	Objective   time.Duration
	Timeout     time.Duration
}

// SharedState is what all requests of a VM have in common.
type SharedState struct {
	Fleet          *place.Fleet
	Budgets        *Budgets
	ResponseMargin time.Duration // between the answer and its arrival at the caller
}

// Budgets hold the budget of extra calls of each service.
type Budgets struct {
	fraction float64
	slack    float64 // of all VMs together
	vms      int
	from     time.Time // when this VM's whole part of the slack may be used
	services map[string]*budget.Budget
}

// NewBudgets returns budgets of extra calls as a fraction of a service's requests, and some more calls in any ten seconds,
// which all VMs share. A VM that has just started uses only a quarter of its part of these for that long, as it may stand in
// for one that has spent its own.
func NewBudgets(fraction, slack float64, now time.Time) *Budgets {
	return &Budgets{fraction: fraction, slack: slack, vms: unknownVMs, from: now.Add(budget.Window), services: map[string]*budget.Budget{}}
}

// SetVMs says how many VMs there are.
func (budgets *Budgets) SetVMs(now time.Time, vms int) {
	budgets.vms = max(vms, 1)
	for _, budget := range budgets.services {
		budget.SetSlack(budgets.part(now))
	}
}

// part returns this VM's part of the slack.
func (budgets *Budgets) part(now time.Time) float64 {
	part := budgets.slack / float64(budgets.vms)
	if now.Before(budgets.from) {
		return part / startPart
	}
	return part
}

// ForService returns the budget of a service.
func (budgets *Budgets) ForService(now time.Time, service string) *budget.Budget {
	found, ok := budgets.services[service]
	if !ok {
		found = budget.New(budgets.fraction)
		found.SetSlack(budgets.part(now))
		budgets.services[service] = found
	}
	return found
}

// Retain forgets the budgets of services that a function does not name.
func (budgets *Budgets) Retain(keep func(string) bool) {
	for name := range budgets.services {
		if !keep(name) {
			delete(budgets.services, name)
		}
	}
}

type shard struct {
	index   int
	service string
	calls   []*call
	pending int
	runs    int       // calls that may have run
	tries   int       // calls in all
	won     *call     // brought the answer
	failure *call     // brought the server's own failure
	retryAt time.Time // zero: no retry is due
	dead    bool      // nothing more will come
	last    Outcome   // of the call that ended last without an answer
}

type call struct {
	index   int
	parts   []*shard // one, but for calls by a relay
	relay   bool
	shadows map[int]*place.Attempt // by part, what a relay does at servers
	server  place.Endpoint         // or the VM that relays
	flight  *place.Attempt
	started time.Time
	hedged  bool
	ended   bool
	outcome Outcome
}

// Run is the state of one request.
type Run struct {
	spec     Spec
	shared   SharedState
	started  time.Time
	deadline time.Time
	answerBy time.Time // zero without an objective
	parts    []shard
	calls    []*call
	in       int
	dead     int
	own      int       // parts that were not handed to a relay at first
	ownIn    int       // of those, how many are in
	halfIn   time.Time // when half of those were in
	extra    int
	unhedged int // slow calls that were not doubled, for want of a server or of budget
	finished bool
}

// New returns a run that has not started.
func New(spec Spec, shared SharedState, now time.Time) *Run {
	run := &Run{spec: spec, shared: shared, started: now, deadline: now.Add(spec.Timeout), parts: make([]shard, len(spec.Parts))}
	if spec.Objective > 0 {
		run.answerBy = now.Add(max(spec.Objective-shared.ResponseMargin, spec.Objective/2))
	}
	shared.Fleet.SetObjective(spec.Route, spec.Objective)
	for i, service := range spec.Parts {
		run.parts[i].index, run.parts[i].service = i, service
	}
	return run
}

// Start returns the first calls, or the refusal of a request that cannot be served.
func (run *Run) Start(now time.Time) []Action {
	actions, relayed := run.relay(now)
	for i := range run.parts {
		part := &run.parts[i]
		run.shared.Budgets.ForService(now, part.service).RecordCalls(now, 1)
		if relayed[i] {
			continue
		}
		run.own++
		if send, ok := run.call(now, part, "first"); ok {
			actions = append(actions, send)
		} else {
			run.bury(part)
		}
	}
	if !run.reachable() {
		for _, call := range run.calls {
			call.ended = true
			call.flight.Unsent()
		}
		return run.finish(now, Refuse{RetryAfter: run.comeBack(), Reason: "too few parts have a server"})
	}
	return actions
}

// Next returns when Tick is due.
func (run *Run) Next() time.Time {
	next := run.deadline
	soonest := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if run.spec.Gather && run.enough() {
		soonest(run.patience())
	}
	for i := range run.parts {
		soonest(run.parts[i].retryAt)
	}
	for _, call := range run.calls {
		if run.hedgeable(call) {
			soonest(run.hedgeAt(call))
		}
	}
	return next
}

// Tick makes hedges and retries that are due and answers where the time for it has come.
func (run *Run) Tick(now time.Time) []Action {
	if run.finished {
		return nil
	}
	if !now.Before(run.deadline) {
		return run.timeOut(now)
	}
	if run.spec.Gather && run.enough() && !now.Before(run.patience()) {
		return run.deliver(now)
	}
	var actions []Action
	for i := range run.parts {
		part := &run.parts[i]
		if !part.retryAt.IsZero() && !now.Before(part.retryAt) {
			part.retryAt = time.Time{}
			actions = append(actions, run.again(now, part)...)
		}
	}
	for _, call := range run.calls {
		if run.hedgeable(call) && !now.Before(run.hedgeAt(call)) {
			actions = append(actions, run.hedge(now, call)...)
		}
	}
	return append(actions, run.settle(now)...)
}

// Abort ends the run without an answer because the caller has left. Calls that are not idempotent go on.
func (run *Run) Abort(now time.Time) []Action {
	if run.finished {
		return nil
	}
	run.finished = true
	var actions []Action
	for _, call := range run.calls {
		if !call.ended && run.spec.Idempotent {
			call.ended = true
			call.flight.Cancelled(now)
			actions = append(actions, Cancel{Call: call.index, CloseConnection: true})
		}
	}
	return actions
}

// ExtraCalls returns the number of calls beyond the first of each part.
func (run *Run) ExtraCalls() int { return run.extra }

// Congested reports whether most servers were slow to answer, as they are under more load than they can take; a few slow or
// lost servers are no sign of that.
func (run *Run) Congested(now time.Time) bool {
	if run.spec.Objective <= 0 || run.own < congestedParts {
		return false
	}
	half := run.halfIn
	if half.IsZero() {
		half = now
	}
	return half.Sub(run.started) > run.spec.Objective/congestedPart
}

// SuppressedHedges returns the number of slow calls that were not doubled, for want of a good server or of budget.
func (run *Run) SuppressedHedges() int { return run.unhedged }

// AnsweredParts returns the number of parts whose answers are in.
func (run *Run) AnsweredParts() int { return run.in }

// enough reports whether the parts that are in make a success.
func (run *Run) enough() bool {
	return run.in > 0 && float64(run.in) >= run.spec.MinCoverage*float64(len(run.parts))-coverageSlack
}

// reachable reports whether the parts that are not dead could make a success.
func (run *Run) reachable() bool {
	left := len(run.parts) - run.dead
	if !run.spec.Gather {
		return left > 0
	}
	return left > 0 && float64(left) >= run.spec.MinCoverage*float64(len(run.parts))-coverageSlack
}

// bury marks a part from which nothing more will come.
func (run *Run) bury(part *shard) {
	if !part.dead && part.won == nil {
		part.dead = true
		run.dead++
	}
}

// mayHaveRun reports whether a server may have run the request, or may still.
func (run *Run) mayHaveRun() bool {
	return slices.ContainsFunc(run.calls, func(call *call) bool { return !call.ended || call.outcome.ran() })
}

// Finished reports whether the run has ended.
func (run *Run) Finished() bool { return run.finished }

// Started returns when the run began.
func (run *Run) Started() time.Time { return run.started }
