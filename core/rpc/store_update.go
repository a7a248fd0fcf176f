package rpc

import (
	"encoding/json"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/poison"
)

// The JSON-RPC methods by which entry VMs share the contents of the store and their observations of targets.
const (
	MethodSubscribe    = "follow"   // notification: StoreRevisions, repeated to keep the subscription alive
	MethodStoreUpdate  = "news"     // notification: StoreUpdate
	MethodObservations = "findings" // notification: Observations
)

// StoreRevisions subscribes to store updates after the revisions that the sender knows.
type StoreRevisions struct {
	Config  int64 `json:"config"`  // revision of the known configuration
	Servers int64 `json:"servers"` // revision up to which the targets are known

	ConfigEra      int64 `json:"configEra,omitempty"`
	ServersEra     int64 `json:"serversEra,omitempty"`
	Evacuations    int64 `json:"evacuations,omitempty"`    // revision of the known evacuations
	EvacuationsEra int64 `json:"evacuationsEra,omitempty"` // their era
}

// StoreObject is an object of the store, as entry VMs exchange it.
type StoreObject struct {
	Name     string          `json:"name"`
	Era      int64           `json:"era,omitempty"` // of the store, in which revisions are comparable
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Lapsed   bool            `json:"lapsed,omitempty"` // missing since an outage of the store; it may come back
}

// StoreUpdate carries changes of the store; without changes it is a heartbeat.
type StoreUpdate struct {
	StoreReachable bool          `json:"good"` // the sender itself is connected to the store
	Config         *StoreObject  `json:"config,omitempty"`
	Servers        []StoreObject `json:"servers,omitempty"`
	Full           bool          `json:"full,omitempty"`     // Servers is a complete list: targets that it lacks were deleted
	Since          int64         `json:"since,omitempty"`    // revision that the changes of targets follow; a receiver that knows less stays at its revision, unless Full is set
	VMs            int           `json:"vms,omitempty"`      // number of entry VMs, if the sender has just read it from the store
	Unlisted       bool          `json:"unlisted,omitempty"` // the list of entry VMs that the sender has just read does not name the receiver
	Through        int64         `json:"through,omitempty"`  // revision up to which the targets are known with this update; 0 for no change
	// ViewAge is the age of the sender's view of the configuration; it is omitted while the configuration has no accounts.
	ViewAge     config.Duration `json:"viewAge,omitempty"`
	Evacuations *Evacuations    `json:"evacuations,omitempty"`
	Era         int64           `json:"era,omitempty"`       // of Since, Through and FirstList; without them the highest era that the sender knows
	FirstList   int64           `json:"firstList,omitempty"` // revision of the era's first list: targets with a higher one were written in this era
}

// Observations carries observations of targets' latency, hints on what targets said of themselves, and reports on requests that may crash
// targets.
type Observations struct {
	Observations []place.Observation `json:"findings"`
	place.Hints
	Suspects []poison.Report `json:"suspects,omitempty"`
}

// Validate checks decoded observations.
func (observations Observations) Validate() error {
	for _, observation := range observations.Observations {
		if !observation.Valid() {
			return invalid("findings", "target %q with latency ratio %v", observation.Endpoint, observation.LatencyRatio)
		}
	}
	for _, hint := range observations.Leaving {
		if !hint.Valid() {
			return invalid("findings", "leaving target %q since %d ms", hint.Target, hint.AgeMillis)
		}
	}
	for _, hint := range observations.Paused {
		if !hint.Valid() {
			return invalid("findings", "target %q paused for %d ms", hint.Target, hint.LeftMillis)
		}
	}
	for _, report := range observations.Suspects {
		if err := report.Validate(); err != nil {
			return invalid("findings", "request %s: %s", report.Fingerprint, err)
		}
	}
	for _, hint := range observations.Limited {
		if !hint.Valid() {
			return invalid("findings", "target %q with a limit of %v since %d ms", hint.Target, hint.PerSecond, hint.AgeMillis)
		}
	}
	return nil
}

// Validate checks decoded revisions.
func (revisions StoreRevisions) Validate() error {
	if min(revisions.ConfigEra, revisions.ServersEra, revisions.EvacuationsEra) < 0 {
		return invalid("follow", "eras must not be negative")
	}
	if revisions.Config < 0 || revisions.Servers < 0 || revisions.Evacuations < 0 {
		return invalid("follow", "revisions %d, %d and %d must not be negative", revisions.Config, revisions.Servers, revisions.Evacuations)
	}
	return nil
}

// Validate checks a decoded update.
func (update StoreUpdate) Validate() error {
	if update.Config != nil && update.Config.Revision <= 0 || min(update.Through, update.Era, update.FirstList) < 0 || update.ViewAge < 0 || update.VMs < 0 {
		return invalid("news", "configuration needs a positive revision, and no era, revision, viewAge or vms may be negative")
	}
	for _, entry := range update.Servers {
		if entry.Name == "" {
			return invalid("news", "an entry of a target has no name")
		}
	}
	if update.Evacuations != nil {
		return update.Evacuations.Validate()
	}
	return nil
}
