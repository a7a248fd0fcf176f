package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

const (
	cutOffCheckDelay    = place.MinCutOffTime    // a run first looks this long after its start whether its targets were cut off
	cutOffCheckInterval = 100 * time.Millisecond // a run looks again after this time
)

// attempts returns how many targets may have processed a part, or may still do so. Undelivered calls do not count if the request is idempotent.
func (run *Run) attempts(part *partState) int {
	attempts := part.possibleRuns + part.inFlight
	if !run.spec.Idempotent {
		return attempts
	}
	for _, call := range part.calls {
		if call.ended && call.outcome == Undelivered {
			attempts--
		}
	}
	return attempts
}

// replaceCutOff sends the parts whose calls in flight all seem cut off to targets within reach, as far as attempts and budgets allow. If a part has
// no attempt left, it asks whether those calls have been delivered.
func (run *Run) replaceCutOff(now time.Time) []Action {
	if now.Before(run.cutOffCheckAt) {
		return nil
	}
	run.cutOffCheckAt = now.Add(cutOffCheckInterval)
	if !run.mayHedge() || run.deadline.Sub(now) < minTimeLeft {
		return nil
	}
	cutOff := func(attempt *place.Attempt) bool { return attempt.CutOff(now) }
	var actions []Action
	checked := map[*call]bool{}
	for i := range run.parts {
		part := &run.parts[i]
		if !part.awaitsOnly(cutOff) || part.tries >= maxTriesPerPart {
			continue
		}
		if _, ok := run.chooseUntried(now, part); !ok {
			part.suppressed = NoAlternative
		} else if run.attempts(part) >= run.spec.MaxAttempts {
			for _, call := range part.calls {
				if call.awaits(part) && !checked[call] {
					checked[call] = true
					actions = append(actions, CheckDelivery{Call: call.index})
				}
			}
		} else if run.pay(now, part, "cutOff") {
			part.suppressed = ""
			sends, _ := run.startCall(now, part, "cutOff")
			actions = append(actions, sends...)
		}
	}
	return actions
}

// mayBeCutOff reports whether all calls in flight of some part may turn out to be cut off.
func (run *Run) mayBeCutOff() bool {
	if !run.mayHedge() || !run.shared.Fleet.MayBeCutOff() {
		return false
	}
	for i := range run.parts {
		if run.parts[i].awaitsOnly((*place.Attempt).MayBeCutOff) {
			return true
		}
	}
	return false
}

// awaitsOnly reports whether a part has calls in flight and a predicate holds for all of them.
func (part *partState) awaitsOnly(holds func(*place.Attempt) bool) bool {
	if part.answeredBy != nil || part.inFlight == 0 {
		return false
	}
	return !slices.ContainsFunc(part.calls, func(call *call) bool { return call.awaits(part) && !holds(call.attempt) })
}

// awaits reports whether a part is in flight in a call.
func (call *call) awaits(part *partState) bool {
	return !call.ended && slices.Contains(call.parts, part)
}
