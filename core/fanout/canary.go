package fanout

import (
	"slices"
	"time"
)

// holdsParts reports whether the request may crash the targets that run it, so that only one of its parts, the canary, may be sent until a
// target has answered.
func (run *Run) holdsParts() bool {
	return len(run.parts) > 1 && run.answeredParts == 0 && (run.spec.Cautious || run.targetLost)
}

// mayHedge reports whether a second target may get a part that another has not answered yet.
func (run *Run) mayHedge() bool {
	return run.spec.Idempotent && !run.holdsParts() && (!run.spec.Cautious || run.answeredParts > 0)
}

// retryHeld is retry while parts are held: the canary is retried unless its target may have crashed too; all others wait.
func (run *Run) retryHeld(now time.Time, part *partState, outcome Outcome) []Action {
	if part == run.canary && outcome != Lost {
		return run.retryPart(now, part, outcome)
	}
	if part == run.canary {
		run.canary, run.canaryLost = nil, true
	}
	run.held = append(run.held, part)
	return nil
}

// sendCanary sends the first held part that can be sent.
func (run *Run) sendCanary(now time.Time) []Action {
	for len(run.held) > 0 {
		part := run.held[0]
		run.held = run.held[1:]
		actions := run.sendHeld(now, part)
		if !part.exhausted {
			run.canary = part
			return actions
		}
	}
	return nil
}

// sendHeld sends a held part, or marks it as exhausted.
func (run *Run) sendHeld(now time.Time, part *partState) []Action {
	if len(part.calls) > 0 {
		return run.retryPart(now, part, part.lastOutcome)
	}
	sends, ok := run.startCall(now, part, "first")
	if !ok {
		run.markExhausted(part)
		return nil
	}
	run.directParts += len(sends)
	return sends
}

// giveUpHeld marks the held parts as exhausted: another target has crashed, or at least broken off the connection.
func (run *Run) giveUpHeld() {
	for _, part := range run.held {
		run.markExhausted(part)
	}
	run.held = nil
}

// releaseHeld sends the held parts once a target has answered, and until then the next canary if there is none. If the canary was lost, the
// calls in flight decide: an answer shows that the request does not crash its targets.
func (run *Run) releaseHeld(now time.Time) []Action {
	if len(run.held) == 0 {
		return nil
	}
	if run.holdsParts() {
		switch {
		case run.canaryLost:
			if !slices.ContainsFunc(run.parts, func(part partState) bool { return part.inFlight > 0 }) {
				run.giveUpHeld()
			}
			return nil
		case run.canary != nil && !run.canary.exhausted:
			return nil
		}
		return run.sendCanary(now)
	}
	held := run.held
	run.canary, run.held = nil, nil
	actions := run.startParts(now)
	for _, part := range held {
		if len(part.calls) > 0 && part.inFlight == 0 && part.answeredBy == nil {
			actions = append(actions, run.retryPart(now, part, part.lastOutcome)...)
		}
	}
	return actions
}
