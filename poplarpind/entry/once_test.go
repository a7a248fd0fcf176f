package entry

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
)

// TestRefusalOfAnotherVM guards against a claim that is released, so that the request runs again, after a refusal by a VM that was not asked.
func TestRefusalOfAnotherVM(t *testing.T) {
	request := &claimedRequest{results: make(chan rpc.Result, resultBuffer)}
	request.lastOwner.Store("vm-b1")
	vm := &VM{}
	vm.queries.active = map[string]pendingQuery{"q": request}
	refusal, err := json.Marshal(rpc.BatchResults{QueryID: "q", Results: []rpc.Result{{Outcome: rpc.Shed}}})
	assert.NilError(t, err)
	assert.NilError(t, vm.Notify("vm-b2", nil, rpc.MethodBatchResults, refusal))
	assert.Equal(t, len(request.results), 0)
	assert.NilError(t, vm.Notify("vm-b1", nil, rpc.MethodBatchResults, refusal))
	assert.Equal(t, len(request.results), 1)
}
