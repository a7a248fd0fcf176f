package place

import (
	"slices"
	"time"
)

const (
	remoteFactor         = 1.6                    // multiplies the cost of endpoints in other failure domains
	downPenalty          = 10 * time.Second       // added to the cost of an endpoint to which calls fail
	missingPenalty       = time.Second            // added while an endpoint's entry has lapsed or may have lapsed
	deprioritizedPenalty = 200 * time.Millisecond // added for deprioritizeFor after a refusal or a failure
)

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
	failureDomain string // its endpoints cost least
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
