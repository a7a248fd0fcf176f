package place

import "time"

const (
	slowRatio              = 2.0 // a call is shared with other VMs from this latency ratio on
	suspectSlowness        = 1.3 // every answer of an endpoint with this slowness is shared, as it may show that the target has recovered
	maxPendingObservations = 256 // at most this many observations wait for TakeObservations; more add little and are dropped
)

// Observation is the latency of one call to a target, shared with other VMs that call the same target.
type Observation struct {
	Endpoint     string  `json:"server"`
	LatencyRatio float64 `json:"pace"` // latency of the call divided by the median of its route
}

// Valid reports whether a decoded observation is usable.
func (observation Observation) Valid() bool {
	return observation.Endpoint != "" && observation.LatencyRatio > 0 && observation.LatencyRatio <= maxSlowness
}

// recordObservation keeps an observation for other VMs if it would change the latency they expect. Calls to entry VMs are not shared.
func (fleet *Fleet) recordObservation(endpoint *trackedEndpoint, ratio float64) {
	if endpoint.Peer || ratio < slowRatio && endpoint.slowness < suspectSlowness || ratio <= 0 ||
		len(fleet.observations) >= maxPendingObservations {
		return
	}
	fleet.observations = append(fleet.observations, Observation{Endpoint: endpoint.ID, LatencyRatio: ratio})
}

// HasObservations reports whether observations wait to be shared.
func (fleet *Fleet) HasObservations() bool { return len(fleet.observations) > 0 }

// TakeObservations returns the observations since the last call and clears them.
func (fleet *Fleet) TakeObservations() []Observation {
	observations := fleet.observations
	fleet.observations = nil
	return observations
}

// ApplyObservation applies an observation of another VM like a call of this one. It reports whether the target's slowness crossed the
// threshold from which endpoints of other failure domains are preferred, in either direction.
func (fleet *Fleet) ApplyObservation(now time.Time, observation Observation) bool {
	endpoint, ok := fleet.endpoints[observation.Endpoint]
	if !ok {
		return false
	}
	before := endpoint.decayedSlowness(now)
	endpoint.updateSlowness(now, observation.LatencyRatio)
	return (before < remoteFactor) != (endpoint.slowness < remoteFactor)
}
