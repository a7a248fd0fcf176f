package place

import (
	"cmp"
	"math"
	"slices"
	"time"

	"poplarpin.dev/core/route"
)

const (
	coldWindow      = time.Second // calls to a cold target are counted over this time
	coldLimitShare  = 0.8         // all VMs together use this share of the limit; the rest covers VMs with different lists of VMs
	maxColdDuration = 5 * time.Minute
)

// ColdBounds holds the tolerance of the platform's limit on calls to cold targets.
type ColdBounds struct {
	Overshoot float64 // tolerated multiple of a service's ColdCallsPerSecond
	Slack     float64 // calls a second tolerated on top
}

// coldState says until when a target is cold.
type coldState struct {
	warmAt       time.Time
	fromAnswer   bool      // warmAt comes from an answer, so that an entry that does not mention it has no effect on it
	assumedStart time.Time // from which the target counts as cold for the WarmUp of its service; zero once it has said how long it stays cold
	seenCold     bool      // was cold at the last check for changes
}

// coldLimits is what a fleet needs to divide the calls to cold targets among VMs.
type coldLimits struct {
	bounds ColdBounds
	table  *route.Table
	calls  map[string][]time.Time // within coldWindow, by target
}

// LimitCold sets the name of this VM and the bounds of the limit on calls to cold targets.
func (fleet *Fleet) LimitCold(vm string, bounds ColdBounds) {
	fleet.vms.name, fleet.cold.bounds = vm, ColdBounds{Overshoot: max(bounds.Overshoot, 1), Slack: max(bounds.Slack, 0)}
}

// SetTable sets the routing table, which holds the limits of services with cold targets.
func (fleet *Fleet) SetTable(table *route.Table) {
	fleet.cold.table = table
	clear(fleet.vms.ownRanks)
}

// MarkCold makes all targets of a failure domain count as cold for the WarmUp of their service, or until they say otherwise, as after the
// end of an evacuation.
func (fleet *Fleet) MarkCold(now time.Time, failureDomain string) {
	for _, endpoint := range fleet.endpoints {
		if endpoint.FailureDomain == failureDomain && !endpoint.Peer {
			endpoint.reported.assumedStart = now
		}
	}
}

// setCold records the time for which a target stays cold, from an answer.
func (state *reportedState) setCold(now time.Time, left time.Duration) {
	state.warmAt, state.fromAnswer, state.assumedStart = now.Add(min(left, maxColdDuration)), true, time.Time{}
}

// setEntry records what a target's entry says of its warm-up. A target without such a statement counts as cold from its start: from now
// if this VM has seen its restart, else from the time in its entry.
func (state *reportedState) setEntry(now time.Time, endpoint Endpoint, added, restarted bool) {
	if endpoint.WarmupKnown || endpoint.WarmupLeft > 0 {
		state.warmAt, state.fromAnswer, state.assumedStart = now.Add(endpoint.WarmupLeft), false, time.Time{}
		return
	}
	if !state.fromAnswer {
		state.warmAt = now
	}
	started := time.UnixMilli(endpoint.StartedUnixMilli)
	switch {
	case state.fromAnswer || !added:
	case restarted || endpoint.StartedUnixMilli > 0 && started.After(now):
		state.assumedStart = now
	case endpoint.StartedUnixMilli > 0 && started.After(state.assumedStart):
		state.assumedStart = started
	}
}

// coldLeft returns for how long a target of a service with a limit stays cold; 0 for all others.
func (fleet *Fleet) coldLeft(now time.Time, endpoint *trackedEndpoint) time.Duration {
	state := endpoint.reported
	if fleet.cold.table == nil || endpoint.Peer || !now.Before(state.warmAt) && state.assumedStart.IsZero() {
		return 0
	}
	service := fleet.cold.table.Service(endpoint.Service)
	if !(service.ColdCallsPerSecond > 0) {
		return 0
	}
	until := state.warmAt
	if assumed := state.assumedStart.Add(service.WarmUp); !state.assumedStart.IsZero() && assumed.After(until) {
		until = assumed
	}
	return max(until.Sub(now), 0)
}

// mayCallCold reports whether this VM may call an endpoint itself as far as a limit on calls to cold targets is concerned.
func (fleet *Fleet) mayCallCold(now time.Time, endpoint *trackedEndpoint) bool {
	if fleet.coldLeft(now, endpoint) == 0 {
		return true
	}
	if endpoint.FailureDomain != fleet.failureDomain || !fleet.mayUseShare(now) {
		return false
	}
	return len(fleet.recentColdCalls(now, endpoint.ID)) < fleet.coldShare(endpoint, fleet.ownRank(now, endpoint))
}

