package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

const (
	maxTriesPerPart    = 5                     // a part is called at most this often, calls that were not processed included
	refusedRetryDelay  = 12 * time.Millisecond // a part that no other target can take is sent again after this time, which doubles with each further call of the part
	coverageTolerance  = 1e-9                  // covers shares without an exact binary representation
	minHedgeDelay      = 4 * time.Millisecond
	slowCallFactor     = 3.0                    // hardly a call to a healthy target takes longer than this many medians
	shortCallMedian    = 15 * time.Millisecond  // below this median, letting a call complete costs the target less than a new connection
	minCongestionParts = 4                      // with fewer parts, a slow half is no evidence of congestion
	congestionDivisor  = 2                      // healthy targets answer half of the parts within objective/congestionDivisor
	startupDivisor     = 4                      // a starting VM may use 1/startupDivisor of its share of the slack
	assumedVMs         = 100                    // this many VMs share the slack until SetVMs is called
	minTimeLeft        = 10 * time.Millisecond  // no new calls are made this close to the deadline
	noTargetRetryAfter = 300 * time.Millisecond // clients are told to come back after this time if too few parts have a target
)

// startCall sends a part to the best target other than that of the last call and those that may have processed the part or could not be
// reached. A target that refused an earlier call or had no connection to spare may be called again. If no target is left and no call of
// the part is in flight, any target may be called again after an outcome that may be transient. A call that another VM makes is no action yet.
func (run *Run) startCall(now time.Time, part *partState, reason string) ([]Action, bool) {
	chosen, ok := run.chooseUntried(now, part)
	if !ok {
		return nil, false
	}
	extra := part.tries > 0
	if chosen.path == place.Relayed {
		if !run.forward(now, part, chosen, TargetUnreached, reason) {
			return nil, part.inFlight > 0
		}
		run.countExtra(extra)
		return nil, true
	}
	permit, ok := run.permitCall(part)
	if !ok {
		return nil, part.inFlight > 0
	}
	run.countExtra(extra)
	call := &call{index: len(run.calls), endpoint: chosen.target, started: now,
		attempt: run.shared.Fleet.StartAttempt(now, chosen.target.ID, run.spec.Route)}
	run.calls = append(run.calls, call)
	call.add(permit)
	return []Action{Send{Call: call.index, Target: chosen.target, Reason: reason}}, true
}

// chooseUntried returns the target of the next call of a part.
func (run *Run) chooseUntried(now time.Time, part *partState) (chosen, bool) {
	direct, forwarded := run.tried(part)
	chosen, ok := run.choose(now, part, direct, forwarded)
	if !ok && part.inFlight == 0 && len(part.calls) > 0 && retryableOnSameTarget(part.lastOutcome) {
		return run.choose(now, part, nil, nil)
	}
	return chosen, ok
}

// chooseTarget returns the best target of a service in the regions that may get the request, except the excluded ones.
func (run *Run) chooseTarget(now time.Time, service string, exclude []string) (place.Endpoint, bool) {
	return run.shared.Fleet.ChooseInReach(now, service, run.spec.Route, exclude, run.outOfReach(service))
}

// outOfReach returns the targets of a service that the request must not be sent to.
func (run *Run) outOfReach(service string) []string {
	if !run.spec.Regions.Restricted() {
		return nil
	}
	return run.shared.Fleet.OutsideRegions(service, run.spec.Regions.Allows)
}

// retryableOnSameTarget reports whether a later call to the same target may succeed.
func retryableOnSameTarget(outcome Outcome) bool {
	switch outcome {
	case Refused, NoCapacity, Unreached, NotSent, ConnectionLimit, Lost, Undelivered, InvalidResponse:
		return true
	}
	return false
}

// canHedge reports whether a call may be hedged.
func (run *Run) canHedge(call *call) bool {
	if call.ended || call.hedged {
		return false
	}
	return slices.ContainsFunc(call.parts, run.canHedgePart)
}

