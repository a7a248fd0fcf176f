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

// connectionShares is in how many parts a target's connections are divided, so that all of today's entry VMs of an
// organisation could call it at once and stay within its limit; each connection carries many calls.
const connectionShares = 12

// unlimited stands for no limit on calls in flight.
const unlimited = 1 << 20

// Limits says how much of a target one VM may use.
type Limits struct {
	Extra     int // calls in flight beyond the slots
	Parts     int // VMs that share a target's slots and connections; 0 for one owner at a time
	Unlimited bool
}

func (limits Limits) inFlight(target config.Target) int {
	if limits.Unlimited {
		return unlimited
	}
	if limits.Parts > 0 {
		return max(1, (target.Slots+limits.Extra)/limits.Parts)
	}
	return target.Slots + limits.Extra
}

func (limits Limits) connections(target config.Target) int {
	if limits.Parts > 0 {
		return max(1, target.Connections/limits.Parts)
	}
	return max(1, target.Connections/connectionShares)
}

// Owner makes the calls to targets that this VM owns or stands in for.
type Owner struct {
	limits        Limits
	transport     *http.Transport
	mu            sync.Mutex
	configuration *config.Configuration
	targets       map[string]*target
}

// New returns an owner without targets.
func New(limits Limits) *Owner {
	return &Owner{limits: limits, transport: newTransport(), targets: map[string]*target{}}
}

// Configure takes a new configuration; targets that are gone or have changed are closed once idle.
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

// retire refuses what waits and closes the connections when the last call has ended.
func (target *target) retire() {
	target.mu.Lock()
	target.retired = true
	waiting := target.queue.Remove(func(*job) bool { return true })
	target.mu.Unlock()
	for _, item := range waiting {
		item.Value.end(rpc.Result{Outcome: rpc.Draining, Leaving: true})
	}
	go func() {
		for target.view().InFlight > 0 {
			time.Sleep(healthInterval)
		}
		target.pool.close()
	}()
}

// MarkLeaving records targets that the platform lists as leaving.
func (owner *Owner) MarkLeaving(names []string) {
	for _, name := range names {
		if target, ok := owner.target(name); ok {
			target.mark(time.Now().Add(listedSpan))
		}
	}
}

// Run makes the calls of a batch and reports each result once, unless the call is withdrawn.
func (owner *Owner) Run(batch *rpc.Batch, reply func(rpc.Result)) {
	now := time.Now()
	deadline := now.Add(batch.Timeout.Std())
	class := owner.class(batch.Class)
	for _, call := range batch.Calls {
		queued := &job{query: batch.QueryID, call: call, batch: batch, reply: reply, queued: now}
		target, ok := owner.target(call.Target)
		if !ok {
			queued.end(rpc.Result{Outcome: rpc.NotSent})
			continue
		}
		target.run(now, dispatch.Item[*job]{Class: class, StartedMicros: batch.Started, Deadline: deadline, Value: queued})
	}
}

// class looks up a class; all are alike where nothing is limited.
func (owner *Owner) class(name string) dispatch.Class {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	if owner.configuration == nil || owner.limits.Unlimited {
		return dispatch.Class{Name: name}
	}
	class := owner.configuration.Classes[name]
	return dispatch.Class{Name: name, Priority: class.Priority, Share: class.Share}
}

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
	target := newTarget(declared, owner.limits, owner.transport)
	owner.targets[name] = target
	return target, true
}

// Cancel withdraws calls of a query.
func (owner *Owner) Cancel(cancel rpc.BatchCancel) {
	for _, call := range cancel.Calls {
		if target, ok := owner.target(call.Target); ok {
			target.withdraw(cancel.QueryID, call.ID)
		}
	}
}

func (owner *Owner) all() []*target {
	owner.mu.Lock()
	defer owner.mu.Unlock()
	all := make([]*target, 0, len(owner.targets))
	for _, target := range owner.targets {
		all = append(all, target)
	}
	return all
}

// Watch asks the health of the targets in use until the context ends.
func (owner *Owner) Watch(ctx context.Context) {
	every.Run(ctx, healthInterval, func() {
		for _, target := range owner.all() {
			go target.check(ctx)
		}
	})
}

// InFlight returns the number of calls that wait or run.
func (owner *Owner) InFlight() int {
	sum := 0
	for _, view := range owner.View() {
		sum += view.InFlight + view.Waiting
	}
	return sum
}

// View returns the targets in use by name.
func (owner *Owner) View() []View {
	var views []View
	for _, target := range owner.all() {
		views = append(views, target.view())
	}
	slices.SortFunc(views, func(a, b View) int { return cmp.Compare(a.Target, b.Target) })
	return views
}
