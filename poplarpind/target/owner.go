package target

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/dispatch"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/every"
)

// connectionDivisor divides a target's connection limit, so that all of an organisation's present entry VMs could call the
// target at once and stay within the limit. A share suffices for one VM, as each connection carries many calls.
const connectionDivisor = 12

// unlimitedInFlight is the limit on calls in flight where none applies; it is too high to be reached.
const unlimitedInFlight = 1 << 20

// Limits defines how much of a target's capacity one VM may use.
type Limits struct {
	Extra      int // calls in flight beyond the slots
	SharingVMs int // VMs among which a target's slots and connections are divided; 0 leaves all slots to one owner
	Unlimited  bool
}

// maxInFlight returns how many calls one VM may have in flight at a target.
func (limits Limits) maxInFlight(target config.Target) int {
	if limits.Unlimited {
		return unlimitedInFlight
	}
	if limits.SharingVMs > 0 {
		return max(1, (target.Slots+limits.Extra)/limits.SharingVMs)
	}
	return target.Slots + limits.Extra
}

// maxConnections returns how many connections one VM may have to a target.
func (limits Limits) maxConnections(target config.Target) int {
	if limits.SharingVMs > 0 {
		return max(1, target.Connections/limits.SharingVMs)
	}
	return max(1, target.Connections/connectionDivisor)
}

// Owner makes the calls to the targets that this VM owns, or calls in place of their owner.
type Owner struct {
	limits        Limits
	transport     *http.Transport
	memory        *memory
	mu            sync.Mutex
	configuration *config.Configuration
	targets       map[string]*target
}

// New returns an Owner without a configuration.
func New(limits Limits) *Owner {
	return &Owner{limits: limits, transport: newTransport(), memory: newMemory(), targets: map[string]*target{}}
}

// Configure applies a new configuration; the state of a removed or changed target refuses its queued calls and is closed once
// idle, and a changed target gets a new state at its next call.
func (owner *Owner) Configure(configuration *config.Configuration) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	owner.configuration = configuration
	for name, target := range owner.targets {
		if declared, ok := configuration.Targets[name]; !ok || declared != target.settings {
			delete(owner.targets, name)
			target.retire()
		}
	}
}

// retire refuses queued and new calls and closes the connections when the last call in flight has ended.
func (target *target) retire() {
	target.mu.Lock()
	target.retired = true
	queued := target.queue.Remove(func(*job) bool { return true })
	target.mu.Unlock()
	for _, item := range queued {
		item.Value.finish(rpc.Result{Outcome: rpc.Draining, Leaving: true})
	}
	go func() {
		for target.view().InFlight > 0 {
			time.Sleep(healthInterval)
		}
		target.pool.close()
	}()
}

// MarkLeaving marks targets that the platform lists as leaving.
func (owner *Owner) MarkLeaving(names []string) {
	for _, name := range names {
		if target, ok := owner.target(name); ok {
			target.markLeaving(&target.listedUntil, listedLeavingTTL)
		}
	}
}

// Run makes the calls of a batch and reports each result once, except for calls cancelled while they are queued.
func (owner *Owner) Run(batch *rpc.Batch, reply func(rpc.Result)) {
	now := time.Now()
	deadline := now.Add(batch.Timeout.Std())
	class := owner.class(batch.Class)
	for _, call := range batch.Calls {
		queuedJob := &job{queryID: batch.QueryID, call: call, batch: batch, reply: reply, priority: class.Priority, queuedAt: now}
		target, ok := owner.target(call.Target)
		if !ok {
			queuedJob.finish(rpc.Result{Outcome: rpc.NotSent})
			continue
		}
		target.run(now, dispatch.Item[*job]{Class: class, StartedMicros: batch.Started, Deadline: deadline, Value: queuedJob})
	}
}

// class looks up a class in the configuration; without limits nothing is queued, so that all classes are equal.
func (owner *Owner) class(name string) dispatch.Class {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if owner.configuration == nil || owner.limits.Unlimited {
		return dispatch.Class{Name: name}
	}
	class := owner.configuration.Classes[name]
	return dispatch.Class{Name: name, Priority: class.Priority, Share: class.Share}
}

// target returns the state of a configured target, created at its first use.
func (owner *Owner) target(name string) (*target, bool) {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if target, ok := owner.targets[name]; ok {
		return target, true
	}
	if owner.configuration == nil {
		return nil, false
	}
	declared, ok := owner.configuration.Targets[name]
	if !ok {
		return nil, false
	}
	target := newTarget(declared, owner.limits, owner.transport, owner.memory)
	owner.targets[name] = target
	return target, true
}

// Cancel cancels calls of a query.
func (owner *Owner) Cancel(cancel rpc.BatchCancel) {
	for _, call := range cancel.Calls {
		if target, ok := owner.target(call.Target); ok {
			target.cancelCall(cancel.QueryID, call.ID)
		}
	}
}

func (owner *Owner) targetsInUse() []*target {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	all := make([]*target, 0, len(owner.targets))
	for _, target := range owner.targets {
		all = append(all, target)
	}
	return all
}

// Watch checks the health of the targets in use periodically until the context is cancelled.
func (owner *Owner) Watch(ctx context.Context) {
	every.Run(ctx, healthInterval, func() {
		for _, target := range owner.targetsInUse() {
			go target.checkHealth(ctx)
		}
	})
}

// InFlight returns the number of calls that are queued or in flight.
func (owner *Owner) InFlight() int {
	sum := 0
	for _, view := range owner.View() {
		sum += view.InFlight + view.Waiting
	}
	return sum
}

// View returns a view of each target in use, sorted by name.
func (owner *Owner) View() []View {
	var views []View
	for _, target := range owner.targetsInUse() {
		views = append(views, target.view())
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}
