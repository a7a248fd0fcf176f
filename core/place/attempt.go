package place

import (
	"slices"
	"time"
)

const (
	stuckFactor     = 2.5                   // an unanswered call shows a stuck endpoint after this many times its expected latency
	minStuckDelay   = 12 * time.Millisecond // no unanswered call shows a stuck endpoint earlier
	deprioritizeFor = 30 * time.Millisecond // an endpoint costs more for this time after a refusal or a failure
	refusalRatio    = 3.0                   // a refusal counts as this many times the usual latency: two calls and the time between them
)

// Attempt is one call that was sent to an endpoint, or that a relay is assumed to have sent to it.
type Attempt struct {
	fleet    *Fleet
	endpoint *trackedEndpoint
	path     Path
	group    *reachability // whose reachability the call shows: that of the endpoint, or of the relay
	baseline *Baseline
	started  time.Time
	expected time.Duration
	answers  int // of the group when the call was sent
	ended    bool
}

// StartAttempt records that a call was sent to an endpoint.
func (fleet *Fleet) StartAttempt(now time.Time, id, route string) *Attempt {
	if endpoint, ok := fleet.endpoints[id]; ok {
		fleet.recordColdCall(now, endpoint)
		fleet.recordLimitedCall(now, endpoint)
		if endpoint.declines(now) {
			fleet.lastResortAt = now
		}
	}
	attempt := fleet.newAttempt(now, id, route, Direct)
	attempt.sendTo(now, attempt.endpoint.group())
	return attempt
}

// StartRelayedAttempt is StartAttempt for a call that a relay of a failure domain is assumed to have sent.
func (fleet *Fleet) StartRelayedAttempt(now time.Time, id, route, relayDomain string) *Attempt {
	attempt := fleet.newAttempt(now, id, route, Relayed)
	attempt.sendTo(now, endpointGroup{relayDomain, true})
	return attempt
}

// sendTo records that the call is sent to a group.
func (attempt *Attempt) sendTo(now time.Time, group endpointGroup) {
	attempt.group = attempt.fleet.reachabilityOf(group)
	attempt.answers = attempt.group.answers
	attempt.group.sent(now)
}

func (fleet *Fleet) newAttempt(now time.Time, id, route string, path Path) *Attempt {
	attempt := &Attempt{fleet: fleet, path: path, baseline: fleet.Baseline(route), started: now}
	endpoint, ok := fleet.endpoints[id]
	if !ok {
		endpoint = &trackedEndpoint{Endpoint: Endpoint{ID: id}, slowness: usualSlowness(), sharedSlowness: usualSlowness(), reported: &reportedState{}} // the endpoint was removed after it was chosen
	}
	attempt.endpoint = endpoint
	attempt.expected = time.Duration(float64(attempt.baseline.Median()) * endpoint.expectedSlowness(now))
	endpoint.attempts = append(endpoint.attempts, attempt)
	return attempt
}

// end removes the call from the endpoint's calls in flight and reports whether it was still there.
func (attempt *Attempt) end() bool {
	if attempt.ended {
		return false
	}
	attempt.ended = true
	attempt.endpoint.attempts = slices.DeleteFunc(attempt.endpoint.attempts, func(other *Attempt) bool { return other == attempt })
	return true
}

// Answered records that the call was executed and answered.
func (attempt *Attempt) Answered(now time.Time) { attempt.AnsweredAfter(now, now.Sub(attempt.started)) }

// AnsweredAfter records that the call was executed and answered, with the latency of the endpoint.
func (attempt *Attempt) AnsweredAfter(now time.Time, latency time.Duration) {
	if !attempt.end() {
		return
	}
	endpoint := attempt.endpoint
	attempt.group.answered()
	endpoint.paths[attempt.path].answered(now)
	attempt.observe(now, latency)
	attempt.baseline.record(latency)
}

// observe updates the endpoint's slowness with the latency of the call and records an observation for other VMs.
func (attempt *Attempt) observe(now time.Time, latency time.Duration) {
	attempt.fleet.recordObservation(now, attempt.endpoint, attempt.updateSlowness(now, latency))
}

// updateSlowness updates the endpoint's slowness with the latency of the call and returns its ratio to the baseline.
func (attempt *Attempt) updateSlowness(now time.Time, latency time.Duration) float64 {
	ratio := min(float64(latency)/float64(max(attempt.baseline.Median(), time.Millisecond)), maxSlowness)
	attempt.endpoint.updateSlowness(now, ratio)
	return ratio
}

// Refused records that the endpoint rejected the call: a target for lack of capacity, a relay since it does not have the configuration.
func (attempt *Attempt) Refused(now time.Time) {
	if !attempt.end() {
		return
	}
	endpoint := attempt.endpoint
	attempt.group.answered()
	endpoint.paths[attempt.path].lastAnswer = now
	if endpoint.Peer {
		endpoint.paths[Direct].markDown(now)
		endpoint.declinedAt = now
		return
	}
	endpoint.deprioritizedUntil = now.Add(deprioritizeFor)
	attempt.observeRefusal(now)
}

// observeRefusal lets a target's refusal count as an answer that took refusalRatio times as long as usual, here and, by an observation, on
// the other VMs: a refused call costs a second one, and a target that refuses part of its calls goes on doing so for a time.
func (attempt *Attempt) observeRefusal(now time.Time) {
	attempt.endpoint.updateSlowness(now, max(refusalRatio, attempt.endpoint.slowness.at(now)))
	attempt.fleet.recordObservation(now, attempt.endpoint, refusalRatio)
}

