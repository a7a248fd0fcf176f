package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

// Result records the outcome of a call and returns the resulting actions. Cancelled calls only update the fleet.
func (run *Run) Result(now time.Time, index int, outcome Outcome) []Action {
	return run.takeForwards(now, run.result(now, index, outcome))
}

func (run *Run) result(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(run.calls) {
		return nil
	}
	call := run.calls[index]
	recordOutcome(now, call.attempt, outcome)
	if !run.endCall(call, outcome) {
		return nil
	}
	part := call.parts[0]
	if part.answeredBy != nil {
		return nil
	}
	if outcome == Answered {
		run.recordAnswer(now, part, call)
		return append(run.cancelPart(now, part), run.finishIfDone(now)...)
	}
	if outcome == Failed {
		part.failedCall = call
	}
	part.lastOutcome = outcome
	run.targetLost = run.targetLost || outcome == Lost
	return append(run.retry(now, part, outcome), run.finishIfDone(now)...)
}

// endCall marks a call as ended and reports whether its result still counts: not after the call was cancelled or the run finished.
func (run *Run) endCall(call *call, outcome Outcome) bool {
	if call.ended {
		return false
	}
	call.ended, call.outcome = true, outcome
	for _, part := range call.parts {
		part.inFlight--
		if outcome.possiblyRan() {
			part.possibleRuns++
		}
	}
	return !run.finished
}

// recordAnswer records that a call answered a part.
func (run *Run) recordAnswer(now time.Time, part *partState, call *call) {
	if part.answeredBy == nil {
		run.answeredParts++
		if !part.calls[0].viaRelay {
			run.answeredDirectParts++
		}
		if run.halfAnsweredAt.IsZero() && 2*run.answeredDirectParts >= run.directParts {
			run.halfAnsweredAt = now
		}
		if part.exhausted {
			part.exhausted = false
			run.exhaustedParts--
		}
	}
	part.answeredBy, part.retryAt = call, time.Time{}
}

// recordOutcome updates what the fleet knows of the target or relay.
func recordOutcome(now time.Time, attempt *place.Attempt, outcome Outcome) {
	switch outcome {
	case Answered, Failed:
		attempt.Answered(now)
	case Refused:
		attempt.Refused(now)
	case Displaced:
		attempt.Displaced()
	case NotSent:
		attempt.Unreachable(now)
	case Lost, Undelivered, ConnectionLimit:
		attempt.ConnectionBroken(now)
	case NoCapacity, Unreached, Unpaid:
		attempt.Discard()
	default:
		attempt.InvalidAnswer(now)
	}
}

// retry sends a part again if no other call of it is in flight: at once, or after a delay if the target had no capacity or could not
// be reached and the part was already sent to every target that can be called. A part is given up if no VM can be asked to call a target.
func (run *Run) retry(now time.Time, part *partState, outcome Outcome) []Action {
	if part.inFlight > 0 {
		return nil
	}
	if run.holdsParts() {
		return run.retryHeld(now, part, outcome)
	}
	return run.retryPart(now, part, outcome)
}

// retryPart is retry for a part that needs not be held.
func (run *Run) retryPart(now time.Time, part *partState, outcome Outcome) []Action {
	if !run.mayRetry(now, part) {
		run.markExhausted(part)
		return nil
	}
	if outcome == Refused || outcome.concernsPath() {
		direct, forwarded := part.targetIDs()
		if _, ok := run.choose(now, part, direct, forwarded); !ok {
			if _, ok := run.choose(now, part, nil, nil); !ok {
				run.markExhausted(part)
				return nil
			}
			part.retryAt = now.Add(refusedRetryDelay << (part.tries - 1))
			if part.retryAt.After(run.deadline) || run.pausedBeyond(now, part, part.retryAt) {
				part.retryAt = time.Time{}
				run.markExhausted(part)
			}
			return nil
		}
	}
	return run.sendRetry(now, part)
}

