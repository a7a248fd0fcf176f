package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

const (
	maxTries       = 5                      // calls for one part, those that did not run included
	refusedWait    = 12 * time.Millisecond  // before a part that all servers refused is tried again, doubled each time
	coverageSlack  = 1e-9                   // for shares that are not exact in binary
	leastHedge     = 4 * time.Millisecond   // before a call is hedged at the least
	shortMedian    = 15 * time.Millisecond  // below which letting a call end costs a server less than a new connection
	mostHedges     = 6                      // calls of one request that are hedged, as one of many parts: more show overload
	congestedParts = 4                      // parts below which a slow half says nothing
	congestedPart  = 2                      // of the objective, within which half of the parts are in where servers are not overloaded
	startPart      = 4                      // of a VM's part of the slack, which it may use at once
	unknownVMs     = 100                    // that share what is allowed, until they are known
	stopBefore     = 10 * time.Millisecond  // before the deadline, when no more calls are made
	defaultRetry   = 300 * time.Millisecond // when a caller that was refused may come back
)

// call makes a call for a part to the best server that it was not sent to yet.
func (run *Run) call(now time.Time, part *shard, reason string) (Action, bool) {
	var tried []string
	for _, earlier := range part.calls {
		if earlier.relay {
			continue
		}
		if !earlier.ended || earlier.outcome != Refused && earlier.outcome != NoCapacity {
			tried = append(tried, earlier.server.ID)
		}
	}
	if len(part.calls) > 0 {
		last := part.calls[len(part.calls)-1]
		tried = append(tried, run.busyWith(last, part)...)
	}
	server, ok := run.shared.Fleet.Choose(now, part.service, run.spec.Route, tried)
	if !ok && part.pending == 0 && len(part.calls) > 0 && repeatable(part.last) {
		server, ok = run.shared.Fleet.Choose(now, part.service, run.spec.Route, nil)
	}
	if !ok {
		return nil, false
	}
	made := &call{index: len(run.calls), parts: onePart(part), server: server, started: now,
		flight: run.shared.Fleet.StartAttempt(now, server.ID, run.spec.Route)}
	run.calls = append(run.calls, made)
	part.calls = append(part.calls, made)
	part.pending++
	part.tries++
	if part.tries > 1 {
		run.extra++
	}
	return Send{Call: made.index, Target: server, Reason: reason}, true
}

func onePart(only *shard) []*shard { return []*shard{only} }

// repeatable reports whether the same server may do better a little later.
func repeatable(outcome Outcome) bool {
	switch outcome {
	case Refused, NoCapacity, NotSent, ConnectionLimit, Lost, InvalidResponse:
		return true
	}
	return false
}

// hedgeable reports whether a call may still be doubled.
func (run *Run) hedgeable(call *call) bool {
	if !run.spec.Idempotent || call.ended || call.hedged {
		return false
	}
	return slices.ContainsFunc(call.parts, run.doublable)
}

// doublable reports whether a part may be sent to a second server while the first has not answered.
func (run *Run) doublable(part *shard) bool {
	return part.won == nil && part.pending == 1 && part.runs+part.pending < run.spec.MaxAttempts
}

// hedgeAt returns when a call has taken so long that a second server is worth asking: later than most calls of the route
// take, but early enough that the second answer can be in time.
func (run *Run) hedgeAt(call *call) time.Time {
	typical := run.shared.Fleet.Baseline(run.spec.Route) // of a server, which the second call goes to
	high := typical.P95()
	if call.relay { // it reports early by itself, and doubling it costs a call for each of its parts
		high = max(run.shared.Fleet.Baseline(call.route(run.spec.Route)).P95()*3/2, 2*high)
	}
	return run.hedgeBy(typical, high, call.started)
}