// Displaced records that another endpoint answers at the address.
func (attempt *Attempt) Displaced() {
	if attempt.end() {
		attempt.group.answered()
		attempt.endpoint.displaced = true
	}
}

// Unreachable records that the endpoint could not be reached.
func (attempt *Attempt) Unreachable(now time.Time) {
	if attempt.end() {
		attempt.endpoint.declinedAt = time.Time{}
		for _, state := range attempt.failedPaths() {
			state.markDown(now)
		}
	}
}

// Declined records that the relay did not make the call.
func (attempt *Attempt) Declined(now time.Time) {
	if attempt.end() {
		attempt.endpoint.paths[Relayed].recordFailure(now)
	}
}

// ConnectionBroken records that the connection broke or was not accepted. A healthy endpoint causes this too if it has reached its
// connection limit or loses some answers, so only several in a row indicate that it is down.
func (attempt *Attempt) ConnectionBroken(now time.Time) {
	if attempt.end() {
		attempt.endpoint.declinedAt = time.Time{}
		attempt.recordFailure(now)
	}
}

// recordFailure deprioritizes the endpoint and penalizes it after several failures without an answer in between.
func (attempt *Attempt) recordFailure(now time.Time) {
	attempt.endpoint.deprioritizedUntil = now.Add(deprioritizeFor)
	for _, state := range attempt.failedPaths() {
		state.recordFailure(now)
	}
}

// failedPaths returns the paths on which the endpoint may be down after a failed call. A failure at a relay counts for both, as the relay may
// be the only VM that calls the endpoint; a failure of this VM's own call may be due to its own connection.
func (attempt *Attempt) failedPaths() []*pathState {
	paths := &attempt.endpoint.paths
	if attempt.path == Relayed {
		return []*pathState{&paths[Direct], &paths[Relayed]}
	}
	return []*pathState{&paths[Direct]}
}

// InvalidAnswer records that the answer was unusable. The endpoint is reachable, but several in a row indicate that it answers nothing
// else, such as bytes without end.
func (attempt *Attempt) InvalidAnswer(now time.Time) {
	if attempt.end() {
		attempt.group.answered()
		attempt.recordFailure(now)
	}
}

// Discard ends the attempt without a conclusion about the endpoint: the call was not sent, or its outcome will not become known.
func (attempt *Attempt) Discard() { attempt.end() }

// Withdraw records that the call was not sent, so that it shows nothing about its failure domain either.
func (attempt *Attempt) Withdraw() {
	if attempt.end() {
		attempt.group.withdrawn()
	}
}

// Cancelled records that the call was cancelled. The time until then is a lower bound of its latency and counts as its latency if it
// exceeds twice the expected one; for other VMs only if the failure domain has answered this VM meanwhile, as its links may be down.
func (attempt *Attempt) Cancelled(now time.Time) {
	if !attempt.end() {
		return
	}
	if latency := now.Sub(attempt.started); latency > 2*attempt.expected {
		if attempt.group.answers == attempt.answers {
			attempt.updateSlowness(now, latency)
		} else {
			attempt.observe(now, latency)
		}
	}
}

// CutOff reports whether the endpoint's group seems cut off from this VM and has answered nothing since the call was sent, so that the call
// has most likely not arrived. It may be asked of an ended attempt too.
func (attempt *Attempt) CutOff(now time.Time) bool {
	return attempt.group.answers == attempt.answers && attempt.group.cutOff(now)
}

// MayBeCutOff reports whether CutOff may become true: the endpoint's group has left enough calls unanswered since.
func (attempt *Attempt) MayBeCutOff() bool {
	return attempt.group.answers == attempt.answers && attempt.group.mayBeCutOff()
}

// OnlyInFlight reports whether no other call is in flight at the endpoint, so that the outcome of this one is the first to show a recovery.
func (attempt *Attempt) OnlyInFlight() bool { return len(attempt.endpoint.attempts) == 1 }

// overdue returns by how much the slowest call in flight on a path exceeds the delay that shows a stuck endpoint.
func (endpoint *trackedEndpoint) overdue(now time.Time, path Path) time.Duration {
	worst := time.Duration(0)
	for _, attempt := range endpoint.attempts {
		if attempt.path != path {
			continue
		}
		limit := max(time.Duration(stuckFactor*float64(attempt.expected)), minStuckDelay)
		if attempt.started.Before(endpoint.paths[path].lastAnswer) {
			limit *= 2 // it has answered or refused a call since: this call is slow, the endpoint is not stuck
		}
		worst = max(worst, now.Sub(attempt.started)-limit)
	}
	return worst
}

// Stuck reports whether an endpoint has stopped answering this VM, is down or is not known.
func (fleet *Fleet) Stuck(now time.Time, id string) bool { return fleet.StuckOn(now, id, Direct) }

// StuckOn is Stuck for calls on a path.
func (fleet *Fleet) StuckOn(now time.Time, id string, path Path) bool {
	endpoint, ok := fleet.endpoints[id]
	return !ok || endpoint.overdue(now, path) > 0 || endpoint.down(now, path)
}