// targetIDs returns the ids of the targets that the next call of a part should not go to at once, for calls of this VM and for forwarded ones.
func (part *partState) targetIDs() (direct, forwarded []string) {
	for _, call := range part.calls {
		target := call.targetOf(part)
		if call.forwarded == nil {
			direct = append(direct, target)
		}
		outcome, _ := call.partOutcome(part)
		if call.forwarded != nil && !outcome.declined() || call.forwarded == nil && !outcome.concernsPath() {
			forwarded = append(forwarded, target)
		}
	}
	return direct, forwarded
}

// finishIfDone ends the run if it is complete, a partial answer is due or the remaining parts cannot make it succeed.
func (run *Run) finishIfDone(now time.Time) []Action {
	if run.finished {
		return nil
	}
	return append(run.releaseHeld(now), run.finishIfComplete(now)...)
}

// finishIfComplete is finishIfDone without the parts that are held.
func (run *Run) finishIfComplete(now time.Time) []Action {
	if run.answeredParts == len(run.parts) || run.answeredParts+run.exhaustedParts == len(run.parts) && run.hasMinCoverage() {
		return run.deliver(now)
	}
	if run.spec.Gather && run.hasMinCoverage() && !now.Before(run.partialAnswerAt()) {
		return run.deliver(now)
	}
	if run.canSucceed() {
		return nil
	}
	return run.fail(now, false)
}

// partialAnswerAt returns the earliest time of a partial answer: shortly before the objective, since an answer in time is worth more than
// a complete one after it; without an objective, the deadline.
func (run *Run) partialAnswerAt() time.Time {
	if run.answerBy.IsZero() {
		return run.deadline
	}
	return run.answerBy
}

func (run *Run) deliver(now time.Time) []Action {
	deliver := Deliver{Missing: len(run.parts) - run.answeredParts}
	for i := range run.parts {
		if call := run.parts[i].answeredBy; call != nil && !slices.Contains(deliver.Calls, call.index) {
			deliver.Calls = append(deliver.Calls, call.index)
		}
	}
	return run.finish(now, deliver)
}

// timeOut ends the run at the deadline, with the answered parts if they suffice.
func (run *Run) timeOut(now time.Time) []Action {
	if run.hasMinCoverage() && (run.spec.Gather || run.answeredParts > 0) {
		return run.deliver(now)
	}
	return run.fail(now, true)
}

// fail ends a run without a successful answer.
func (run *Run) fail(now time.Time, timedOut bool) []Action {
	if !run.spec.Gather && run.parts[0].failedCall != nil && run.parts[0].inFlight == 0 {
		return run.finish(now, ForwardFailure{Call: run.parts[0].failedCall.index})
	}
	if run.mayHaveRun() {
		return run.finish(now, GiveUp{TimedOut: timedOut, Reason: run.reason()})
	}
	retryAfter, paused := run.retryAfter(now)
	return run.finish(now, Refuse{RetryAfter: retryAfter, Busy: run.targetsBusy() && !paused, Reason: run.reason()})
}

// reason returns the last outcome of a part without an answer.
func (run *Run) reason() string {
	for i := range run.parts {
		if part := &run.parts[i]; part.answeredBy == nil && part.lastOutcome != "" {
			return string(part.lastOutcome)
		}
	}
	return "no server answered"
}

// targetsBusy reports whether a part has no answer because a target refused it.
func (run *Run) targetsBusy() bool {
	return slices.ContainsFunc(run.parts, func(part partState) bool { return part.answeredBy == nil && part.lastOutcome == Refused })
}

// finish ends the run and cancels the calls in flight.
func (run *Run) finish(now time.Time, response Response) []Action {
	run.finished = true
	run.recordMissing()
	var actions []Action
	for i := range run.parts {
		actions = append(actions, run.cancelPart(now, &run.parts[i])...)
	}
	return append(actions, Finish{response})
}
