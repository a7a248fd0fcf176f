package entry

import (
	"context"
	"encoding/json"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// Notify implements peer.Handler: it dispatches a notification from a peer.
func (vm *VM) Notify(from string, reply peer.Reply, method string, params json.RawMessage) error {
	switch method {
	case rpc.MethodMembership:
		return peer.Handle(params, vm.receive)
	case rpc.MethodBatch:
		return peer.Handle(params, func(batch rpc.Batch) { vm.runBatch(reply, batch) })
	case rpc.MethodBatchCancel:
		return peer.Handle(params, vm.owner.Cancel)
	case rpc.MethodBatchResults:
		return peer.Handle(params, func(batchResults rpc.BatchResults) { vm.deliverResults(from, batchResults) })
	case rpc.MethodStatusReport:
		return peer.Handle(params, vm.recordStatus)
	case rpc.MethodLeavingTargets:
		return peer.Handle(params, func(leaving rpc.LeavingTargets) { vm.owner.MarkLeaving(leaving.Targets) })
	}
	return &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such notification"}
}

// Call implements peer.Handler: it answers a call from a peer.
func (vm *VM) Call(_ context.Context, _, method string, params json.RawMessage) (any, error) {
	switch method {
	case rpc.MethodPull:
		request, err := peer.Decode[rpc.Pull](params)
		if err != nil {
			return nil, err
		}
		return vm.answerPull(request), nil
	case rpc.MethodDomainStatus:
		return vm.freshReports(), nil
	}
	return nil, &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such call"}
}

// runBatch makes the calls of a peer's batch and sends each result back on the link that the batch arrived on.
func (vm *VM) runBatch(reply peer.Reply, batch rpc.Batch) {
	if reply == nil {
		return
	}
	vm.owner.Run(&batch, func(result rpc.Result) {
		reply(rpc.MethodBatchResults, rpc.BatchResults{QueryID: batch.QueryID, Results: []rpc.Result{result}})
	})
}

func (vm *VM) deliverResults(from string, batchResults rpc.BatchResults) {
	for _, result := range batchResults.Results {
		vm.deliverResult(from, batchResults.QueryID, result)
	}
}

func (vm *VM) recordStatus(status api.VMStatus) {
	vm.statusMu.Lock()
	defer vm.statusMu.Unlock()
	vm.statusCollector.Record(status, time.Now())
}

func (vm *VM) freshReports() []api.VMStatus {
	vm.statusMu.Lock()
	defer vm.statusMu.Unlock()
	return vm.statusCollector.FreshReports(time.Now())
}