// canHedgePart reports whether a part may be sent to a second target before the first has answered.
func (run *Run) canHedgePart(part *partState) bool {
	return run.mayHedge() && part.answeredBy == nil && part.inFlight == 1 && part.possibleRuns+part.inFlight < run.spec.MaxAttempts
}

// hedgeAt returns when to hedge a call: after the latency of a slow call of the route, but early enough for the second answer to meet the objective,
// and never before 1.5 medians or minHedgeDelay. For a relayed call, 1.5 times the P95 of relays or twice that of targets, whichever is
// longer, replaces that.
func (run *Run) hedgeAt(call *call) time.Time {
	if !call.hedgeAfter.IsZero() {
		return call.hedgeAfter
	}
	baseline := run.shared.Fleet.Baseline(run.spec.Route) // of a target, since hedges go to targets
	high := slowCallDelay(baseline)
	if call.viaRelay { // a relay reports early by itself, and hedging it costs one call per part
		high = max(run.shared.Fleet.Baseline(call.baselineRoute(run.spec.Route)).P95()*3/2, 2*high)
	}
	at := run.hedgeTime(baseline, high, call.started)
	if early, ok := run.earlyHedgeAt(baseline, call); ok && early.Before(at) {
		return early
	}
	return at
}

// slowCallDelay returns the latency after which a call to a target counts as slow: the P95, but at most slowCallFactor medians, since the
// P95 is that of the slow targets while more than a twentieth of them are.
func slowCallDelay(baseline *place.Baseline) time.Duration {
	return min(baseline.P95(), time.Duration(slowCallFactor*float64(baseline.Median())))
}

// hedgeTime returns when to hedge a call that started at the given time, where high is the latency after which a call counts as slow.
func (run *Run) hedgeTime(baseline *place.Baseline, high time.Duration, started time.Time) time.Time {
	at := started.Add(max(high, minHedgeDelay))
	if !run.answerBy.IsZero() {
		if latest := run.answerBy.Add(-baseline.Median() * 3 / 2); latest.Before(at) {
			at = latest
		}
	}
	if earliest := started.Add(max(baseline.Median()*3/2, minHedgeDelay)); at.Before(earliest) {
		at = earliest
	}
	return at
}

// hedge sends the parts of a slow call to other targets that are likely to answer sooner, as far as the budgets allow.
func (run *Run) hedge(now time.Time, slow *call) []Action {
	own, offload := run.shareHedges(now, slow)
	if slow.viaRelay && !run.hasCPUForHedges(now, own) {
		run.postponeHedges(now, slow)
		return nil
	}
	slow.hedged = true
	if run.deadline.Sub(now) < minTimeLeft {
		return nil
	}
	var actions []Action
	for _, part := range slow.parts {
		if !run.canHedgePart(part) {
			continue
		}
		excluded := run.possibleTargets(slow, part)
		alternative, ok := run.choose(now, part, excluded, excluded)
		if run.postponeHedge(now, slow, alternative.target.ID) {
			slow.hedged = false
			continue
		}
		part.suppressed = ""
		switch {
		case !ok || run.shared.Fleet.StuckOn(now, alternative.target.ID, alternative.path):
			part.suppressed = NoAlternative
		case !run.pay(now, part, "hedge"):
		case offload && run.offloadHedge(now, part, alternative):
		default:
			sends, _ := run.startCall(now, part, "hedge")
			actions = append(actions, sends...)
		}
		if part.suppressed != "" {
			run.suppressedHedges++
		}
	}
	return actions
}

// hasCPUForHedges reports whether this VM's processor can make a number of calls before a partial answer is due, or before the deadline if that
// has passed. A VM with a fraction of a core can't repeat the work of a large relay in time: its hedges would delay the relay's results,
// which most often are about to arrive.
func (run *Run) hasCPUForHedges(now time.Time, calls int) bool {
	until := run.answerBy
	if !now.Before(until) {
		until = run.deadline
	}
	return calls <= run.shared.Fleet.CallsWithin(until.Sub(now))
}

