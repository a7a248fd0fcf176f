package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
)

// Action is a step that a Run or RelayRun asks its caller to carry out.
type Action interface{ action() }

// Send asks for a call to a target. The caller reports its outcome through Result.
type Send struct {
	Call   int
	Target place.Endpoint
	Reason string // "first", "hedge", "cutOff", "relayed", or the outcome that caused the retry
}

// Relay asks a peer, of another failure domain unless calls are offloaded to a larger VM of the same one, to call the targets of its
// failure domain for several parts; or any peer to call targets that this VM names. Results come back through RelayReport and RelayFailed.
type Relay struct {
	Call  int
	VM    place.Endpoint
	Parts []int // indices into Spec.Parts
	// Targets names a target of any failure domain for each part, and the relay calls exactly these; empty if the relay chooses.
	Targets []string
	Reason  ForwardReason // of Targets; empty without
	Causes  []string      // of the calls to Targets, see Send.Reason
	// ReportAfter is how long the relay waits for all parts before it reports the ones it has: as long as a direct call waits for a hedge.
	ReportAfter time.Duration
}

// Cancel says that a call's result is no longer needed. CloseConnection closes its connection, or tells its relay to, so that the target stops
// processing; otherwise the response is read and discarded.
type Cancel struct {
	Call            int
	CloseConnection bool
}

// CheckDelivery asks the caller to end a call if the machine of its target or relay has not acknowledged any of it, and to report Undelivered then.
// How long this process has read nothing shows nothing: it may be short of processor, or have stood still.
type CheckDelivery struct{ Call int }

// Finish asks the caller of the run to respond to the client.
type Finish struct{ Response Response }

func (Send) action()          {}
func (Relay) action()         {}
func (Cancel) action()        {}
func (CheckDelivery) action() {}
func (Finish) action()        {}

// Response is how a request ends: Deliver, ForwardFailure, Refuse or GiveUp.
type Response interface{ response() }

// Deliver responds with the merged results of these calls, which contain each answered part exactly once.
type Deliver struct {
	Calls   []int
	Missing int // parts without a result
}

// ForwardFailure responds with the application error that a target reported.
type ForwardFailure struct{ Call int }

// Refuse reports that the request was not processed and will not be.
type Refuse struct {
	RetryAfter time.Duration
	Busy       bool // targets refused calls, so that the client should retry when enough requests have ended, whatever RetryAfter says
	Reason     string
}

// GiveUp reports that no sufficient answer arrived and that targets may have processed the request.
type GiveUp struct {
	TimedOut bool
	Reason   string
}

func (Deliver) response()        {}
func (ForwardFailure) response() {}
func (Refuse) response()         {}
func (GiveUp) response()         {}

// Spec describes a request.
type Spec struct {
	Route       string
	Parts       []string // service names; one target of each is called
	Gather      bool     // merge the answers of the parts and accept partial answers
	MinCoverage float64  // share of the parts required for a successful answer
	Idempotent  bool
	MaxAttempts int // calls of one part that targets may process; those that were surely not processed do not count
	Objective   time.Duration
	Timeout     time.Duration
	Regions     route.AllowedRegions // of targets and relays
	Cautious    bool                 // targets crashed under earlier attempts: call one target first
}

// SharedState is the state that all requests of a VM share.
type SharedState struct {
	Fleet          *place.Fleet
	Budgets        *Budgets
	ResponseMargin time.Duration // reserved for getting the response to the client
}

type partState struct {
	index        int
	service      string
	calls        []*call
	inFlight     int
	possibleRuns int          // calls that a target may have processed
	tries        int          // all calls, including those that were not processed
	loans        int          // calls that other VMs were asked to make on their own budgets
	answeredBy   *call        // the call whose result counts
	failedCall   *call        // the call that returned an application error
	retryAt      time.Time    // zero if no retry is scheduled
	exhausted    bool         // no further result is possible
	lastOutcome  Outcome      // of the most recent call that ended without an answer
	suppressed   MissingCause // why its latest hedge or retry was not sent; empty if it was
}

