package entry

import (
	"context"
	"sync"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/status"
	"poplarpin.dev/poplarpind/peer"
)

const (
	reportInterval      = 5 * time.Second
	statusTimeout       = 500 * time.Millisecond
	firstUncountedState = member.Dead // members in this state or a later one are left out of the status
)

// state returns the VM's state as shown in status and dumps.
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

// report sends this VM's status to the status collectors of its failure domain.
func (vm *VM) report() {
	status := vm.status()
	status.State = vm.state()
	for _, collector := range vm.collectorsOf(vm.settings.FailureDomain) {
		if collector.Name == vm.settings.Name {
			vm.recordStatus(status)
			continue
		}
		vm.mesh.Notify(collector.Name, collector.Address, peer.Message{Method: rpc.MethodStatusReport, Params: status})
	}
}

// collectorsOf returns the two VMs that collect a failure domain's status reports; asking either one is enough.
func (vm *VM) collectorsOf(failureDomain string) []member.Member {
	ranked := vm.rank(failureDomain, collectorKey)
	return ranked[:min(2, len(ranked))]
}

// Status queries the collectors of all failure domains and summarizes their reports.
func (vm *VM) Status(ctx context.Context) api.Status {
	vm.members.Lock()
	membersByDomain := map[string][]string{}
	for _, member := range vm.members.list.Members() {
		if member.State < firstUncountedState {
			membersByDomain[member.FailureDomain] = append(membersByDomain[member.FailureDomain], member.Name)
		}
	}
	newest, _ := vm.members.list.NewestRelease()
	vm.members.Unlock()
	own := vm.status()
	reports := vm.allReports(ctx, membersByDomain)
	newest = max(newest, own.Release)
	for _, report := range reports {
		newest = max(newest, report.Release)
	}
	platform := "unavailable"
	if vm.platformUp.Load() {
		platform = "available"
	}
	return api.Status{VM: own.VM, Release: own.Release, NewestRelease: newest, Platform: platform,
		Domains: status.Summarize(newest, membersByDomain, reports), VMs: reports}
}

// allReports queries the collectors of all failure domains that have members concurrently.
func (vm *VM) allReports(ctx context.Context, membersByDomain map[string][]string) []api.VMStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var mu sync.Mutex
	var group sync.WaitGroup
	var reports []api.VMStatus
	for failureDomain := range membersByDomain {
		group.Go(func() {
			found := vm.domainReports(ctx, failureDomain)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, found...)
		})
	}
	group.Wait()
	return reports
}

// domainReports returns the reports of one failure domain from the first collector that answers.
func (vm *VM) domainReports(ctx context.Context, failureDomain string) []api.VMStatus {
	for _, collector := range vm.collectorsOf(failureDomain) {
		if collector.Name == vm.settings.Name {
			return vm.freshReports()
		}
		var found []api.VMStatus
		if vm.mesh.Call(ctx, collector.Name, collector.Address, rpc.MethodDomainStatus, nil, &found) == nil {
			return found
		}
	}
	return nil
}
