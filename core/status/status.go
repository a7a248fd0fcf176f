package status

import (
	"cmp"
	"slices"
	"time"

	"poplarpin.dev/core/api"
)

// StaleAfter is the age from which a report no longer counts.
const StaleAfter = 15 * time.Second

type report struct {
	api.VMStatus
	at time.Time
}

// Collector holds the last report of each VM of a failure domain.
type Collector struct {
	reports map[string]report
}

// New returns a counter without reports.
func New() *Collector { return &Collector{reports: map[string]report{}} }

// Record takes a VM's report.
func (counter *Collector) Record(status api.VMStatus, now time.Time) {
	counter.reports[status.VM] = report{status, now}
}

// FreshReports returns the fresh reports by name and forgets the stale ones.
func (counter *Collector) FreshReports(now time.Time) []api.VMStatus {
	var vms []api.VMStatus
	for name, report := range counter.reports {
		if now.Sub(report.at) > StaleAfter {
			delete(counter.reports, name)
			continue
		}
		vms = append(vms, report.VMStatus)
	}
	slices.SortFunc(vms, func(a, b api.VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return vms
}

// Summarize counts the VMs of each failure domain against the newest release; members without a report are unreachable.
func Summarize(newest int64, members map[string][]string, reports []api.VMStatus) []api.DomainStatus {
	byName := map[string]api.VMStatus{}
	for _, report := range reports {
		byName[report.VM] = report
	}
	var domains []api.DomainStatus
	for domain, names := range members {
		summary := api.DomainStatus{FailureDomain: domain, VMs: len(names)}
		for _, name := range names {
			report, ok := byName[name]
			switch {
			case !ok:
				summary.Unreachable = append(summary.Unreachable, name)
			case report.Release < newest:
				summary.Behind = append(summary.Behind, name)
			default:
				summary.InForce++
			}
		}
		slices.Sort(summary.Behind)
		slices.Sort(summary.Unreachable)
		domains = append(domains, summary)
	}
	slices.SortFunc(domains, func(a, b api.DomainStatus) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return domains
}
