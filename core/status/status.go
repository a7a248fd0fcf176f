package status

import (
	"cmp"
	"slices"
	"time"

	"poplarpin.dev/core/api"
)

// StaleAfter is the age beyond which a report is ignored.
const StaleAfter = 15 * time.Second

type report struct {
	api.VMStatus
	recordedAt time.Time
}

// Collector holds the latest report of each VM of a failure domain.
type Collector struct {
	reports map[string]report
}

// New returns a Collector without reports.
func New() *Collector { return &Collector{reports: map[string]report{}} }

// Record stores a VM's report in place of its earlier one.
func (collector *Collector) Record(status api.VMStatus, now time.Time) {
	collector.reports[status.VM] = report{status, now}
}

// FreshReports returns the reports that are not stale, sorted by VM name, and drops the stale ones.
func (collector *Collector) FreshReports(now time.Time) []api.VMStatus {
	var vms []api.VMStatus
	for name, report := range collector.reports {
		if now.Sub(report.recordedAt) > StaleAfter {
			delete(collector.reports, name)
			continue
		}
		vms = append(vms, report.VMStatus)
	}
	slices.SortFunc(vms, func(a, b api.VMStatus) int { return cmp.Compare(a.VM, b.VM) })
	return vms
}

// Summarize counts, for each failure domain, the VMs that have the newest release in force, and lists those that are behind it and those
// that are unreachable: members without a report.
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
