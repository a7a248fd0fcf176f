package api

import (
	"encoding/json"

	"poplarpin.dev/core/config"
)

// Outcome says how a request ended.
type Outcome string

// The outcomes of requests.
const (
	Complete Outcome = "whole"   // every shard of the snapshot is merged
	Partial  Outcome = "partial" // some shards are missing and named
	Ran      Outcome = "ran"     // a non-idempotent request ran once
	Failed   Outcome = "failed"  // a non-idempotent request reached the target, which refused or failed it
	Unknown  Outcome = "unknown" // a non-idempotent request may have run once
	NotRun   Outcome = "notRun"  // nothing was run
)

// Reason says why a shard is missing.
type Reason string

// The reasons of missing shards.
const (
	TimedOut       Reason = "timedOut"
	Unreachable    Reason = "unreachable"
	Shed           Reason = "shed"
	Draining       Reason = "draining"
	VersionNotHeld Reason = "versionNotHeld"
	TargetFailed   Reason = "targetFailed"
)

// Snapshot names what an answer was computed from.
type Snapshot struct {
	Release int64 `json:"release"`
	Version int64 `json:"version"` // of the service's index
}

// MissingShard names a shard that is not in the answer.
type MissingShard struct {
	Shard  string `json:"shard"`
	Reason Reason `json:"reason"`
}

// Record is one found document.
type Record struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Data  json.RawMessage `json:"data,omitempty"`
}

// Answer is the final answer to a request.
type Answer struct {
	ID         string          `json:"id"`
	Outcome    Outcome         `json:"outcome"`
	Snapshot   Snapshot        `json:"snapshot"`
	Coverage   float64         `json:"coverage"`   // merged documents over documents of the snapshot
	Sufficient bool            `json:"sufficient"` // coverage is at least the least coverage
	Missing    []MissingShard  `json:"missing,omitempty"`
	Records    []Record        `json:"records,omitempty"`
	Elapsed    config.Duration `json:"spent"`
	RetryAfter config.Duration `json:"retryAfter,omitzero"`
	Message    string          `json:"message,omitempty"`
	VM         string          `json:"vm"`
	ExtraCalls int             `json:"hedges,omitempty"` // calls beyond the first for each shard
}
