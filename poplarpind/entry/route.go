package entry

import (
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
	"poplarpin.dev/poplarpind/settings"
)

// pendingQuery receives the results of the calls of one query.
type pendingQuery interface {
	onResult(owner string, result rpc.Result) // of a call through this owner
	onOwnerLost(owner string)                 // results of calls through this owner may not arrive any more
}

// ownerOf returns the VM through which a target is called now: the highest-ranked reachable VM, or this VM if there is none.
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

// send makes the calls of a batch through one owner; the pending query registered under the batch's query id receives the
// results.
func (vm *VM) send(owner member.Member, batch rpc.Batch) {
	if owner.Name == vm.settings.Name {
		go vm.owner.Run(&batch, func(result rpc.Result) { vm.deliverResult(owner.Name, batch.QueryID, result) })
		return
	}
	vm.mesh.Notify(owner.Name, owner.Address, peer.Message{Method: rpc.MethodBatch, Params: batch, Prompt: true, OnUnsent: func(peer.Kind) {
		go func() {
			for _, call := range batch.Calls {
				vm.deliverResult(owner.Name, batch.QueryID, rpc.Result{CallID: call.ID, Target: call.Target, Outcome: rpc.OwnerNotReached})
			}
		}()
	}})
}

// deliverResult passes a result of an owner to its pending query; a result body that cannot be unpacked counts as a lost call.
func (vm *VM) deliverResult(owner, queryID string, result rpc.Result) {
	vm.queries.Lock()
	pendingQuery, ok := vm.queries.active[queryID]
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
	pendingQuery.onResult(owner, result)
}

func (vm *VM) register(queryID string, pendingQuery pendingQuery) {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	vm.queries.active[queryID] = pendingQuery
}

func (vm *VM) unregister(queryID string) {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	delete(vm.queries.active, queryID)
}

// Greeted implements peer.Handler. The messages between these VMs need no capability.
func (vm *VM) Greeted(rpc.Hello) {}

// LinkDown implements peer.Handler: it notifies every pending query that results from the peer may not arrive any more.
func (vm *VM) LinkDown(name string) {
	vm.queries.Lock()
	pendingQueries := make([]pendingQuery, 0, len(vm.queries.active))
	for _, pendingQuery := range vm.queries.active {
		pendingQueries = append(pendingQueries, pendingQuery)
	}
	vm.queries.Unlock()
	for _, pendingQuery := range pendingQueries {
		pendingQuery.onOwnerLost(name)
	}
}

// AwaitsReply implements peer.Handler: it reports whether any query is pending, as each may wait for any owner.
func (vm *VM) AwaitsReply(string) bool {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	return len(vm.queries.active) > 0
}

// retryAfter converts a delay to the type of the RetryAfter fields.
func retryAfter(delay time.Duration) config.Duration { return config.Duration(delay) }
