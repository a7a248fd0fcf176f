package rpc

import (
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
	"poplarpin.dev/core/search"
)

// The JSON-RPC methods between entry VMs.
const (
	MethodHello          = "link.hello"     // call: Hello, the first message on a link
	MethodPing           = "link.ping"      // call without parameters
	MethodMembership     = "member"         // notification: member.Message
	MethodBatch          = "query.run"      // notification: Batch
	MethodBatchCancel    = "query.cancel"   // notification: BatchCancel
	MethodBatchResults   = "query.part"     // notification: BatchResults
	MethodPull           = "release.pull"   // call: Pull, answered by PullResponse
	MethodStatusReport   = "status.report"  // notification: api.VMStatus
	MethodLeavingTargets = "target.leaving" // notification: LeavingTargets
	MethodDomainStatus   = "status.domain"  // call without parameters, answered by a list of api.VMStatus
)

// Batch asks the owner of some targets, the entry VM that connects to them, to call them for one query.
type Batch struct {
	QueryID       string          `json:"query"` // unique within the entry VM's incarnation
	Class         string          `json:"class"`
	Started       int64           `json:"started"` // microseconds since the epoch; orders queries of a class by age
	Timeout       config.Duration `json:"timeout"`
	Calls         []Call          `json:"calls"`
	RequestID     string          `json:"request"`
	Service       string          `json:"service"`
	Version       int64           `json:"version"`
	Text          string          `json:"text"`
	Top           int             `json:"top"`
	NonIdempotent bool            `json:"once,omitempty"`
}

// Call is a call of a batch to one target.
type Call struct {
	ID     int64          `json:"id"`
	Target string         `json:"target"`
	Shards []search.Shard `json:"shards,omitempty"`
}

// BatchCancel cancels calls of a query; only the ID and target of each call are used.
type BatchCancel struct {
	QueryID string `json:"query"`
	Calls   []Call `json:"calls"`
}

// BatchResults carries results of a batch back to the requesting entry VM.
type BatchResults struct {
	QueryID string   `json:"query"`
	Results []Result `json:"results"`
}

// Outcome says how one call ended.
type Outcome string

// The outcomes of calls, which decide whether a call may be retried.
const (
	OK             Outcome = "ok"
	NotSent        Outcome = "notSent"        // no byte reached the target
	Shed           Outcome = "shed"           // refused before it ran
	Draining       Outcome = "draining"       // refused before it ran, as the target is leaving
	VersionNotHeld Outcome = "versionNotHeld" // refused before it ran
	Expired        Outcome = "expired"        // not sent before its timeout
	Failed         Outcome = "failed"         // the target answered with an error
	Lost           Outcome = "lost"           // sent to the target, it may have run
	OwnerLost      Outcome = "ownerLost"      // sent to the owner, it may have run

	OwnerNotReached Outcome = "ownerNotReached" // no byte reached the owner
)

// ProvesNotRun reports whether a call that ended with this outcome has certainly not run and will not run. Only then may a request
// that is not idempotent be sent again. An outcome that this build does not know proves nothing.
func (outcome Outcome) ProvesNotRun() bool {
	switch outcome {
	case NotSent, Shed, Draining, VersionNotHeld, Expired, OwnerNotReached:
		return true
	}
	return false
}

// Result is the result of one call.
type Result struct {
	CallID    int64                `json:"call"`
	Target    string               `json:"target"`
	Outcome   Outcome              `json:"outcome"`
	Version   int64                `json:"version,omitempty"`
	RequestID string               `json:"request,omitempty"`
	Body      []byte               `json:"body,omitempty"` // the shards as compressed by Pack
	Shards    []search.ShardResult `json:"-"`
	QueueWait config.Duration      `json:"wait,omitzero"`     // time queued at the owner, or the time that the owner expected
	Leaving   bool                 `json:"leaving,omitempty"` // the owner knows that the target is leaving
}

// LeavingTargets names targets that the platform lists as leaving.
type LeavingTargets struct {
	Targets []string `json:"targets"`
}

// Pull asks for a newer release than the one held, with the parts that the sender lacks.
type Pull struct {
	HeldRelease int64            `json:"have"`
	HeldParts   []release.Digest `json:"parts,omitempty"`
}

// PullResponse is the answer to a Pull; a head of release 0 means nothing newer.
type PullResponse struct {
	Head  release.Head              `json:"head"`
	Parts map[release.Digest][]byte `json:"parts,omitempty"`
}
