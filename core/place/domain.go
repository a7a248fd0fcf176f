package place

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	cutOffAfter        = 400 * time.Millisecond // a failure domain is cut off after this time without any answer; pauses of one target are shorter
	suspectAfter       = 120 * time.Millisecond // a failure domain is probed after this time without any answer
	suspectProbes      = 2                      // this many endpoints are probed at a time; a failure domain is cut off if all these probes fail
	callCPUTime        = 120 * time.Microsecond // a call to a target takes this time of one core; see docs/CAPACITY.md
	offloadCoresFactor = 2.0                    // relaying through a peer is worth the extra hop if it has this many times this VM's cores
	similarCostFactor  = 1.7                    // failure domains are equally good if their costs differ by this factor at most
	cutOffMinCalls     = 6                      // a failure domain is cut off only after this many unanswered calls
)

// MinCutOffTime is about the shortest time in which a failure domain is found to be cut off: probes are made after suspectAfter and fail after
// about the same time.
const MinCutOffTime = 2 * suspectAfter

// endpointGroup names the endpoints of a failure domain that this VM reaches on one path: its targets or its entry VMs.
type endpointGroup struct {
	failureDomain string
	vms           bool
}

// other returns the other group of the failure domain.
func (group endpointGroup) other() endpointGroup {
	return endpointGroup{group.failureDomain, !group.vms}
}

// group returns the group of an endpoint.
func (endpoint Endpoint) group() endpointGroup {
	return endpointGroup{endpoint.FailureDomain, endpoint.Peer}
}

// reachability tracks whether a group answers.
type reachability struct {
	unansweredSince time.Time // time of the first call since its last answer; zero for none
	suspectSince    time.Time // time of the call with which cutOffMinCalls were unanswered
	unansweredCalls int       // calls since its last answer
	answers         int       // answers and connections so far
	failedProbes    int       // since its last answer
	probedAt        time.Time // of the last probes while it was suspected; zero for none
}

// reachabilityOf returns the reachability of a group; a new group is reachable.
func (fleet *Fleet) reachabilityOf(group endpointGroup) *reachability {
	found, ok := fleet.groups[group]
	if !ok {
		found = &reachability{}
		fleet.groups[group] = found
	}
	return found
}

// sent records a call to the group.
func (reachability *reachability) sent(now time.Time) {
	if reachability.unansweredSince.IsZero() {
		reachability.unansweredSince = now
	}
	reachability.unansweredCalls++
	if reachability.unansweredCalls == cutOffMinCalls {
		reachability.suspectSince = now
	}
}

// answered records an answer or a connection from the group.
func (reachability *reachability) answered() {
	reachability.unansweredSince, reachability.unansweredCalls = time.Time{}, 0
	reachability.failedProbes, reachability.probedAt = 0, time.Time{}
	reachability.answers++
}

// withdrawn takes back a call that was not sent.
func (reachability *reachability) withdrawn() {
	if reachability.unansweredCalls--; reachability.unansweredCalls <= 0 {
		reachability.answered()
	}
}

// cutOff reports whether the group has been silent for cutOffAfter since cutOffMinCalls calls were unanswered, or probes have failed since its last
// answer. The time of the first of these calls would not do, as the callers of earlier ones may have left long ago.
func (reachability *reachability) cutOff(now time.Time) bool {
	return reachability.mayBeCutOff() && now.Sub(reachability.suspectSince) >= cutOffAfter || reachability.failedProbes >= suspectProbes
}

// unanswered reports whether the group has left at least cutOffMinCalls calls unanswered, the first of them for a time.
func (reachability *reachability) unanswered(now time.Time, span time.Duration) bool {
	return reachability.mayBeCutOff() && now.Sub(reachability.unansweredSince) >= span
}

// Reached records that a connection to a probed endpoint was established.
func (fleet *Fleet) Reached(probe Probe) { fleet.reachabilityOf(probe.group).answered() }

// Probe names an endpoint to connect to in a group that seems or may be cut off.
type Probe struct {
	FailureDomain string
	Address       string
	group         endpointGroup
	answers       int // of the group before the probe
}

