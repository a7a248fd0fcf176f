package rpc

import (
	"fmt"

	"poplarpin.dev/core/config"
)

// MaxCalls bounds the calls of one message.
const MaxCalls = config.MaxShards

// BadMessage marks a message that breaks a rule.
const BadMessage Kind = "badMessage"

func bad(what string, format string, args ...any) error {
	return &Error{what, BadMessage, fmt.Sprintf(format, args...)}
}

// Validate checks a batch that was decoded.
func (batch Batch) Validate() error {
	if batch.QueryID == "" || batch.RequestID == "" || batch.Service == "" || batch.Version < 1 {
		return bad("batch", "query, request, service and version are required")
	}
	if batch.Timeout <= 0 || batch.Timeout.Std() > config.MaxDeadline {
		return bad("batch", "timeout %s is not in (0s, %s]", batch.Timeout, config.MaxDeadline)
	}
	if len(batch.Calls) == 0 || len(batch.Calls) > MaxCalls {
		return bad("batch", "%d calls", len(batch.Calls))
	}
	return nil
}

// Validate checks a cancellation that was decoded.
func (batchCancel BatchCancel) Validate() error {
	if batchCancel.QueryID == "" || len(batchCancel.Calls) > MaxCalls {
		return bad("cancel", "query %q with %d calls", batchCancel.QueryID, len(batchCancel.Calls))
	}
	return nil
}

// Validate checks results that were decoded.
func (batchResults BatchResults) Validate() error {
	if batchResults.QueryID == "" || len(batchResults.Results) > MaxCalls {
		return bad("part", "query %q with %d results", batchResults.QueryID, len(batchResults.Results))
	}
	return nil
}

// Validate checks a pull that was decoded.
func (pull Pull) Validate() error {
	if pull.HeldRelease < 0 {
		return bad("pull", "release %d", pull.HeldRelease)
	}
	return nil
}
