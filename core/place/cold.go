package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"poplarpin.dev/core/route"
)

const (
	coldWindow      = time.Second      // in which calls to a cold target are counted
	coldLimitShare  = 0.8              // of the limit that all VMs together use; the rest covers VMs with different lists of VMs
	listOldAfter    = 10 * time.Second // age from which the list of VMs may lack some
	oldListFactor   = 1.25             // on the number of VMs while the list may lack some
	newVMWait       = 15 * time.Second // until all others count a new VM: listOldAfter and the age of the stale lists that they read
	removedVMTTL    = 10 * time.Second // for which a VM that left the list still counts, as it may still send calls
	maxColdDuration = 5 * time.Minute
	coldShareTTL    = 200 * time.Millisecond // hashing the names of all VMs at each call would take too much of a small VM's processor
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
	vm          string // name of this VM
	bounds      ColdBounds
	table       *route.Table
	members     map[string]time.Time    // the other VMs of this failure domain; the time at which a VM left the list, zero while it is listed
	listedAt    time.Time               // of the newest list of VMs
	firstListed time.Time               // of the first list of VMs
	wasListed   bool                    // the list named this VM when it started, so that the others count it already
	calls       map[string][]time.Time  // within coldWindow, by target
	shares      map[string]ownColdShare // by target
}

// ownColdShare is a cached result of coldShare for this VM.
type ownColdShare struct {
	calls      int
	computedAt time.Time
}

// LimitCold sets the name of this VM and the bounds of the limit on calls to cold targets.
func (fleet *Fleet) LimitCold(vm string, bounds ColdBounds) {
	fleet.cold.vm, fleet.cold.bounds = vm, ColdBounds{Overshoot: max(bounds.Overshoot, 1), Slack: max(bounds.Slack, 0)}
}

// SetTable sets the routing table, which holds the limits of services with cold targets.
func (fleet *Fleet) SetTable(table *route.Table) {
	fleet.cold.table = table
	clear(fleet.cold.shares)
}

// MarkListed records that the first list of VMs names this VM: it restarted under an entry that the others count already.
func (fleet *Fleet) MarkListed() {
	if fleet.cold.firstListed.IsZero() {
		fleet.cold.wasListed = true
	}
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

// directlyCallable reports whether this VM may call an endpoint itself, not only through a relay.
func (fleet *Fleet) directlyCallable(now time.Time, endpoint *trackedEndpoint) bool {
	if !fleet.callable(now, endpoint) {
		return false
	}
	if fleet.coldLeft(now, endpoint) == 0 {
		return true
	}
	if endpoint.FailureDomain != fleet.failureDomain || !fleet.mayUseColdShare(now) {
		return false
	}
	return len(fleet.recentColdCalls(now, endpoint.ID)) < fleet.ownColdShare(now, endpoint)
}

// ownColdShare returns the calls that this VM may send a cold target in each coldWindow.
func (fleet *Fleet) ownColdShare(now time.Time, endpoint *trackedEndpoint) int {
	share, ok := fleet.cold.shares[endpoint.ID]
	if !ok || now.Sub(share.computedAt) > coldShareTTL {
		share = ownColdShare{fleet.coldShare(now, endpoint, fleet.cold.vm), now}
		fleet.cold.shares[endpoint.ID] = share
	}
	return share.calls
}

// mayUseColdShare reports whether the other VMs count this one in their lists. A VM that restarted waits for coldWindow, as it does not
// know its calls before the restart; a new VM until all others have read the list again or count their lists as old.
func (fleet *Fleet) mayUseColdShare(now time.Time) bool {
	if fleet.cold.firstListed.IsZero() {
		return false
	}
	wait := newVMWait
	if fleet.cold.wasListed {
		wait = coldWindow
	}
	return now.Sub(fleet.cold.firstListed) > wait
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

// coldShare returns the calls that a VM of a cold target's failure domain may send it in each coldWindow. The calls are dealt one by one to
// the VMs in the order of a hash of their name and the target's id, so that one VM more or less changes the position of the others by at
// most one. A VM whose list may lack some VMs deals to more of them, of which a part comes before it; this never raises its own share.
func (fleet *Fleet) coldShare(now time.Time, target *trackedEndpoint, vm string) int {
	service := fleet.cold.table.Service(target.Service)
	total := int(math.Floor(coldLimitShare * (service.ColdCallsPerSecond*fleet.cold.bounds.Overshoot + fleet.cold.bounds.Slack)))
	own := coldOrder(target.ID, vm)
	vms, position := 0, 0
	for _, name := range fleet.vmsOf(now, target.FailureDomain) {
		vms++
		if order := coldOrder(target.ID, name); order < own || order == own && name < vm {
			position++
		}
	}
	if now.Sub(fleet.cold.listedAt) > listOldAfter {
		vms, position = int(math.Ceil(float64(vms)*oldListFactor)), int(math.Ceil(float64(position)*oldListFactor))
	}
	if position >= total || vms == 0 {
		return 0
	}
	return (total - position + vms - 1) / vms
}

func coldOrder(target, vm string) uint64 { return xxhash.Sum64String(target + "/" + vm) }

// vmsOf returns the names of the VMs of a failure domain, in this one with those that have just left the list.
func (fleet *Fleet) vmsOf(now time.Time, failureDomain string) []string {
	if failureDomain == fleet.failureDomain {
		names := []string{fleet.cold.vm}
		for name, left := range fleet.cold.members {
			if left.IsZero() || now.Sub(left) < removedVMTTL {
				names = append(names, name)
			}
		}
		return names
	}
	var names []string
	for name, endpoint := range fleet.endpoints {
		if endpoint.Peer && endpoint.FailureDomain == failureDomain {
			names = append(names, name)
		}
	}
	return names
}

// setMembers updates the list of the VMs of this failure domain.
func (fleet *Fleet) setMembers(now time.Time, list []Endpoint) {
	fleet.cold.listedAt = now
	clear(fleet.cold.shares)
	if fleet.cold.firstListed.IsZero() {
		fleet.cold.firstListed = now
	}
	maps.DeleteFunc(fleet.cold.members, func(_ string, left time.Time) bool { return !left.IsZero() && now.Sub(left) >= removedVMTTL })
	for name, left := range fleet.cold.members {
		if left.IsZero() {
			fleet.cold.members[name] = now
		}
	}
	for _, peer := range list {
		if peer.FailureDomain == fleet.failureDomain {
			fleet.cold.members[peer.ID] = time.Time{}
		}
	}
}

// ColdDomains returns the failure domains of a service's targets that can be called only through relays or by other VMs of this failure
// domain, because they are cold. It returns none while this VM can call a target itself, except those in outOfReach.
func (fleet *Fleet) ColdDomains(now time.Time, service string, outOfReach []string) []string {
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

// VMsWithoutColdShare returns the names of the VMs of a failure domain that may not call its cold targets of a service.
func (fleet *Fleet) VMsWithoutColdShare(now time.Time, service, failureDomain string) []string {
	var names []string
	for _, vm := range fleet.vmsOf(now, failureDomain) {
		if !slices.ContainsFunc(fleet.services[service], func(endpoint *trackedEndpoint) bool {
			return endpoint.FailureDomain == failureDomain && fleet.callable(now, endpoint) && fleet.coldShare(now, endpoint, vm) > 0
		}) {
			names = append(names, vm)
		}
	}
	return names
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