// hedgeBy returns when a call that started at a time is worth doubling, if most take no longer than high.
func (run *Run) hedgeBy(typical *place.Baseline, high time.Duration, started time.Time) time.Time {
	at := started.Add(max(high, leastHedge))
	if !run.answerBy.IsZero() {
		if latest := run.answerBy.Add(-typical.Median() * 3 / 2); latest.Before(at) {
			at = latest
		}
	}
	if earliest := started.Add(max(typical.Median()*3/2, leastHedge)); at.Before(earliest) {
		at = earliest
	}
	return at
}

// hedge doubles a call at other servers, where they are likely to answer sooner and the budgets allow it.
func (run *Run) hedge(now time.Time, slow *call) []Action {
	slow.hedged = true
	if run.deadline.Sub(now) < stopBefore {
		return nil
	}
	var actions []Action
	for _, part := range slow.parts {
		if !run.doublable(part) {
			continue
		}
		server, ok := run.shared.Fleet.Choose(now, part.service, run.spec.Route, run.busyWith(slow, part))
		if !ok || run.shared.Fleet.Stuck(now, server.ID) || !run.shared.Budgets.ForService(now, part.service).Spend(now, 1) {
			run.unhedged++
			continue
		}
		if send, ok := run.call(now, part, "hedge"); ok {
			actions = append(actions, send)
		}
	}
	return actions
}

// busyWith returns the servers that already have a part of a slow call.
func (run *Run) busyWith(slow *call, part *shard) []string {
	if !slow.relay {
		return []string{slow.server.ID}
	}
	return run.shared.Fleet.EndpointIDs(part.service, slow.server.FailureDomain)
}

// again makes a retry that is due, or gives the part up.
func (run *Run) again(now time.Time, part *shard) []Action {
	if part.won != nil || part.dead || part.pending > 0 {
		return nil
	}
	if !run.mayRetry(now, part) {
		run.bury(part)
		return nil
	}
	if arrived(part.last) && !run.shared.Budgets.ForService(now, part.service).Spend(now, 1) {
		run.bury(part)
		return nil
	}
	send, ok := run.call(now, part, string(part.last))
	if !ok {
		run.bury(part)
		return nil
	}
	return []Action{send}
}

// arrived reports whether a call with this outcome counts as load on its service, so that one more is extra.
func arrived(outcome Outcome) bool {
	return outcome != NotSent && outcome != ConnectionLimit && outcome != NoCapacity
}

// mayRetry reports whether a part may be sent once more.
func (run *Run) mayRetry(now time.Time, part *shard) bool {
	if part.tries >= maxTries || run.deadline.Sub(now) < stopBefore {
		return false
	}
	if part.runs > 0 && !run.spec.Idempotent {
		return false
	}
	return part.runs < max(run.spec.MaxAttempts, 1)
}

// drop withdraws the calls of a part that are not needed any more.
func (run *Run) drop(now time.Time, part *shard) []Action {
	var actions []Action
	for _, call := range part.calls {
		if call.ended {
			continue
		}
		if call.relay {
			if call.release(part.index) == nil {
				continue
			}
			part.pending--
			if len(call.parts) > 0 {
				continue // other parts still wait for it
			}
		} else {
			part.pending--
		}
		call.ended = true
		actions = append(actions, run.withdraw(now, call))
	}
	return actions
}

// withdraw gives up a call. One that is alone at its server is let run, as its end shows that the server is well again, and
// so is one that costs the server less than a new connection.
func (run *Run) withdraw(now time.Time, call *call) Action {
	if call.relay {
		for _, shadow := range call.shadows {
			shadow.Cancelled(now)
		}
		call.flight.Cancelled(now)
		return Cancel{Call: call.index, CloseConnection: true}
	}
	short := run.shared.Fleet.Baseline(run.spec.Route).Median() < shortMedian
	if short || call.flight.OnlyInFlight() || !run.spec.Idempotent {
		return Cancel{Call: call.index}
	}
	call.flight.Cancelled(now)
	return Cancel{Call: call.index, CloseConnection: true}
}
