package rpc_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
)

// TestOwnerCannotReportItselfUnreached guards against an owner's result on which the sender of a batch sends a call that may have run once more.
func TestOwnerCannotReportItselfUnreached(t *testing.T) {
	results := rpc.BatchResults{QueryID: "vm0/1/1", Results: []rpc.Result{{Outcome: rpc.NotSent}, {Outcome: "later"}}}
	assert.NilError(t, results.Validate())
	results.Results[1].Outcome = rpc.OwnerNotReached
	assert.ErrorContains(t, results.Validate(), "cannot report")
}