// VM reports whether the endpoint is an entry VM, not a target.
func (probe Probe) VM() bool { return probe.group.vms }

// Probes returns a random ready endpoint of each group that seems cut off. Such a group gets no calls, so that a probe must show whether it
// answers again.
func (fleet *Fleet) Probes(now time.Time) []Probe {
	var probes []Probe
	for _, group := range fleet.sortedGroups() {
		if fleet.groups[group].cutOff(now) {
			probes = append(probes, fleet.probesOf(group, 1)...)
		}
	}
	return probes
}

func (fleet *Fleet) sortedGroups() []endpointGroup {
	return slices.SortedFunc(maps.Keys(fleet.groups), func(a, b endpointGroup) int {
		if !a.vms && b.vms {
			return cmp.Or(cmp.Compare(a.failureDomain, b.failureDomain), -1)
		}
		return cmp.Or(cmp.Compare(a.failureDomain, b.failureDomain), 1)
	})
}

// mayBeCutOff reports whether the group has left enough calls unanswered to be cut off after some time.
func (reachability *reachability) mayBeCutOff() bool {
	return reachability.unansweredCalls >= cutOffMinCalls
}

// MayBeCutOff reports whether a group has left enough calls unanswered to be cut off after some time.
func (fleet *Fleet) MayBeCutOff() bool {
	for _, reachability := range fleet.groups {
		if reachability.mayBeCutOff() {
			return true
		}
	}
	return false
}

// AwaitsAnswers reports whether a group that is not cut off has left enough calls unanswered to become suspect.
func (fleet *Fleet) AwaitsAnswers(now time.Time) bool {
	for _, reachability := range fleet.groups {
		if reachability.unanswered(now, 0) && !reachability.cutOff(now) {
			return true
		}
	}
	return false
}

// SuspectProbes returns random ready endpoints of each group that has not answered for suspectAfter, and of the other group of its failure
// domain, once in each suspectAfter. While a group answers slowly, they connect; while it is cut off, they show that sooner than further
// calls that fail.
func (fleet *Fleet) SuspectProbes(now time.Time) []Probe {
	var probes []Probe
	for _, suspect := range fleet.sortedGroups() {
		reachability := fleet.groups[suspect]
		if !reachability.unanswered(now, suspectAfter) || reachability.cutOff(now) || now.Sub(reachability.probedAt) < suspectAfter {
			continue
		}
		reachability.probedAt = now
		probes = append(probes, fleet.probesOf(suspect, suspectProbes)...)
		if other := fleet.reachabilityOf(suspect.other()); !other.cutOff(now) {
			probes = append(probes, fleet.probesOf(suspect.other(), suspectProbes)...)
		}
	}
	return probes
}

// probesOf returns probes of random endpoints of a group, several of the same one if it has fewer than count. A group without ready endpoints
// counts as answering.
func (fleet *Fleet) probesOf(probed endpointGroup, count int) []Probe {
	reachability := fleet.reachabilityOf(probed)
	var probes []Probe
	for _, id := range slices.Sorted(maps.Keys(fleet.endpoints)) {
		if endpoint := fleet.endpoints[id]; endpoint.group() == probed && endpoint.State == Ready && !fleet.isEvacuated(endpoint) {
			probes = append(probes, Probe{FailureDomain: probed.failureDomain, Address: endpoint.Address, group: probed, answers: reachability.answers})
		}
	}
	if len(probes) == 0 {
		reachability.answered()
		return nil
	}
	fleet.random.Shuffle(len(probes), func(i, j int) { probes[i], probes[j] = probes[j], probes[i] })
	for i := 0; len(probes) < count; i++ {
		probes = append(probes, probes[i])
	}
	return probes[:count]
}

// ProbeFailed records that an endpoint could not be connected to, unless its group has answered since the probe was made.
func (fleet *Fleet) ProbeFailed(probe Probe) {
	if reachability := fleet.reachabilityOf(probe.group); reachability.answers == probe.answers {
		reachability.failedProbes++
	}
}

