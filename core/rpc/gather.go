package rpc

import (
	"net/http"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
)

// The JSON-RPC methods of relaying: an entry VM calls targets of its failure domain for a peer, most often in another one.
const (
	MethodGather       = "gather"       // notification: Gather
	MethodGatherResult = "gathered"     // notification: GatherResult
	MethodGatherCancel = "gatherCancel" // notification: GatherCancel
)

// MaxForwardedBody bounds the body of a request or response in a message of relaying, before its encoding as JSON.
const MaxForwardedBody = 8 << 20

// Gather asks an entry VM to call targets of its failure domain, or the targets that it names, for some parts of a request. The receiver
// calls them itself and asks no further VM.
type Gather struct {
	QueryID      string          `json:"query"`  // unique within the requesting VM's incarnation
	ShardsDigest uint64          `json:"shards"` // digest of the route's shards, which the indices in Parts refer to
	Route        string          `json:"route"`
	Parts        []int           `json:"parts"`                 // indices into the route's shards; 0 for the only part of a route that does not gather
	Targets      []string        `json:"targets,omitempty"`     // ids of the targets to call, one for each part; empty if the receiver chooses
	RecordLimit  int             `json:"recordLimit,omitempty"` // the asking VM keeps this many of the greatest records; 0 from builds that do not say
	Once         bool            `json:"once,omitempty"`        // the request is not idempotent
	Pays         bool            `json:"pays,omitempty"`        // the receiver's budgets of extra calls pay for the calls, or it reports fanout.Unpaid
	RequestID    string          `json:"id"`                    // ID of the client's request
	Method       string          `json:"method"`
	Head         []byte          `json:"head"` // request line and the headers common to all calls
	Body         []byte          `json:"body,omitempty"`
	Timeout      config.Duration `json:"timeout"`
	ReportAfter  config.Duration `json:"reportIn"` // time after which the relay reports the parts answered so far
}

// GatherResult carries what the relay has gathered since its last message on the same query.
type GatherResult struct {
	QueryID         string           `json:"query"`
	Refused         bool             `json:"refused,omitempty"` // no target was called
	Parts           []int            `json:"parts,omitempty"`   // answered parts
	Stamps          []string         `json:"stamps,omitempty"`  // the targets' signatures, one for each answered part
	LatenciesMicros []int            `json:"took,omitempty"`    // latency of the target's answer, one for each answered part
	Records         []byte           `json:"records,omitempty"`
	Response        *Response        `json:"response,omitempty"` // of the target of a route that does not gather, instead of records
	Missing         []fanout.Missing `json:"missing,omitempty"`  // parts that will not be answered
	Overdue         bool             `json:"early,omitempty"`    // the parts in neither list take longer than ReportAfter
	Final           bool             `json:"final,omitempty"`    // the last message on the query
}

// Response is the response of a target.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// GatherCancel cancels a Gather whose result is no longer needed.
type GatherCancel struct {
	QueryID string `json:"query"`
}

// Needs returns the capabilities that the receiver must have: without them, named targets, Once, Pays and RecordLimit mean nothing to it.
func (gather Gather) Needs() []Capability {
	var needed []Capability
	if len(gather.Targets) > 0 || gather.Once {
		needed = append(needed, NamedTargets)
	}
	if gather.Pays {
		needed = append(needed, LendsBudget)
	}
	if gather.ShardsDigest != 0 {
		needed = append(needed, RecordLimit)
	}
	return needed
}

// Validate checks a decoded request.
func (gather Gather) Validate() error {
	if gather.QueryID == "" || gather.Route == "" || gather.RequestID == "" || gather.Method == "" || len(gather.Head) == 0 {
		return invalid("gather", "query, route, id, method and head are required")
	}
	if gather.Timeout <= 0 || gather.ReportAfter <= 0 {
		return invalid("gather", "timeout %s and report after %s must be positive", gather.Timeout, gather.ReportAfter)
	}
	if gather.Pays && (len(gather.Targets) == 0 || gather.Once) {
		return invalid("gather", "calls on the receiver's budget need named targets and an idempotent request")
	}
	if gather.RecordLimit < 0 {
		return invalid("gather", "record limit %d is negative", gather.RecordLimit)
	}
	if len(gather.Parts) == 0 || len(gather.Parts) > MaxCalls {
		return invalid("gather", "number of parts %d is out of range", len(gather.Parts))
	}
	if len(gather.Targets) > 0 && len(gather.Targets) != len(gather.Parts) {
		return invalid("gather", "%d targets for %d parts", len(gather.Targets), len(gather.Parts))
	}
	return nil
}

// Validate checks a decoded result.
func (gatherResult GatherResult) Validate() error {
	if gatherResult.QueryID == "" || len(gatherResult.Parts) != len(gatherResult.Stamps) || len(gatherResult.LatenciesMicros) != len(gatherResult.Parts) || len(gatherResult.Parts) > MaxCalls {
		return invalid("gathered", "query %q has %d parts and %d stamps; each part needs a stamp and a latency", gatherResult.QueryID, len(gatherResult.Parts), len(gatherResult.Stamps))
	}
	if response := gatherResult.Response; response != nil && (response.Status < 200 || response.Status > 999) {
		return invalid("gathered", "status %d is no final status", response.Status)
	}
	return nil
}

// Validate checks a decoded cancellation.
func (gatherCancel GatherCancel) Validate() error {
	if gatherCancel.QueryID == "" {
		return invalid("gatherCancel", "query is required")
	}
	return nil
}
