package rpc

import (
	"encoding/json"

	"poplarpin.dev/core/place"
)

// The JSON-RPC methods by which entry VMs learn from each other what the platform's store holds and how servers do.
const (
	MethodSubscribe    = "follow"   // notification: Follow, again and again while news are wanted
	MethodStoreUpdate  = "news"     // notification: News
	MethodObservations = "findings" // notification: Findings
)

// StoreRevisions asks for news since revisions of the store.
type StoreRevisions struct {
	Config  int64 `json:"config"`  // revision of the configuration that is known
	Servers int64 `json:"servers"` // revision up to which the servers are known
}

// StoreObject is an object of the store.
type StoreObject struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Lapsed   bool            `json:"lapsed,omitempty"` // it went while the store was away and may come back
}

// StoreUpdate carries what has changed, or nothing, as a sign of life.
type StoreUpdate struct {
	StoreReachable bool          `json:"good"` // the sender has the store itself
	Config         *StoreObject  `json:"config,omitempty"`
	Servers        []StoreObject `json:"servers,omitempty"`
	Full           bool          `json:"full,omitempty"`    // servers that are not named are gone
	Since          int64         `json:"since,omitempty"`   // revision that the servers' changes follow on; with a gap before it they are no whole
	Through        int64         `json:"through,omitempty"` // revision up to which the servers are known with this; 0 for no change
}

// Observations tells what calls have shown of servers.
type Observations struct {
	Observations []place.Observation `json:"findings"`
}

// Validate checks findings that were decoded.
func (observations Observations) Validate() error {
	for _, observation := range observations.Observations {
		if !observation.Valid() {
			return bad("findings", "server %q with pace %v", observation.Endpoint, observation.LatencyRatio)
		}
	}
	return nil
}

// Validate checks a request that was decoded.
func (revisions StoreRevisions) Validate() error {
	if revisions.Config < 0 || revisions.Servers < 0 {
		return bad("follow", "revisions %d and %d", revisions.Config, revisions.Servers)
	}
	return nil
}

// Validate checks news that were decoded.
func (update StoreUpdate) Validate() error {
	if update.Config != nil && update.Config.Revision <= 0 || update.Through < 0 {
		return bad("news", "revisions are required")
	}
	for _, entry := range update.Servers {
		if entry.Name == "" {
			return bad("news", "an entry has no name")
		}
	}
	return nil
}
