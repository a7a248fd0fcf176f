package rpc

import (
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
)

// The JSON-RPC methods by which an entry VM of one failure domain calls servers for one of another.
const (
	MethodGather       = "gather"       // notification: Gather
	MethodGatherResult = "gathered"     // notification: Gathered
	MethodGatherCancel = "gatherCancel" // notification: GatherCancel
)

// Gather asks an entry VM to call servers of its failure domain for some parts of a request.
type Gather struct {
	QueryID      string          `json:"query"`  // unique to the asking VM's incarnation
	ShardsDigest uint64          `json:"shards"` // digest of the route's shards, which the parts belong to
	Route        string          `json:"route"`
	Parts        []int           `json:"parts"` // indices into the route's shards
	RequestID    string          `json:"id"`    // of the client's request
	Method       string          `json:"method"`
	Head         []byte          `json:"head"` // request line and headers that all calls share
	Body         []byte          `json:"body,omitempty"`
	Timeout      config.Duration `json:"timeout"`
	ReportAfter  config.Duration `json:"reportIn"` // after which the parts that are in are wanted
}

// GatherResult carries what an entry VM gathered for another since its last message on the same query.
type GatherResult struct {
	QueryID         string           `json:"query"`
	Refused         bool             `json:"refused,omitempty"` // nothing was called
	Parts           []int            `json:"parts,omitempty"`   // that are in
	Stamps          []string         `json:"stamps,omitempty"`  // the servers' signatures, one for each part
	LatenciesMicros []int            `json:"took,omitempty"`    // for each part, microseconds that its server took
	Records         []byte           `json:"records,omitempty"`
	Missing         []fanout.Missing `json:"missing,omitempty"` // that will not be
	Overdue         bool             `json:"early,omitempty"`   // the parts that are in neither take longer than was asked for
	Final           bool             `json:"final,omitempty"`   // nothing more will come
}

// GatherCancel says that the result of a Gather is not needed any more.
type GatherCancel struct {
	QueryID string `json:"query"`
}

// Validate checks a request that was decoded.
func (gather Gather) Validate() error {
	if gather.QueryID == "" || gather.Route == "" || gather.RequestID == "" || gather.Method == "" || len(gather.Head) == 0 {
		return bad("gather", "query, route, id, method and head are required")
	}
	if gather.Timeout <= 0 || gather.ReportAfter <= 0 {
		return bad("gather", "timeout %s, report in %s", gather.Timeout, gather.ReportAfter)
	}
	if len(gather.Parts) == 0 || len(gather.Parts) > MaxCalls {
		return bad("gather", "%d parts", len(gather.Parts))
	}
	return nil
}

// Validate checks a result that was decoded.
func (gatherResult GatherResult) Validate() error {
	if gatherResult.QueryID == "" || len(gatherResult.Parts) != len(gatherResult.Stamps) || len(gatherResult.LatenciesMicros) != len(gatherResult.Parts) || len(gatherResult.Parts) > MaxCalls {
		return bad("gathered", "query %q with %d parts and %d stamps", gatherResult.QueryID, len(gatherResult.Parts), len(gatherResult.Stamps))
	}
	return nil
}

// Validate checks a cancellation that was decoded.
func (gatherCancel GatherCancel) Validate() error {
	if gatherCancel.QueryID == "" {
		return bad("gatherCancel", "query is required")
	}
	return nil
}