type call struct {
	index          int
	parts          []*partState // one part, or several for a relayed call
	viaRelay       bool
	targetAttempts map[int]*place.Attempt // relayed calls only, by part: the attempt at the target that the relay must have called, see startRelay
	forwarded      map[int]*forwarded     // relayed calls whose targets this VM chose, by part; nil for others
	near           string                 // failure domain of the targets in forwarded
	reason         ForwardReason          // of forwarded
	endpoint       place.Endpoint         // the target, or the entry VM that relays
	attempt        *place.Attempt
	started        time.Time
	hedged         bool
	hedgeAfter     time.Time // of a relayed call whose hedges were postponed; zero if they were not
	noEarlyHedge   bool      // no other target was likely to be faster when its target reported that work is slow
	reported       bool      // the relay has sent a report, so that it may have called the targets
	ended          bool
	outcome        Outcome
}

// Run is the state of one request.
type Run struct {
	spec                Spec
	shared              SharedState
	started             time.Time
	deadline            time.Time
	noCallsFrom         time.Time // no further calls of a request that is not idempotent are made from then on; zero for no limit
	answerBy            time.Time // when a partial answer is sent; zero without an objective
	parts               []partState
	calls               []*call
	unsent              []*call // forwarded calls of this step
	answeredParts       int
	exhaustedParts      int
	directParts         int       // parts that were not relayed at the start
	answeredDirectParts int       // answered parts among directParts
	halfAnsweredAt      time.Time // when half of directParts were answered
	cutOffCheckAt       time.Time // when unanswered parts are next looked at by replaceCutOff
	extraCalls          int
	preventedCalls      int // see PreventedCalls
	suppressedHedges    int // parts of slow calls that were not hedged for lack of a good target or budget
	missingCauses       MissingCauses
	targetLost          bool         // a target broke off the connection of a call
	canary              *partState   // the part that is sent while others are held; nil for none
	held                []*partState // parts that wait for the canary
	canaryLost          bool         // a target broke off the connection of the canary too
	finished            bool
}

// New returns a run that has not started.
func New(spec Spec, shared SharedState, now time.Time) *Run {
	run := &Run{spec: spec, shared: shared, started: now, deadline: now.Add(spec.Timeout), parts: make([]partState, len(spec.Parts)),
		cutOffCheckAt: now.Add(cutOffCheckDelay)}
	if spec.Objective > 0 {
		run.answerBy = now.Add(max(spec.Objective-shared.ResponseMargin, spec.Objective/2))
	}
	shared.Fleet.SetObjective(spec.Route, spec.Objective)
	for i, service := range spec.Parts {
		run.parts[i].index, run.parts[i].service = i, service
	}
	return run
}

// EndBy makes the run end at the given time, at which the VM stops, unless its deadline is earlier. Further calls of a request that is not idempotent
// must have the time needed.
func (run *Run) EndBy(at time.Time, needed time.Duration) {
	if !at.Before(run.deadline) {
		return
	}
	run.deadline = at
	if at.Before(run.answerBy) {
		run.answerBy = at
	}
	if !run.spec.Idempotent {
		run.noCallsFrom = at.Add(-needed)
	}
}

// Start returns the first calls, or a refusal if too few parts have a target.
func (run *Run) Start(now time.Time) []Action { return run.takeForwards(now, run.start(now)) }

func (run *Run) start(now time.Time) []Action {
	for i := range run.parts {
		run.shared.Budgets.ForService(now, run.parts[i].service).RecordCalls(now, 1)
	}
	var actions []Action
	if run.holdsParts() {
		for i := range run.parts {
			run.held = append(run.held, &run.parts[i])
		}
		actions = run.sendCanary(now)
	} else {
		actions = run.startParts(now)
	}
	if !run.canSucceed() {
		for _, call := range run.calls {
			call.ended = true
			call.withdrawAttempts()
		}
		reason := "too few parts have a server"
		if run.spec.Regions.Restricted() {
			reason += " in the home regions"
		}
		retryAfter, _ := run.retryAfter(now)
		return run.finish(now, Refuse{RetryAfter: retryAfter, Reason: reason})
	}
	return actions
}

// startParts makes the first calls of all parts without a call.
func (run *Run) startParts(now time.Time) []Action {
	actions, relayed := run.relayParts(now)
	for i := range run.parts {
		part := &run.parts[i]
		if relayed[i] || len(part.calls) > 0 {
			continue
		}
		sends, ok := run.startCall(now, part, "first")
		if !ok {
			run.markExhausted(part)
		}
		if !ok || len(sends) > 0 {
			run.directParts++
		}
		actions = append(actions, sends...)
	}
	return actions
}

