package place

import (
	"math"
	"slices"
	"time"
)

const (
	maxSlownessChange     = 1.3                   // factor by which one call changes slowness at most, so that one slow call has little effect
	maxSlowness           = 50.0                  // higher ratios make no difference
	stuckFactor           = 2.5                   // multiple of the expected latency after which an unanswered call indicates a stuck endpoint
	minStuckDelay         = 12 * time.Millisecond // lower bound of that delay
	minDownTime           = 300 * time.Millisecond
	maxDownTime           = 3 * time.Second
	deprioritizeFor       = 30 * time.Millisecond  // after a refusal for lack of capacity or a broken connection
	refusalRatio          = 3.0                    // latency ratio as which a refusal counts; about two calls and the time between them
	remoteFactor          = 1.6                    // cost factor of other failure domains: a local endpoint with less slowness is preferred
	slownessDecayInterval = 400 * time.Millisecond // time without updates after which slownessDecay is applied once
	failuresLimit         = 3                      // broken connections and invalid answers, without an answer in between, that indicate that an endpoint is down
	downPenalty           = 10 * time.Second       // the penalties are added to a cost
	deprioritizedPenalty  = 200 * time.Millisecond
	missingPenalty        = time.Second // for an endpoint whose entry has lapsed or may have lapsed
	slownessDecay         = 0.8         // factor on the excess of slowness over 1
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

// Choose returns the callable endpoint of a service with the lowest cost that is not excluded, and reports whether there is one. Ties are
// broken at random.
func (fleet *Fleet) Choose(now time.Time, service, route string, exclude []string) (Endpoint, bool) {
	return fleet.ChooseInReach(now, service, route, exclude, nil)
}

// ChooseInReach is Choose for a request that may not use the endpoints in outOfReach. A leaving target is chosen only if there is no other
// in reach, even if that one is excluded.
func (fleet *Fleet) ChooseInReach(now time.Time, service, route string, exclude, outOfReach []string) (Endpoint, bool) {
	return fleet.choose(now, fleet.services[service], fleet.ownCosts(route), func(endpoint *trackedEndpoint) bool {
		return fleet.directlyCallable(now, endpoint) && !slices.Contains(exclude, endpoint.ID) && !slices.Contains(outOfReach, endpoint.ID) &&
			!(endpoint.leaves() && fleet.hasStaying(now, service, outOfReach))
	})
}

// costs says how the cost of calls to endpoints is estimated.
type costs struct {
	baseline      *Baseline
	path          Path
	failureDomain string // in which endpoints cost least
}

// ownCosts returns the costs of this VM's own calls on a route.
func (fleet *Fleet) ownCosts(route string) costs {
	return costs{fleet.Baseline(route), Direct, fleet.failureDomain}
}

// choose returns the permitted endpoint with the lowest cost, and reports whether there is one. Ties are broken at random.
func (fleet *Fleet) choose(now time.Time, endpoints []*trackedEndpoint, costs costs, permits func(*trackedEndpoint) bool) (Endpoint, bool) {
	var best *trackedEndpoint
	var bestCost time.Duration
	ties := 0
	for _, endpoint := range endpoints {
		if !permits(endpoint) {
			continue
		}
		cost := costs.of(now, endpoint)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = endpoint, cost, 1
		case cost == bestCost:
			ties++
			if fleet.random.IntN(ties) == 0 {
				best = endpoint
			}
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	return best.Endpoint, true
}

// of estimates the latency of one more call at an endpoint and adds penalties for signs of failure. Penalties only rank endpoints, so
// that a failing one is still called if there is no other.
func (costs costs) of(now time.Time, endpoint *trackedEndpoint) time.Duration {
	slots := float64(max(endpoint.Slots, 1))
	queue := endpoint.reportedQueue(now, float64(len(endpoint.attempts))/slots)
	factor := endpoint.reportedSlowness(now, endpoint.expectedSlowness(now)) * (1 + queue)
	if endpoint.FailureDomain != costs.failureDomain {
		factor *= remoteFactor
	}
	if endpoint.Peer && endpoint.Cores > 0 {
		factor /= min(endpoint.Cores, 1) // an entry VM with a fraction of a core is slower in proportion
	}
	cost := time.Duration(float64(costs.baseline.Median()) * factor)
	if overdue := endpoint.overdue(now, costs.path); overdue > 0 {
		cost += 2*costs.baseline.Median() + overdue
	}
	if !endpoint.missingSince.IsZero() {
		cost += missingPenalty
	}
	if now.Before(endpoint.deprioritizedUntil) {
		cost += deprioritizedPenalty
	}
	if endpoint.down(now, costs.path) {
		cost += downPenalty
	}
	if endpoint.leaves() {
		cost += leavingPenalty
	}
	if now.Before(endpoint.reported.hintedPauseUntil) {
		cost += hintedPenalty
	}
	return cost
}

// decayedSlowness returns the slowness of an endpoint, which decays while no call updates it.
func (endpoint *trackedEndpoint) decayedSlowness(now time.Time) float64 {
	slowness := endpoint.slowness
	if slowness > 1 {
		idle := max(now.Sub(endpoint.slownessUpdated), 0) / slownessDecayInterval
		slowness = 1 + (slowness-1)*math.Pow(slownessDecay, float64(idle))
	}
	return slowness
}

// expectedSlowness returns the expected ratio of an endpoint's latency to the baseline, warm-up included.
func (endpoint *trackedEndpoint) expectedSlowness(now time.Time) float64 {
	slowness := endpoint.decayedSlowness(now)
	if now.Before(endpoint.reported.warmAt) {
		slowness *= warmupFactor
	}
	return slowness
}

// overdue returns the longest time by which a call in flight on a path exceeds the delay that shows a stuck endpoint.
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

// StartAttempt records that a call was sent to an endpoint.
func (fleet *Fleet) StartAttempt(now time.Time, id, route string) *Attempt {
	if endpoint, ok := fleet.endpoints[id]; ok {
		fleet.recordColdCall(now, endpoint)
		fleet.recordLimitedCall(now, endpoint)
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
		endpoint = &trackedEndpoint{Endpoint: Endpoint{ID: id}, slowness: 1, reported: &reportedState{}} // the endpoint was removed after it was chosen
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
	attempt.fleet.recordObservation(attempt.endpoint, attempt.updateSlowness(now, latency))
}

// updateSlowness updates the endpoint's slowness with the latency of the call and returns its ratio to the baseline.
func (attempt *Attempt) updateSlowness(now time.Time, latency time.Duration) float64 {
	ratio := min(float64(latency)/float64(max(attempt.baseline.Median(), time.Millisecond)), maxSlowness)
	attempt.endpoint.updateSlowness(now, ratio)
	return ratio
}

// updateSlowness moves the endpoint's slowness towards the latency ratio of one call.
func (endpoint *trackedEndpoint) updateSlowness(now time.Time, ratio float64) {
	slowness := endpoint.decayedSlowness(now)
	if ratio > slowness {
		slowness = min(slowness*maxSlownessChange, ratio)
	} else {
		slowness = max(slowness/maxSlownessChange, ratio)
	}
	endpoint.slowness, endpoint.slownessUpdated = slowness, now
	if ratio >= suspectSlowness {
		endpoint.lastSlowCall = now
	}
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
		return
	}
	endpoint.deprioritizedUntil = now.Add(deprioritizeFor)
	attempt.observeRefusal(now)
}

// observeRefusal lets a target's refusal count as an answer that took refusalRatio times as long as usual, here and, by an observation, on
// the other VMs: a refused call costs a second one, and a target that refuses part of its calls goes on doing so for a time.
func (attempt *Attempt) observeRefusal(now time.Time) {
	attempt.fleet.recordObservation(attempt.endpoint, refusalRatio)
	attempt.endpoint.updateSlowness(now, max(refusalRatio, attempt.endpoint.decayedSlowness(now)))
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

// failedPaths returns the paths on which a failed call shows that the endpoint may be down. A failure at a relay, which can be the only one
// that calls the endpoint, shows it for both; a failure of this VM's own call may be due to its own connection.
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

// OnlyInFlight reports whether no other call is in flight at the endpoint, so that the outcome of this one is the first to show a recovery.
func (attempt *Attempt) OnlyInFlight() bool { return len(attempt.endpoint.attempts) == 1 }

// EndpointView is the state of one endpoint in dumps.
type EndpointView struct {
	ID            string     `json:"id"`
	Service       string     `json:"service"`
	State         State      `json:"state"`
	FailureDomain string     `json:"zone"`
	Slowness      float64    `json:"slowness"`
	InFlight      int        `json:"inFlight"`
	Down          bool       `json:"down"`        // for this VM's own calls
	RelayedDown   bool       `json:"relayedDown"` // for calls of other VMs
	Missing       bool       `json:"missing"`
	Leaving       bool       `json:"leaving"`
	PausedUntil   *time.Time `json:"pausedUntil,omitempty"` // nil if it is not paused
	Cold          bool       `json:"cold"`
	ReportedPace  float64    `json:"reportedPace"`        // percent; 0 if its newest report has none or is too old
	CallLimit     *float64   `json:"callLimit,omitempty"` // requests a second that it takes from all VMs together; nil if it names no limit
}

// Views returns the state of every endpoint, ordered by id.
func (fleet *Fleet) Views(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, len(fleet.endpoints))
	for _, endpoint := range fleet.endpoints {
		view := EndpointView{ID: endpoint.ID, Service: endpoint.Service, State: endpoint.State, FailureDomain: endpoint.FailureDomain,
			Slowness: endpoint.slowness, InFlight: len(endpoint.attempts), Down: endpoint.down(now, Direct), RelayedDown: endpoint.down(now, Relayed), Missing: !endpoint.missingSince.IsZero(),
			Leaving: endpoint.leaves(), Cold: fleet.coldLeft(now, endpoint) > 0}
		if until := endpoint.reported.pausedUntil; now.Before(until) {
			view.PausedUntil = &until
		}
		if limit := endpoint.reported.limit; limit.holds {
			view.CallLimit = &limit.perSecond
		}
		if endpoint.reported.weight(now) > 0 {
			view.ReportedPace = endpoint.reported.load.PacePercent
		}
		views = append(views, view)
	}
	slices.SortFunc(views, func(a, b EndpointView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}