// CutOffDomains returns how many failure domains seem cut off from this VM, counted by their targets and by their other VMs.
func (fleet *Fleet) CutOffDomains(now time.Time) (targets, vms int) {
	for group, reachability := range fleet.groups {
		switch {
		case !reachability.cutOff(now):
		case group.vms:
			vms++
		default:
			targets++
		}
	}
	return targets, vms
}

// Isolated reports whether the targets and the VMs of every other failure domain with ready endpoints seem cut off, and there is at least one.
func (fleet *Fleet) Isolated(now time.Time) bool {
	cutOff := false
	for _, endpoint := range fleet.endpoints {
		if endpoint.FailureDomain == fleet.failureDomain || endpoint.State != Ready || fleet.isEvacuated(endpoint) {
			continue
		}
		if !fleet.reachabilityOf(endpoint.group()).cutOff(now) {
			return false
		}
		cutOff = true
	}
	return cutOff
}

// HasCoverage reports whether at least this share of the services, and at least one, have a target that this VM can call, or another VM
// next to the target that can make calls of this kind.
func (fleet *Fleet) HasCoverage(now time.Time, kind RelayKind, services []string, minCoverage float64) bool {
	relayed := fleet.relayedDomains(now, kind)
	count := 0
	for _, service := range services {
		if slices.ContainsFunc(fleet.services[service], func(endpoint *trackedEndpoint) bool {
			return fleet.callable(now, endpoint) || relayed[endpoint.FailureDomain] && fleet.usable(now, endpoint)
		}) {
			count++
		}
	}
	return count > 0 && float64(count) >= minCoverage*float64(len(services))
}

// relayedDomains returns the failure domains with an entry VM that may make such calls to targets there for this VM.
func (fleet *Fleet) relayedDomains(now time.Time, kind RelayKind) map[string]bool {
	relayed := map[string]bool{}
	for _, service := range fleet.relayServices {
		for _, vm := range fleet.services[service] {
			if fleet.mayRelay(now, kind, vm, vm.FailureDomain) {
				relayed[vm.FailureDomain] = true
				break
			}
		}
	}
	return relayed
}

// callable reports whether this VM may connect to an endpoint, however high its cost.
func (fleet *Fleet) callable(now time.Time, endpoint *trackedEndpoint) bool {
	return fleet.usable(now, endpoint) && !fleet.reachabilityOf(endpoint.group()).cutOff(now)
}

// directlyCallable reports whether this VM may call an endpoint itself, not only through a relay.
func (fleet *Fleet) directlyCallable(now time.Time, endpoint *trackedEndpoint) bool {
	return fleet.callable(now, endpoint) && fleet.mayCallCold(now, endpoint) && fleet.mayCallLimited(now, endpoint)
}

// VMsForCalls returns how many VMs with this number of cores can make some calls so that none of them is busy for longer than limit. It
// returns 1 if the number of cores is unknown.
func VMsForCalls(calls int, cores float64, limit time.Duration) int {
	if cores <= 0 {
		return 1
	}
	return max(int(math.Ceil(float64(calls)*float64(callCPUTime)/(cores*float64(limit)))), 1)
}

// CallsWithin returns how many calls this VM's processor can make within a time.
func (fleet *Fleet) CallsWithin(limit time.Duration) int { return CallsWithin(limit, fleet.cores) }

// CallsWithin returns how many calls a number of cores can make within a time; 0 cores stand for an unknown number.
func CallsWithin(limit time.Duration, cores float64) int {
	if cores <= 0 {
		return math.MaxInt
	}
	return int(float64(limit) * cores / float64(callCPUTime))
}

// ShouldOffload reports whether the calls would occupy all cores of this VM for longer than limit while the relay service has a
// callable peer with at least offloadCoresFactor times the cores that is not down.
func (fleet *Fleet) ShouldOffload(now time.Time, calls int, limit time.Duration, relayService string) bool {
	if fleet.cores <= 0 || time.Duration(float64(calls)*float64(callCPUTime)/fleet.cores) <= limit {
		return false
	}
	return fleet.hasLarger(now, relayService)
}

