package rpc

import (
	"fmt"

	"poplarpin.dev/core/config"
)

// MaxCalls bounds the calls of one message.
const MaxCalls = config.MaxShards

// BadMessage marks a message with invalid contents.
const BadMessage Kind = "badMessage"

func invalid(op string, format string, args ...any) error {
	return &Error{op, BadMessage, fmt.Sprintf(format, args...)}
}

// Validate checks a decoded batch.
func (batch Batch) Validate() error {
	if batch.QueryID == "" || batch.RequestID == "" || batch.Service == "" || batch.Version < 1 {
		return invalid("batch", "query, request, service and version are required")
	}
	if batch.Timeout <= 0 || batch.Timeout.Std() > config.MaxDeadline {
		return invalid("batch", "timeout %s is not in (0s, %s]", batch.Timeout, config.MaxDeadline)
	}
	if len(batch.Calls) == 0 || len(batch.Calls) > MaxCalls {
		return invalid("batch", "number of calls %d is out of range", len(batch.Calls))
	}
	return nil
}

// Validate checks a decoded cancellation.
func (batchCancel BatchCancel) Validate() error {
	if batchCancel.QueryID == "" || len(batchCancel.Calls) > MaxCalls {
		return invalid("cancel", "query %q with %d calls", batchCancel.QueryID, len(batchCancel.Calls))
	}
	return nil
}

// Validate checks decoded results.
func (batchResults BatchResults) Validate() error {
	if batchResults.QueryID == "" || len(batchResults.Results) > MaxCalls {
		return invalid("part", "query %q with %d results", batchResults.QueryID, len(batchResults.Results))
	}
	for _, result := range batchResults.Results {
		if result.Outcome == OwnerNotReached { // only the sender of a batch can know that; it would send the call again
			return invalid("part", "query %q with an outcome that an owner cannot report", batchResults.QueryID)
		}
	}
	return nil
}

// Validate checks a decoded pull.
func (pull Pull) Validate() error {
	if pull.HeldRelease < 0 {
		return invalid("pull", "held release %d must not be negative", pull.HeldRelease)
	}
	return nil
}
