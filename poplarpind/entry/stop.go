package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/member"
)

const (
	drainPollInterval = 20 * time.Millisecond
	quietPeriod       = 300 * time.Millisecond // without requests or calls in flight, after which the VM counts as drained
	lateServiceTime   = 10 * time.Second       // after the drain wait, for which callers that still send are served
	lastAnswerTime    = 30 * time.Second       // for the bodies and answers of the last requests
)

// Stopping reports whether a planned stop has begun.
func (vm *VM) Stopping() bool { return vm.stopping.Load() }

// StopTimeout returns the longest time that a planned stop takes: it outlasts each request that the VM accepts.
func StopTimeout(drainWait time.Duration) time.Duration {
	return drainWait + lateServiceTime + config.MaxDeadline + lastAnswerTime
}

// refuseLate returns an error once a planned stop has waited long enough for callers to turn to other VMs.
func (vm *VM) refuseLate() error {
	if !vm.refusing.Load() {
		return nil
	}
	return &api.Error{Op: "query", Kind: api.Stopping, Message: "this VM is stopping; ask another", Outcome: api.NotRun,
		RetryAfter: retryAfter(outcomeRetryAfter)}
}

// Stop begins a planned stop and returns once the VM is drained: it first waits so that the balancer and peers stop using
// this VM, then until no request or call has been in flight for a while. Callers that go on sending are refused after some time.
func (vm *VM) Stop(ctx context.Context) {
	vm.stopping.Store(true)
	vm.log.Info("planned stop began")
	vm.announceLeave(member.Leaving)
	vm.report()
	select {
	case <-time.After(vm.settings.DrainWait.Std()):
	case <-ctx.Done():
	}
	defer time.AfterFunc(lateServiceTime, func() { vm.refusing.Store(true) }).Stop()
	lastActivity := time.Now()
	for ctx.Err() == nil && time.Since(lastActivity) < quietPeriod {
		if vm.requests.Load() > 0 || vm.owner.InFlight() > 0 {
			lastActivity = time.Now()
		}
		time.Sleep(drainPollInterval)
	}
}

// Leave announces that this VM has left, closes its links and returns once the background writes to the platform have ended; it must be
// called after the last request has ended.
func (vm *VM) Leave(ctx context.Context) {
	vm.announceLeave(member.Left)
	time.Sleep(drainPollInterval) // lets the links send the announcement
	vm.mesh.Close()
	for ctx.Err() == nil && vm.storing.Load() > 0 {
		time.Sleep(drainPollInterval)
	}
	vm.log.Info("planned stop finished", zap.Int64("requests", vm.requests.Load()), zap.Int64("storing", vm.storing.Load()))
}

// storeInBackground runs a task that writes to the platform after the answer to its request; a planned stop waits for it.
func (vm *VM) storeInBackground(store func(ctx context.Context)) {
	vm.storing.Add(1)
	go func() {
		defer vm.storing.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		store(ctx)
	}()
}

func (vm *VM) announceLeave(state member.State) {
	vm.members.Lock()
	outgoing := vm.members.list.Leave(state)
	vm.updateOwnerTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}
