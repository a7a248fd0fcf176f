package search

import (
	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
)

// Paths of a target's HTTP interface.
const (
	SearchPath = "/search"
	HealthPath = "/health"
)

// Call asks a target to search some shards of one index version.
type Call struct {
	RequestID     string          `json:"request"`
	Service       string          `json:"service"`
	Version       int64           `json:"version"`
	Shards        []Shard         `json:"shards"`
	Query         string          `json:"query"`
	Top           int             `json:"top"`
	Timeout       config.Duration `json:"timeout"`
	NonIdempotent bool            `json:"nonIdempotent,omitempty"`
}

// Shard identifies a shard and its key range.
type Shard struct {
	Name string `json:"name"`
	From int64  `json:"from,omitempty"`
	To   int64  `json:"to,omitempty"`
}

// Reply is a target's answer to a Call.
type Reply struct {
	RequestID string        `json:"request"`
	Version   int64         `json:"version"`
	Shards    []ShardResult `json:"shards"`
	State     State         `json:"state,omitempty"`
}

// ShardResult holds the records that one shard contributes to a Reply.
type ShardResult struct {
	Name    string       `json:"name"`
	Records []api.Record `json:"records,omitempty"`
}

// State is the state that a target reports in replies, refusals and health answers.
type State string

// The states of a target.
const (
	Serving  State = "serving"
	Cold     State = "cold"
	Draining State = "draining"
	Shedding State = "shedding"
)

// Refusal is the body of a response with status 503 (see State) or 409 (the target does not hold the version).
type Refusal struct {
	State      State           `json:"state"`
	RetryAfter config.Duration `json:"retryAfter,omitzero"`
}

// Health is the body of a response from HealthPath.
type Health struct {
	State State   `json:"state"`
	Load  float64 `json:"load"` // busy slots as a fraction of all slots
}
