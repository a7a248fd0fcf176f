package entry

import (
	"time"

	"poplarpin.dev/core/latency"
	"poplarpin.dev/core/member"
	"poplarpin.dev/poplarpind/target"
)

// ServiceDump is the state that all queries of one service share on this VM.
type ServiceDump struct {
	Limits     map[string]float64 // queries in flight allowed, by class
	HedgeDelay time.Duration
	Calls      int // first calls in the last ten seconds, without hedges and retries
	Extra      int // hedges and retries in the last ten seconds
	Targets    []latency.TargetView
}

// Dump is a snapshot of the process's state for debugging.
type Dump struct {
	VM          string
	Incarnation int64
	State       string
	Release     int64
	Adopted     time.Time
	Platform    bool
	Requests    int64
	Queries     int
	Members     []member.Member
	Links       []string
	Services    map[string]ServiceDump
	Targets     []target.View // targets that this VM calls itself
}

// Dump returns a snapshot of the process's state.
func (vm *VM) Dump() Dump {
	dump := Dump{VM: vm.settings.Name, Incarnation: vm.incarnation, State: vm.state(), Platform: vm.platformUp.Load(),
		Requests: vm.requests.Load(), Links: vm.mesh.ConnectedPeers(), Targets: vm.owner.View(), Services: map[string]ServiceDump{}}
	vm.releases.RLock()
	dump.Release, dump.Adopted = vm.releases.adopter.Release(), vm.releases.adopted
	vm.releases.RUnlock()
	vm.members.Lock()
	dump.Members = vm.members.list.Members()
	vm.members.Unlock()
	vm.queries.Lock()
	dump.Queries = len(vm.queries.active)
	vm.queries.Unlock()
	vm.services.Lock()
	defer vm.services.Unlock()
	for name, service := range vm.services.byName {
		dump.Services[name] = service.dump(time.Now())
	}
	return dump
}

func (service *service) dump(now time.Time) ServiceDump {
	service.Lock()
	defer service.Unlock()
	calls, extra := service.shared.Budget.WindowCounts(now)
	return ServiceDump{Limits: service.limiter.ClassLimits(), HedgeDelay: service.shared.Tracker.HedgeDelay(),
		Calls: calls, Extra: extra, Targets: service.shared.Tracker.View(now)}
}