// recentColdCalls returns the times of this VM's calls to a cold target within coldWindow.
func (fleet *Fleet) recentColdCalls(now time.Time, id string) []time.Time {
	calls := fleet.cold.calls[id]
	for len(calls) > 0 && now.Sub(calls[0]) > coldWindow {
		calls = calls[1:]
	}
	if len(calls) == 0 {
		delete(fleet.cold.calls, id)
	} else {
		fleet.cold.calls[id] = calls
	}
	return calls
}

// recordColdCall counts a call to a target if it is cold.
func (fleet *Fleet) recordColdCall(now time.Time, endpoint *trackedEndpoint) {
	if endpoint.FailureDomain == fleet.failureDomain && fleet.coldLeft(now, endpoint) > 0 {
		fleet.cold.calls[endpoint.ID] = append(fleet.recentColdCalls(now, endpoint.ID), now)
	}
}

// coldShare returns the calls that a VM with a rank may send a cold target of its failure domain in each coldWindow. The calls are dealt one
// by one in the order of ranks, so that counting more VMs than there are never raises a share.
func (fleet *Fleet) coldShare(target *trackedEndpoint, rank rank) int {
	service := fleet.cold.table.Service(target.Service)
	total := int(math.Floor(coldLimitShare * (service.ColdCallsPerSecond*fleet.cold.bounds.Overshoot + fleet.cold.bounds.Slack)))
	if rank.position >= total || !rank.member {
		return 0
	}
	return (total - rank.position + rank.vms - 1) / rank.vms
}

// LimitedDomains returns the failure domains of a service's targets that can be called only through relays or by other VMs of this failure
// domain, because they are cold or name a limit. It returns none while this VM can call a target itself, except those in outOfReach.
func (fleet *Fleet) LimitedDomains(now time.Time, service string, outOfReach []string) []string {
	var domains []string
	for _, endpoint := range fleet.services[service] {
		if slices.Contains(outOfReach, endpoint.ID) || !fleet.callable(now, endpoint) {
			continue
		}
		if fleet.directlyCallable(now, endpoint) {
			return nil
		}
		if !slices.Contains(domains, endpoint.FailureDomain) {
			domains = append(domains, endpoint.FailureDomain)
		}
	}
	slices.SortFunc(domains, func(a, b string) int { // the own failure domain first, as calls there are cheapest
		return cmp.Or(cmp.Compare(domainOrder(a, fleet.failureDomain), domainOrder(b, fleet.failureDomain)), cmp.Compare(a, b))
	})
	return domains
}

func domainOrder(domain, own string) int {
	if domain == own {
		return 0
	}
	return 1
}

// VMsWithoutShare returns the names of the VMs of a failure domain that may call none of its targets of a service, as these are cold or name
// a limit.
func (fleet *Fleet) VMsWithoutShare(now time.Time, service, failureDomain string) []string {
	var names []string
	for _, vm := range fleet.vmsOf(now, failureDomain) {
		if !slices.ContainsFunc(fleet.services[service], func(endpoint *trackedEndpoint) bool {
			return endpoint.FailureDomain == failureDomain && fleet.usable(now, endpoint) && fleet.hasShare(now, endpoint, vm)
		}) {
			names = append(names, vm)
		}
	}
	return names
}

// hasShare reports whether a VM of a target's failure domain has a share of the calls that the target takes.
func (fleet *Fleet) hasShare(now time.Time, target *trackedEndpoint, vm string) bool {
	if fleet.coldLeft(now, target) > 0 && fleet.coldShare(target, fleet.rankAmong(now, target.ID, vm, fleet.vmsOf(now, target.FailureDomain))) == 0 {
		return false
	}
	limit := target.reported.limit
	return !limit.holds || limit.share(fleet.rankAmong(now, target.ID, vm, fleet.limitSharers(now, target))) > 0
}

// noteCold records changes between cold and warm for TakeStateChanges.
func (fleet *Fleet) noteCold(now time.Time) {
	if fleet.cold.table == nil {
		return
	}
	for _, endpoint := range fleet.endpoints {
		left := fleet.coldLeft(now, endpoint)
		if (left > 0) == endpoint.reported.seenCold {
			continue
		}
		if endpoint.reported.seenCold = left > 0; left > 0 {
			fleet.recordChange(endpoint.Endpoint, "cold", left)
		} else {
			fleet.recordChange(endpoint.Endpoint, "warm", 0)
		}
	}
}
