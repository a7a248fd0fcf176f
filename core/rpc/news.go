package rpc

import (
	"encoding/json"

	"poplarpin.dev/core/place"
)

// The JSON-RPC methods by which entry VMs learn from each other what the platform's store holds and how servers do.
const (
	MethodFollow   = "follow"   // notification: Follow, again and again while news are wanted
	MethodNews     = "news"     // notification: News
	MethodFindings = "findings" // notification: Findings
)

// Follow asks for news since revisions of the store.
type Follow struct {
	Config  int64 `json:"config"`  // revision of the configuration that is known
	Servers int64 `json:"servers"` // revision up to which the servers are known
}

// Entry is an object of the store.
type Entry struct {
	Name     string          `json:"name"`
	Revision int64           `json:"revision"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Deleted  bool            `json:"deleted,omitempty"`
	Lapsed   bool            `json:"lapsed,omitempty"` // it went while the store was away and may come back
}

// News carries what has changed, or nothing, as a sign of life.
type News struct {
	Good    bool    `json:"good"` // the sender has the store itself
	Config  *Entry  `json:"config,omitempty"`
	Servers []Entry `json:"servers,omitempty"`
	Full    bool    `json:"full,omitempty"`    // servers that are not named are gone
	Since   int64   `json:"since,omitempty"`   // revision that the servers' changes follow on; with a gap before it they are no whole
	Through int64   `json:"through,omitempty"` // revision up to which the servers are known with this; 0 for no change
}

// Findings tells what calls have shown of servers.
type Findings struct {
	Findings []place.Finding `json:"findings"`
}

// Validate checks findings that were decoded.
func (findings Findings) Validate() error {
	for _, finding := range findings.Findings {
		if !finding.Valid() {
			return bad("findings", "server %q with pace %v", finding.Server, finding.Pace)
		}
	}
	return nil
}

// Validate checks a request that was decoded.
func (follow Follow) Validate() error {
	if follow.Config < 0 || follow.Servers < 0 {
		return bad("follow", "revisions %d and %d", follow.Config, follow.Servers)
	}
	return nil
}

// Validate checks news that were decoded.
func (news News) Validate() error {
	if news.Config != nil && news.Config.Revision <= 0 || news.Through < 0 {
		return bad("news", "revisions are required")
	}
	for _, entry := range news.Servers {
		if entry.Name == "" {
			return bad("news", "an entry has no name")
		}
	}
	return nil
}
