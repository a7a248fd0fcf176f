package rpc

import (
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
	"poplarpin.dev/core/search"
)

// The JSON-RPC methods between entry VMs.
const (
	MethodHello          = "link.hello"     // call: Hello, first on a link
	MethodPing           = "link.ping"      // call without parameters
	MethodMembership     = "member"         // notification: member.Message
	MethodBatch          = "query.run"      // notification: Batch
	MethodBatchCancel    = "query.cancel"   // notification: Cancel
	MethodBatchResults   = "query.part"     // notification: Part
	MethodPull           = "release.pull"   // call: Pull, answered by Pulled
	MethodStatusReport   = "status.report"  // notification: api.VMStatus
	MethodLeavingTargets = "target.leaving" // notification: Leaving
	MethodDomainStatus   = "status.domain"  // call without parameters, answered by a list of api.VMStatus
)

// Hello names the VM at the other end of a link.
type Hello struct {
	VM          string `json:"vm"`
	Incarnation int64  `json:"incarnation"`
}

// Batch asks an owner to make calls to its targets for one query.
type Batch struct {
	QueryID       string          `json:"query"` // unique to the entry VM's incarnation
	Class         string          `json:"class"`
	Started       int64           `json:"started"` // age order within a class, microseconds since the epoch
	Timeout       config.Duration `json:"timeout"`
	Calls         []Call          `json:"calls"`
	RequestID     string          `json:"request"`
	Service       string          `json:"service"`
	Version       int64           `json:"version"`
	Text          string          `json:"text"`
	Top           int             `json:"top"`
	NonIdempotent bool            `json:"once,omitempty"` // the calls are not idempotent
}

// Call is one call of a batch.
type Call struct {
	ID     int64          `json:"id"`
	Target string         `json:"target"`
	Shards []search.Shard `json:"shards,omitempty"`
}

// BatchCancel withdraws calls of a query; only their ids and targets count.
type BatchCancel struct {
	QueryID string `json:"query"`
	Calls   []Call `json:"calls"`
}

// BatchResults carries results of a batch back to the entry VM.
type BatchResults struct {
	QueryID string   `json:"query"`
	Results []Result `json:"results"`
}

// Outcome says how one call ended.
type Outcome string

// The outcomes of calls.
const (
	OK             Outcome = "ok"
	NotSent        Outcome = "notSent"        // no byte reached the target
	Shed           Outcome = "shed"           // refused before it was run
	Draining       Outcome = "draining"       // refused before it was run, the target is leaving
	VersionNotHeld Outcome = "versionNotHeld" // refused before it was run
	Expired        Outcome = "expired"        // not sent, its time ran out
	Failed         Outcome = "failed"         // the target answered with an error
	Lost           Outcome = "lost"           // sent to the target, it may have run
	OwnerLost      Outcome = "ownerLost"      // sent to the owner, it may have run

	OwnerNotReached Outcome = "ownerNotReached" // no byte reached the owner
)

// Result is the end of one call.
type Result struct {
	CallID    int64                `json:"call"`
	Target    string               `json:"target"`
	Outcome   Outcome              `json:"outcome"`
	Version   int64                `json:"version,omitempty"`
	RequestID string               `json:"request,omitempty"`
	Body      []byte               `json:"body,omitempty"` // the shards, packed
	Shards    []search.ShardResult `json:"-"`
	QueueWait config.Duration      `json:"wait,omitzero"`     // at the owner, or the wait that it expected
	Leaving   bool                 `json:"leaving,omitempty"` // the owner knows that the target is leaving
}

// LeavingTargets names targets that the platform lists as leaving.
type LeavingTargets struct {
	Targets []string `json:"targets"`
}

// Pull asks for a release newer than the one held, with the parts that are missing.
type Pull struct {
	HeldRelease int64            `json:"have"`
	HeldParts   []release.Digest `json:"parts,omitempty"` // held already
}

// PullResponse is the answer to a Pull; a head of release 0 means nothing newer.
type PullResponse struct {
	Head  release.Head              `json:"head"`
	Parts map[release.Digest][]byte `json:"parts,omitempty"`
}
