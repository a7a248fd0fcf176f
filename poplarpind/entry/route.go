package entry

import (
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/settings"
)

// waiter takes the results of the calls of one query.
type waiter interface {
	result(result rpc.Result)
	lost(owner string) // results from this owner may not come any more
}

// ownerOf returns the VM through which a target is called now: the first in order that can be reached, or this VM.
func (vm *VM) ownerOf(target config.Target) member.Member {
	self := vm.self()
	if vm.settings.Mode != settings.Owner {
		return self
	}
	for _, candidate := range vm.rank(target.FailureDomain, target.OwnerKey()) {
		if candidate.Name == self.Name || vm.mesh.Reachable(candidate.Name) {
			return candidate
		}
	}
	return self
}

// send makes the calls of a batch through one owner; results come to the waiter registered for the query.
func (vm *VM) send(owner member.Member, batch rpc.Batch) {
	if owner.Name == vm.settings.Name {
		go vm.owner.Run(&batch, func(result rpc.Result) { vm.deliverResult(batch.QueryID, result) })
		return
	}
	vm.mesh.Notify(owner.Name, owner.Address, rpc.MethodBatch, batch, func() {
		go func() {
			for _, call := range batch.Calls {
				vm.deliverResult(batch.QueryID, rpc.Result{CallID: call.ID, Target: call.Target, Outcome: rpc.OwnerNotReached})
			}
		}()
	})
}

func (vm *VM) deliverResult(query string, result rpc.Result) {
	vm.queries.Lock()
	waiter, ok := vm.queries.active[query]
	vm.queries.Unlock()
	if !ok {
		return
	}
	if result.Outcome == rpc.OK {
		var err error
		if result.Shards, err = rpc.Unpack(result.Body); err != nil {
			result.Outcome = rpc.Lost
		}
	}
	waiter.result(result)
}

func (vm *VM) register(query string, waiter waiter) {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	vm.queries.active[query] = waiter
}

func (vm *VM) unregister(query string) {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	delete(vm.queries.active, query)
}

// LinkDown tells every query that results from a peer may not come any more.
func (vm *VM) LinkDown(name string) {
	vm.queries.Lock()
	waiters := make([]waiter, 0, len(vm.queries.active))
	for _, waiter := range vm.queries.active {
		waiters = append(waiters, waiter)
	}
	vm.queries.Unlock()
	for _, waiter := range waiters {
		waiter.lost(name)
	}
}

// AwaitsReply implements peer.Handler: whether any query is under way, as each may wait for any owner.
func (vm *VM) AwaitsReply(string) bool {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	return len(vm.queries.active) > 0
}

func retry(after time.Duration) config.Duration { return config.Duration(after) }
