package entry

import (
	"context"
	"sync"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/status"
)

const (
	reportInterval = 5 * time.Second
	statusTimeout  = 500 * time.Millisecond
	gone           = member.Dead // the first state of members that do not count
)

// state names what this VM is doing.
func (vm *VM) state() string {
	switch {
	case vm.stopping.Load():
		return "leaving"
	case vm.configuration() == nil:
		return "noRelease"
	}
	return "serving"
}

func (vm *VM) status() api.VMStatus {
	vm.releases.RLock()
	defer vm.releases.RUnlock()
	return api.VMStatus{VM: vm.settings.Name, FailureDomain: vm.settings.FailureDomain, Release: vm.releases.adopter.Release()}
}

// report tells the VMs that count for this failure domain which release is in force here.
func (vm *VM) report() {
	status := vm.status()
	status.State = vm.state()
	for _, counter := range vm.counters(vm.settings.FailureDomain) {
		if counter.Name == vm.settings.Name {
			vm.reported(status)
			continue
		}
		vm.mesh.Notify(counter.Name, counter.Address, rpc.MethodStatusReport, status, func() {})
	}
}

// counters returns the two VMs of a failure domain that count its status; either will do.
func (vm *VM) counters(domain string) []member.Member {
	ranked := vm.rank(domain, counterKey)
	return ranked[:min(2, len(ranked))]
}

// Status asks each failure domain's counter and sums up.
func (vm *VM) Status(ctx context.Context) api.Status {
	vm.members.Lock()
	members := map[string][]string{}
	for _, member := range vm.members.list.Members() {
		if member.State < gone {
			members[member.FailureDomain] = append(members[member.FailureDomain], member.Name)
		}
	}
	newest, _ := vm.members.list.NewestRelease()
	vm.members.Unlock()
	own := vm.status()
	reports := vm.collect(ctx, members)
	newest = max(newest, own.Release)
	for _, report := range reports {
		newest = max(newest, report.Release)
	}
	platform := "unavailable"
	if vm.platformUp.Load() {
		platform = "available"
	}
	return api.Status{VM: own.VM, Release: own.Release, NewestRelease: newest, Platform: platform,
		Domains: status.Summarize(newest, members, reports), VMs: reports}
}

// collect asks the counters of all failure domains at once.
func (vm *VM) collect(ctx context.Context, members map[string][]string) []api.VMStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	var reports []api.VMStatus
	for domain := range members {
		group.Go(func() {
			found := vm.ask(ctx, domain)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, found...)
		})
	}
	group.Wait()
	return reports
}

// ask returns the reports of one failure domain from the first counter that answers.
func (vm *VM) ask(ctx context.Context, domain string) []api.VMStatus {
	for _, counter := range vm.counters(domain) {
		if counter.Name == vm.settings.Name {
			return vm.counted()
		}
		var found []api.VMStatus
		if vm.mesh.Call(ctx, counter.Name, counter.Address, rpc.MethodDomainStatus, nil, &found) == nil {
			return found
		}
	}
	return nil
}
