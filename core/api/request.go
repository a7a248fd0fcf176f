package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"time"

	"poplarpin.dev/core/config"
)

// Limits of a request.
const (
	MaxBodyBytes  = 64 << 10
	MaxQueryBytes = 16 << 10
	MaxTop        = 10_000 // records
	DefaultTop    = 100    // records
)

var idPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

// Request is a caller's query.
type Request struct {
	ID            string          `json:"id"`
	Service       string          `json:"service"`
	Class         string          `json:"class,omitempty"` // defaults to the service's first class
	Query         string          `json:"query"`
	Top           int             `json:"top,omitempty"`
	Deadline      config.Duration `json:"deadline,omitzero"` // time from receipt; defaults to the service's deadline
	NonIdempotent bool            `json:"nonIdempotent,omitempty"`
	Shard         string          `json:"shard,omitempty"` // the shard that a non-idempotent request runs on
	MinCoverage   *float64        `json:"leastCoverage,omitempty"`
}

// UnmarshalJSON decodes and validates a request; it rejects unknown fields.
func (request *Request) UnmarshalJSON(data []byte) error {
	type plain Request   // has no UnmarshalJSON, so that Decode does not recurse
	explicit := struct { // distinguishes a deadline of zero, which is invalid, from an absent one
		Deadline *json.RawMessage `json:"deadline"`
	}{}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode((*plain)(request)); err != nil {
		return err
	}
	if err := json.Unmarshal(data, &explicit); err != nil {
		return err
	}
	if explicit.Deadline != nil && request.Deadline <= 0 {
		return invalid("deadline", "must be above zero")
	}
	return request.Validate()
}

// Validate checks what does not depend on the configuration.
func (request *Request) Validate() error {
	if !idPattern.MatchString(request.ID) {
		return invalid("id", fmt.Sprintf("%.40q must match %s", request.ID, idPattern))
	}
	if request.Service == "" {
		return invalid("service", "is required")
	}
	if len(request.Query) > MaxQueryBytes {
		return invalid("query", fmt.Sprintf("has %d bytes, the limit is %d", len(request.Query), MaxQueryBytes))
	}
	if request.Top < 0 || request.Top > MaxTop {
		return invalid("top", fmt.Sprintf("%d is not in [0, %d]", request.Top, MaxTop))
	}
	if request.Deadline < 0 || request.Deadline.Std() > config.MaxDeadline {
		return invalid("deadline", fmt.Sprintf("%s is not in (0s, %s]", request.Deadline, config.MaxDeadline))
	}
	if minCoverage := request.MinCoverage; minCoverage != nil && !(*minCoverage >= 0 && *minCoverage <= 1) {
		return invalid("leastCoverage", fmt.Sprintf("%v is not in [0, 1]", *minCoverage))
	}
	if request.NonIdempotent != (request.Shard != "") {
		return invalid("shard", "is required for, and only for, a non-idempotent request")
	}
	return nil
}

// RecordLimit returns the maximum number of records to return.
func (request *Request) RecordLimit() int {
	if request.Top == 0 {
		return DefaultTop
	}
	return request.Top
}

// Timeout returns how long the request may take in a service.
func (request *Request) Timeout(service config.Service) time.Duration {
	if request.Deadline == 0 {
		return service.Deadline.Std()
	}
	return request.Deadline.Std()
}
