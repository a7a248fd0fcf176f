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

// slowness is the smoothed ratio of an endpoint's latency to the baseline of the route.
type slowness struct {
	value   float64
	updated time.Time
}

// usualSlowness is that of an endpoint about which nothing is known.
func usualSlowness() slowness { return slowness{value: 1} }

// at returns the slowness at a time; it decays while no call updates it.
func (slowness *slowness) at(now time.Time) float64 {
	if slowness.value <= 1 {
		return slowness.value
	}
	idle := max(now.Sub(slowness.updated), 0) / slownessDecayInterval
	return 1 + (slowness.value-1)*math.Pow(slownessDecay, float64(idle))
}

// update moves the slowness towards the latency ratio of one call.
func (slowness *slowness) update(now time.Time, ratio float64) {
	value := slowness.at(now)
	if ratio > value {
		value = min(value*maxSlownessChange, ratio)
	} else {
		value = max(value/maxSlownessChange, ratio)
	}
	slowness.value, slowness.updated = value, now
}

// expectedSlowness returns the expected ratio of an endpoint's latency to the baseline, warm-up included.
func (endpoint *trackedEndpoint) expectedSlowness(now time.Time) float64 {
	slowness := endpoint.slowness.at(now)
	if now.Before(endpoint.reported.warmAt) {
		slowness *= warmupFactor
	}
	return slowness
}

// updateSlowness moves the endpoint's slowness towards the latency ratio of one call.
func (endpoint *trackedEndpoint) updateSlowness(now time.Time, ratio float64) {
	endpoint.slowness.update(now, ratio)
	if ratio >= suspectSlowness {
		endpoint.lastSlowCall = now
	}
}