// postponeHedges delays the hedges of a relayed call by a median call, but not beyond the time of a partial answer.
func (run *Run) postponeHedges(now time.Time, slow *call) {
	slow.hedgeAfter = now.Add(max(run.shared.Fleet.Baseline(run.spec.Route).Median(), minHedgeDelay))
	if now.Before(run.answerBy) && run.answerBy.Before(slow.hedgeAfter) {
		slow.hedgeAfter = run.answerBy
	}
}

// possibleTargets returns the target of a call, or for a relayed call all targets that the relay may have called for the part.
func (run *Run) possibleTargets(call *call, part *partState) []string {
	if !call.viaRelay || call.forwarded != nil {
		return []string{call.targetOf(part)}
	}
	return run.shared.Fleet.EndpointIDs(part.service, call.endpoint.FailureDomain)
}

// sendRetry sends a retry that is due, or marks the part as exhausted.
func (run *Run) sendRetry(now time.Time, part *partState) []Action {
	if part.answeredBy != nil || part.exhausted || part.inFlight > 0 {
		return nil
	}
	if !run.mayRetry(now, part) {
		run.markExhausted(part)
		return nil
	}
	if countsAsLoad(part.lastOutcome) && !run.pay(now, part, string(part.lastOutcome)) {
		if part.suppressed == NoBudget {
			run.markExhausted(part)
		}
		return nil
	}
	sends, ok := run.startCall(now, part, string(part.lastOutcome))
	if !ok {
		run.markExhausted(part)
	}
	return sends
}

// countsAsLoad reports whether a call with this outcome put load on its service, so that a retry draws on the budget.
func countsAsLoad(outcome Outcome) bool {
	return !outcome.concernsPath()
}

// mayRetry reports whether a part may be sent again.
func (run *Run) mayRetry(now time.Time, part *partState) bool {
	if part.tries >= maxTriesPerPart || run.deadline.Sub(now) < minTimeLeft {
		return false
	}
	if part.possibleRuns > 0 && !run.spec.Idempotent {
		return false
	}
	if !run.noCallsFrom.IsZero() && now.After(run.noCallsFrom) {
		return false
	}
	return run.attempts(part) < max(run.spec.MaxAttempts, 1)
}

// cancelPart cancels the calls of a part that are no longer needed.
func (run *Run) cancelPart(now time.Time, part *partState) []Action {
	var actions []Action
	for _, call := range part.calls {
		if call.ended {
			continue
		}
		if call.viaRelay {
			if call.removePart(part.index) == nil {
				continue
			}
			part.inFlight--
			if len(call.parts) > 0 {
				continue // other parts still wait for this call
			}
		} else {
			part.inFlight--
		}
		call.ended = true
		actions = append(actions, run.cancelCall(now, call))
	}
	return actions
}

// cancelCall cancels a call. A direct call is left to complete if it is the only one in flight at its target, because its outcome shows
// whether the target has recovered, if it is short, because it then costs the target less than a new connection, if it is not idempotent,
// or if its outcome shows whether the request crashes its targets.
func (run *Run) cancelCall(now time.Time, call *call) Action {
	if call.viaRelay {
		call.cancelAttempts(now)
		return Cancel{Call: call.index, CloseConnection: run.spec.Idempotent}
	}
	short := run.shared.Fleet.Baseline(run.spec.Route).Median() < shortCallMedian
	if short || call.attempt.OnlyInFlight() || !run.spec.Idempotent || run.targetLost && run.answeredParts == 0 {
		return Cancel{Call: call.index}
	}
	call.cancelAttempts(now)
	return Cancel{Call: call.index, CloseConnection: true}
}

// cancelAttempts ends the attempts of a cancelled call, at the relay and at the targets behind it too.
func (call *call) cancelAttempts(now time.Time) {
	for _, attempt := range call.targetAttempts {
		attempt.Cancelled(now)
	}
	call.attempt.Cancelled(now)
}