// Next returns the time of the next Tick.
func (run *Run) Next() time.Time {
	next := run.deadline
	consider := func(at time.Time) {
		if !at.IsZero() && at.Before(next) {
			next = at
		}
	}
	if run.spec.Gather && run.hasMinCoverage() {
		consider(run.partialAnswerAt())
	}
	if run.mayBeCutOff() {
		consider(run.cutOffCheckAt)
	}
	for i := range run.parts {
		consider(run.parts[i].retryAt)
	}
	for _, call := range run.calls {
		if run.canHedge(call) {
			consider(run.hedgeAt(call))
		}
	}
	return next
}

// Tick sends hedges and retries that are due, and finishes the run at the deadline or when a partial answer is due.
func (run *Run) Tick(now time.Time) []Action { return run.takeForwards(now, run.tick(now)) }

func (run *Run) tick(now time.Time) []Action {
	if run.finished {
		return nil
	}
	if !now.Before(run.deadline) {
		return run.timeOut(now)
	}
	if run.spec.Gather && run.hasMinCoverage() && !now.Before(run.partialAnswerAt()) {
		return run.deliver(now)
	}
	var actions []Action
	for i := range run.parts {
		part := &run.parts[i]
		if !part.retryAt.IsZero() && !now.Before(part.retryAt) {
			part.retryAt = time.Time{}
			actions = append(actions, run.sendRetry(now, part)...)
		}
	}
	for _, call := range run.calls {
		if run.canHedge(call) && !now.Before(run.hedgeAt(call)) {
			actions = append(actions, run.hedge(now, call)...)
		}
	}
	actions = append(actions, run.replaceCutOff(now)...)
	return append(actions, run.finishIfDone(now)...)
}

// Abort ends the run because the client disconnected. It cancels the calls in flight, unless the request is not idempotent; then they are
// left to complete.
func (run *Run) Abort(now time.Time) []Action {
	if run.finished {
		return nil
	}
	run.finished = true
	var actions []Action
	for _, call := range run.calls {
		if !call.ended && run.spec.Idempotent {
			call.ended = true
			call.cancelAttempts(now)
			actions = append(actions, Cancel{Call: call.index, CloseConnection: true})
		}
	}
	return actions
}

// ExtraCalls returns the number of calls beyond the first for each part.
func (run *Run) ExtraCalls() int { return run.extraCalls }

// Congested reports whether half of the parts that were not relayed took longer than objective/congestionDivisor to answer, as
// they do under overload. A few slow or lost targets have no such effect.
func (run *Run) Congested(now time.Time) bool {
	if run.spec.Objective <= 0 || run.directParts < minCongestionParts {
		return false
	}
	half := run.halfAnsweredAt
	if half.IsZero() {
		half = now
	}
	return half.Sub(run.started) > run.spec.Objective/congestionDivisor
}

// SuppressedHedges returns the number of parts of slow calls that were not hedged for lack of a good target or budget.
func (run *Run) SuppressedHedges() int { return run.suppressedHedges }

// AnsweredParts returns the number of parts that have been answered.
func (run *Run) AnsweredParts() int { return run.answeredParts }

// hasMinCoverage reports whether enough parts have been answered for a successful response.
func (run *Run) hasMinCoverage() bool {
	return run.answeredParts > 0 && float64(run.answeredParts) >= run.spec.MinCoverage*float64(len(run.parts))-coverageTolerance
}

// canSucceed reports whether the parts that are not exhausted suffice for a successful response.
func (run *Run) canSucceed() bool {
	left := len(run.parts) - run.exhaustedParts
	if !run.spec.Gather {
		return left > 0
	}
	return left > 0 && float64(left) >= run.spec.MinCoverage*float64(len(run.parts))-coverageTolerance
}

// markExhausted marks a part that can get no further result.
func (run *Run) markExhausted(part *partState) {
	if !part.exhausted && part.answeredBy == nil {
		part.exhausted = true
		run.exhaustedParts++
	}
}

// mayHaveRun reports whether a target may have processed the request, or may still do so.
func (run *Run) mayHaveRun() bool {
	return slices.ContainsFunc(run.parts, func(part partState) bool { return part.inFlight > 0 || part.possibleRuns > 0 })
}

// Finished reports whether the run has ended.
func (run *Run) Finished() bool { return run.finished }

// Started returns the start time of the run.
func (run *Run) Started() time.Time { return run.started }
