package place

import "time"

const (
	slowRatio       = 2.0          // a call is shared with other VMs from this latency ratio on
	suspectSlowness = 1.3          // every answer of an endpoint with this slowness may be shared, as it may show that the target has recovered
	sharedChange    = remoteFactor // slowness that differs by a smaller factor moves no calls to another failure domain
	// A VM whose calls to a target are at most frequentInterval apart soon knows by itself whether a slow one was the first of many.
	frequentInterval       = 250 * time.Millisecond
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

// recordObservation keeps an observation for other VMs if it would change the latency they expect. A VM that calls a target often shares
// only changes: single slow calls are no news while most of its calls are as fast as the others expect. Calls to entry VMs are not shared.
func (fleet *Fleet) recordObservation(now time.Time, endpoint *trackedEndpoint, ratio float64) {
	callsOften := now.Sub(endpoint.lastOwnCall) < frequentInterval
	endpoint.lastOwnCall = now
	if endpoint.Peer || ratio <= 0 || len(fleet.observations) >= maxPendingObservations {
		return
	}
	suspect := max(endpoint.slowness.value, endpoint.sharedSlowness.at(now)) >= suspectSlowness
	if ratio < slowRatio && !suspect || callsOften && !endpoint.differsFromShared(now) {
		return
	}
	endpoint.sharedSlowness.update(now, ratio)
	fleet.observations = append(fleet.observations, Observation{Endpoint: endpoint.ID, LatencyRatio: ratio})
}

// differsFromShared reports whether the endpoint is much slower or faster than the other VMs take it for.
func (endpoint *trackedEndpoint) differsFromShared(now time.Time) bool {
	change := endpoint.slowness.at(now) / endpoint.sharedSlowness.at(now)
	return change >= sharedChange || change <= 1/sharedChange
}

// HasObservations reports whether observations wait to be shared.
func (fleet *Fleet) HasObservations() bool { return len(fleet.observations) > 0 }

// TakeObservations returns the observations since the last call and clears them.
func (fleet *Fleet) TakeObservations() []Observation {
	observations := fleet.observations
	fleet.observations = nil
	return observations
}

// ApplyObservation applies an observation that all VMs of the failure domain receive, like a call of this one. It reports whether the
// target's slowness crossed the threshold from which endpoints of other failure domains are preferred, in either direction.
func (fleet *Fleet) ApplyObservation(now time.Time, observation Observation) bool {
	endpoint, ok := fleet.endpoints[observation.Endpoint]
	if !ok {
		return false
	}
	endpoint.sharedSlowness.update(now, observation.LatencyRatio)
	return endpoint.applyObservation(now, observation)
}

// CollectObservation applies an observation that only this VM has received, as ApplyObservation does, and reports besides whether the other
// VMs should receive it: not while they take the target for about as slow as the observations of all VMs together show.
func (fleet *Fleet) CollectObservation(now time.Time, observation Observation) (crossed, forward bool) {
	endpoint, ok := fleet.endpoints[observation.Endpoint]
	if !ok {
		return false, false
	}
	crossed = endpoint.applyObservation(now, observation)
	forward = endpoint.differsFromShared(now)
	if forward {
		endpoint.sharedSlowness.update(now, observation.LatencyRatio)
	}
	return crossed, forward
}

// applyObservation updates the endpoint's slowness and reports whether it crossed remoteFactor.
func (endpoint *trackedEndpoint) applyObservation(now time.Time, observation Observation) bool {
	before := endpoint.slowness.at(now)
	endpoint.updateSlowness(now, observation.LatencyRatio)
	return (before < remoteFactor) != (endpoint.slowness.value < remoteFactor)
}
