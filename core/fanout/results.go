package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

// Result takes the end of a call and returns what follows from it. Calls that were dropped only teach the fleet.
func (run *Run) Result(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(run.calls) {
		return nil
	}
	call := run.calls[index]
	note(now, call.flight, outcome)
	if !run.end(call, outcome) {
		return nil
	}
	part := call.parts[0]
	if part.won != nil {
		return nil
	}
	if outcome == Answered {
		run.win(now, part, call)
		return append(run.drop(now, part), run.settle(now)...)
	}
	if outcome == Failed {
		part.failure = call
	}
	part.last = outcome
	return append(run.retry(now, part, outcome), run.settle(now)...)
}

// end takes a call off its parts and reports whether its result still counts.
func (run *Run) end(call *call, outcome Outcome) bool {
	if call.ended {
		return false
	}
	call.ended, call.outcome = true, outcome
	for _, part := range call.parts {
		part.pending--
		if outcome.ran() {
			part.runs++
		}
	}
	return !run.finished
}

// win records that a call brought a part.
func (run *Run) win(now time.Time, part *shard, call *call) {
	if part.won == nil {
		run.in++
		if !part.calls[0].relay {
			run.ownIn++
		}
		if run.halfIn.IsZero() && 2*run.ownIn >= run.own {
			run.halfIn = now
		}
		if part.dead {
			part.dead = false
			run.dead--
		}
	}
	part.won, part.retryAt = call, time.Time{}
}

// note teaches the fleet what a result shows of the server.
func note(now time.Time, flight *place.Attempt, outcome Outcome) {
	switch outcome {
	case Answered, Failed:
		flight.Answered(now)
	case Refused:
		flight.Refused(now)
	case Displaced:
		flight.Displaced()
	case NotSent:
		flight.Unreachable(now)
	case Lost, ConnectionLimit:
		flight.ConnectionBroken(now)
	case NoCapacity:
		flight.Unsent()
	default:
		flight.InvalidAnswer()
	}
}

// retry sends a part again at once where another server may take it, or a little later where all refused it.
func (run *Run) retry(now time.Time, part *shard, outcome Outcome) []Action {
	if part.pending > 0 {
		return nil
	}
	if !run.mayRetry(now, part) {
		run.bury(part)
		return nil
	}
	if outcome == Refused || outcome == NoCapacity || outcome == NotSent || outcome == ConnectionLimit {
		if _, ok := run.shared.Fleet.Choose(now, part.service, run.spec.Route, part.servers()); !ok {
			part.retryAt = now.Add(refusedWait << (part.tries - 1))
			if part.retryAt.After(run.deadline) {
				part.retryAt = time.Time{}
				run.bury(part)
			}
			return nil
		}
	}
	return run.again(now, part)
}

// servers returns the ids of the servers that a part was sent to.
func (shard *shard) servers() []string {
	ids := make([]string, len(shard.calls))
	for i, call := range shard.calls {
		ids[i] = call.server.ID
	}
	return ids
}

// settle ends the run when it is complete or nothing more can come.
func (run *Run) settle(now time.Time) []Action {
	if run.finished {
		return nil
	}
	if run.in == len(run.parts) || run.in+run.dead == len(run.parts) && run.enough() {
		return run.deliver(now)
	}
	if run.spec.Gather && run.enough() && !now.Before(run.patience()) {
		return run.deliver(now)
	}
	if run.reachable() {
		return nil
	}
	return run.fail(now, false)
}

// patience returns when an answer that suffices is worth more now than with the parts that are missing: shortly before
// the objective, or if too few parts were in by then, one objective later.
func (run *Run) patience() time.Time {
	if run.answerBy.IsZero() {
		return run.deadline
	}
	return run.answerBy
}

func (run *Run) deliver(now time.Time) []Action {
	deliver := Deliver{Missing: len(run.parts) - run.in}
	for i := range run.parts {
		if won := run.parts[i].won; won != nil && !slices.Contains(deliver.Calls, won.index) {
			deliver.Calls = append(deliver.Calls, won.index)
		}
	}
	return run.finish(now, deliver)
}

// timeOut answers at the deadline.
func (run *Run) timeOut(now time.Time) []Action {
	if run.enough() && (run.spec.Gather || run.in > 0) {
		return run.deliver(now)
	}
	return run.fail(now, true)
}

// fail ends a request that brought no answer.
func (run *Run) fail(now time.Time, timedOut bool) []Action {
	if !run.spec.Gather && run.parts[0].failure != nil && run.parts[0].pending == 0 {
		return run.finish(now, ForwardFailure{Call: run.parts[0].failure.index})
	}
	if run.mayHaveRun() {
		return run.finish(now, GiveUp{TimedOut: timedOut, Reason: run.reason()})
	}
	return run.finish(now, Refuse{RetryAfter: run.comeBack(), Reason: run.reason()})
}

// reason names the last outcome of a part that is missing.
func (run *Run) reason() string {
	for i := range run.parts {
		if part := &run.parts[i]; part.won == nil && part.last != "" {
			return string(part.last)
		}
	}
	return "no server answered"
}

// comeBack returns when a caller that was refused may come back.
func (run *Run) comeBack() time.Duration { return defaultRetry }

// finish ends the run and withdraws what is under way.
func (run *Run) finish(now time.Time, verdict Response) []Action {
	run.finished = true
	var actions []Action
	for i := range run.parts {
		actions = append(actions, run.drop(now, &run.parts[i])...)
	}
	return append(actions, Finish{verdict})
}
