package place

import (
	"slices"
	"time"
)

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
			Slowness: endpoint.slowness.value, InFlight: len(endpoint.attempts), Down: endpoint.down(now, Direct), RelayedDown: endpoint.down(now, Relayed), Missing: !endpoint.missingSince.IsZero(),
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
