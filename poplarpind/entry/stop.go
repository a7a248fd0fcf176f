package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/member"
)

const (
	stopPoll  = 20 * time.Millisecond
	quietSpan = 300 * time.Millisecond // without requests and calls, after which a stopping VM has nothing left
)

// Stopping reports whether a planned stop has begun.
func (vm *VM) Stopping() bool { return vm.stopping.Load() }

// Stop begins a planned stop and returns when nothing is left to finish: the balancer and peers have had time to
// turn to others, and every request and call in flight has ended.
func (vm *VM) Stop(ctx context.Context) {
	vm.stopping.Store(true)
	vm.log.Info("planned stop begins")
	vm.leave(member.Leaving)
	vm.report()
	select {
	case <-time.After(vm.settings.DrainWait.Std()):
	case <-ctx.Done():
	}
	quiet := time.Now()
	for ctx.Err() == nil && time.Since(quiet) < quietSpan {
		if vm.requests.Load() > 0 || vm.owner.InFlight() > 0 {
			quiet = time.Now()
		}
		time.Sleep(stopPoll)
	}
}

// Leave says farewell after the last request has ended.
func (vm *VM) Leave() {
	vm.leave(member.Left)
	time.Sleep(stopPoll)
	vm.mesh.Close()
	vm.log.Info("planned stop ends", zap.Int64("requests", vm.requests.Load()))
}

func (vm *VM) leave(state member.State) {
	vm.members.Lock()
	outgoing := vm.members.list.Leave(state)
	vm.updateTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}
