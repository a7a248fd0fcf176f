package place

import (
	"maps"
	"slices"
	"time"
)

// SetEvacuated replaces the set of evacuated failure domains, whose targets get no calls, and returns which evacuations began and ended.
func (fleet *Fleet) SetEvacuated(now time.Time, failureDomains []string) (began, ended []string) {
	evacuated := map[string]bool{}
	for _, name := range failureDomains {
		evacuated[name] = true
		if !fleet.evacuated[name] {
			began = append(began, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(fleet.evacuated)) {
		if !evacuated[name] {
			ended = append(ended, name)
			fleet.MarkCold(now, name)
		}
	}
	fleet.evacuated = evacuated
	return began, ended
}

// Evacuated returns the evacuated failure domains in order.
func (fleet *Fleet) Evacuated() []string { return slices.Sorted(maps.Keys(fleet.evacuated)) }

// isEvacuated reports whether an endpoint is a target of an evacuated failure domain. Entry VMs there continue to serve.
func (fleet *Fleet) isEvacuated(endpoint *trackedEndpoint) bool {
	return !endpoint.Peer && fleet.evacuated[endpoint.FailureDomain]
}
