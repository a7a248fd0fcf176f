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
	Partial  Outcome = "partial" // some shards are missing and listed
	Ran      Outcome = "ran"     // a non-idempotent request ran once
	Failed   Outcome = "failed"  // a non-idempotent request reached the target, which refused or failed it
	Unknown  Outcome = "unknown" // a non-idempotent request may have run once
	NotRun   Outcome = "notRun"  // the request was not run
)

// Reason says why a shard is missing.
type Reason string

// The reasons for missing shards.
const (
	TimedOut       Reason = "timedOut"
	Unreachable    Reason = "unreachable"
	Shed           Reason = "shed"
	Draining       Reason = "draining"
	VersionNotHeld Reason = "versionNotHeld"
	TargetFailed   Reason = "targetFailed"
)

// Snapshot identifies the release and index version that an answer was computed from.
type Snapshot struct {
	Release int64 `json:"release"`
	Version int64 `json:"version"` // of the service's index
}

// MissingShard identifies a shard that is missing from the answer.
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
	Coverage   float64         `json:"coverage"`   // fraction of the snapshot's documents that is merged
	Sufficient bool            `json:"sufficient"` // coverage is at least the minimum coverage
	Missing    []MissingShard  `json:"missing,omitempty"`
	Records    []Record        `json:"records,omitempty"`
	Elapsed    config.Duration `json:"spent"`
	RetryAfter config.Duration `json:"retryAfter,omitzero"`
	Message    string          `json:"message,omitempty"`
	VM         string          `json:"vm"`
	ExtraCalls int             `json:"hedges,omitempty"` // retries, hedges and probes
}
