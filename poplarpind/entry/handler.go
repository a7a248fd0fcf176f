package entry

import (
	"context"
	"encoding/json"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// Notify implements peer.Handler.
func (vm *VM) Notify(_ string, reply peer.Reply, method string, params json.RawMessage) error {
	switch method {
	case rpc.MethodMembership:
		return peer.Handle(params, vm.receive)
	case rpc.MethodBatch:
		return peer.Handle(params, func(batch rpc.Batch) { vm.runFor(reply, batch) })
	case rpc.MethodBatchCancel:
		return peer.Handle(params, vm.owner.Cancel)
	case rpc.MethodBatchResults:
		return peer.Handle(params, vm.merge)
	case rpc.MethodStatusReport:
		return peer.Handle(params, vm.reported)
	case rpc.MethodLeavingTargets:
		return peer.Handle(params, func(leaving rpc.LeavingTargets) { vm.owner.MarkLeaving(leaving.Targets) })
	}
	return &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such notification"}
}

// Call implements peer.Handler.
func (vm *VM) Call(_ context.Context, _, method string, params json.RawMessage) (any, error) {
	switch method {
	case rpc.MethodPull:
		request, err := peer.Decode[rpc.Pull](params)
		if err != nil {
			return nil, err
		}
		return vm.pulled(request), nil
	case rpc.MethodDomainStatus:
		return vm.counted(), nil
	}
	return nil, &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such call"}
}

// runFor makes the calls of another VM's batch and sends each result back on the link that the batch came on.
func (vm *VM) runFor(reply peer.Reply, batch rpc.Batch) {
	if reply == nil {
		return
	}
	vm.owner.Run(&batch, func(result rpc.Result) {
		reply(rpc.MethodBatchResults, rpc.BatchResults{QueryID: batch.QueryID, Results: []rpc.Result{result}})
	})
}

func (vm *VM) merge(part rpc.BatchResults) {
	for _, result := range part.Results {
		vm.deliverResult(part.QueryID, result)
	}
}

func (vm *VM) reported(status api.VMStatus) {
	vm.counting.Lock()
	defer vm.counting.Unlock()
	vm.counter.Record(status, time.Now())
}

func (vm *VM) counted() []api.VMStatus {
	vm.counting.Lock()
	defer vm.counting.Unlock()
	return vm.counter.FreshReports(time.Now())
}