// HasLargerRelay reports whether there is an entry VM with at least offloadCoresFactor times the cores of this one that may relay calls.
func (fleet *Fleet) HasLargerRelay(now time.Time) bool {
	return slices.ContainsFunc(fleet.relayServices, func(service string) bool { return fleet.hasLarger(now, service) })
}

// hasLarger reports whether a relay service has a callable peer with at least offloadCoresFactor times the cores of this VM that is not down.
func (fleet *Fleet) hasLarger(now time.Time, relayService string) bool {
	return slices.ContainsFunc(fleet.services[relayService], func(peer *trackedEndpoint) bool {
		return fleet.IsLarger(peer.Endpoint) && fleet.callable(now, peer) && !peer.down(now, Direct)
	})
}

// IsLarger reports whether an entry VM has at least offloadCoresFactor times the cores of this one.
func (fleet *Fleet) IsLarger(vm Endpoint) bool {
	return fleet.cores > 0 && vm.Cores >= offloadCoresFactor*fleet.cores
}

// BestFailureDomains returns the other failure domains whose endpoints of a service have about the lowest cost. If the best endpoint is
// in this VM's own failure domain, it returns none, since calls there need no relay, or with includeOwn only the own one.
func (fleet *Fleet) BestFailureDomains(now time.Time, service, route string, includeOwn bool) []string {
	return fleet.BestAllowedFailureDomains(now, service, route, includeOwn, func(string) bool { return true })
}

// BestAllowedFailureDomains is BestFailureDomains for a request that only some regions may get; the others do not count.
func (fleet *Fleet) BestAllowedFailureDomains(now time.Time, service, route string, includeOwn bool, allows func(region string) bool) []string {
	ownCosts := fleet.ownCosts(route)
	best, bestCost := "", time.Duration(0)
	costs := map[string]time.Duration{}
	for _, endpoint := range fleet.services[service] {
		if !fleet.directlyCallable(now, endpoint) || endpoint.down(now, Direct) || !allows(fleet.regions[endpoint.FailureDomain]) {
			continue
		}
		cost := ownCosts.of(now, endpoint)
		if best == "" || cost < bestCost {
			best, bestCost = endpoint.FailureDomain, cost
		}
		if before, ok := costs[endpoint.FailureDomain]; !ok || cost < before {
			costs[endpoint.FailureDomain] = cost
		}
	}
	if best == fleet.failureDomain {
		if includeOwn {
			return []string{best}
		}
		return nil
	}
	var failureDomains []string
	for failureDomain, cost := range costs {
		if failureDomain != fleet.failureDomain && float64(cost) <= similarCostFactor*float64(bestCost) {
			failureDomains = append(failureDomains, failureDomain)
		}
	}
	slices.Sort(failureDomains)
	return failureDomains
}

// EndpointIDs returns the ids of a service's endpoints in a failure domain.
func (fleet *Fleet) EndpointIDs(service, failureDomain string) []string {
	var ids []string
	for _, endpoint := range fleet.services[service] {
		if endpoint.FailureDomain == failureDomain {
			ids = append(ids, endpoint.ID)
		}
	}
	return ids
}

// OnlyUsable returns the id of the one endpoint of a service in a failure domain that a relay there can call; it reports false if there are
// none or several.
func (fleet *Fleet) OnlyUsable(now time.Time, service, failureDomain string) (id string, ok bool) {
	for _, endpoint := range fleet.services[service] {
		if endpoint.FailureDomain != failureDomain || !fleet.usable(now, endpoint) {
			continue
		}
		if ok {
			return "", false
		}
		id, ok = endpoint.ID, true
	}
	return id, ok
}

// ChooseLocal returns the endpoint of a service with the lowest cost in this VM's own failure domain, and reports whether there is one.
func (fleet *Fleet) ChooseLocal(now time.Time, service, route string) (Endpoint, bool) {
	var remote []string
	for _, endpoint := range fleet.services[service] {
		if endpoint.FailureDomain != fleet.failureDomain {
			remote = append(remote, endpoint.ID)
		}
	}
	return fleet.Choose(now, service, route, remote)
}
