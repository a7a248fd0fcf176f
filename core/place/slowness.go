package place

import (
	"math"
	"time"
)

const (
	maxSlownessChange     = 1.3                    // one call changes slowness by this factor at most, so that one slow call has little effect
	maxSlowness           = 50.0                   // higher latency ratios count as this one
	slownessDecay         = 0.8                    // multiplies the excess of slowness over 1
	slownessDecayInterval = 400 * time.Millisecond // slownessDecay is applied once for each such time without an update
)

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
