package place

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	cutOffAfter        = 400 * time.Millisecond // without any answer before a failure domain is cut off; pauses of one target are shorter
	suspectAfter       = 120 * time.Millisecond // without any answer before a failure domain is probed
	suspectProbes      = 2                      // endpoints probed at a time; that many failed probes show a failure domain to be cut off
	callCPUTime        = 120 * time.Microsecond // time of one core for one call to a target; see docs/CAPACITY.md
	offloadCoresFactor = 2.0                    // multiple of this VM's cores from which relaying through a peer is worth the extra hop
	similarCostFactor  = 1.7                    // cost ratio within which failure domains are equally good
	cutOffMinCalls     = 6                      // unanswered calls before a failure domain is cut off
)

// reachability tracks whether a failure domain answers.
type reachability struct {
	unansweredSince time.Time // time of the first call since its last answer; zero for none
	unansweredCalls int       // calls since its last answer
	failedProbes    int       // since its last answer
	probedAt        time.Time // of the last probes while it was suspected; zero for none
}

// reachabilityOf returns the reachability of a failure domain, which starts as reachable.
func (fleet *Fleet) reachabilityOf(name string) *reachability {
	found, ok := fleet.failureDomains[name]
	if !ok {
		found = &reachability{}
		fleet.failureDomains[name] = found
	}
	return found
}

// sent records a call to the failure domain.
func (reachability *reachability) sent(now time.Time) {
	if reachability.unansweredSince.IsZero() {
		reachability.unansweredSince = now
	}
	reachability.unansweredCalls++
}

// answered records an answer or a connection from the failure domain.
func (reachability *reachability) answered() {
	reachability.unansweredSince, reachability.unansweredCalls = time.Time{}, 0
	reachability.failedProbes, reachability.probedAt = 0, time.Time{}
}

// withdrawn takes back a call that was not sent.
func (reachability *reachability) withdrawn() {
	if reachability.unansweredCalls--; reachability.unansweredCalls <= 0 {
		reachability.answered()
	}
}

// cutOff reports whether the failure domain has left at least cutOffMinCalls calls unanswered, for at least cutOffAfter or so that probes
// have failed meanwhile.
func (reachability *reachability) cutOff(now time.Time) bool {
	return reachability.unanswered(now, cutOffAfter) || reachability.unanswered(now, suspectAfter) && reachability.failedProbes >= suspectProbes
}

// unanswered reports whether the failure domain has left at least cutOffMinCalls calls unanswered for a time.
func (reachability *reachability) unanswered(now time.Time, span time.Duration) bool {
	return reachability.unansweredCalls >= cutOffMinCalls && now.Sub(reachability.unansweredSince) >= span
}

// FailureDomainReached records that a connection to a failure domain was established.
func (fleet *Fleet) FailureDomainReached(name string) { fleet.reachabilityOf(name).answered() }

// Probe names an endpoint to connect to in a failure domain that seems or may be cut off.
type Probe struct {
	FailureDomain   string
	Address         string
	VM              bool // the endpoint is an entry VM, not a target
	unansweredSince time.Time
}

// Probes returns a random ready endpoint of each failure domain that seems cut off. Such a domain gets no calls, so that
// a probe must show whether it answers again.
func (fleet *Fleet) Probes(now time.Time) []Probe {
	var probes []Probe
	for _, name := range slices.Sorted(maps.Keys(fleet.failureDomains)) {
		if reachability := fleet.failureDomains[name]; reachability.cutOff(now) {
			probes = append(probes, fleet.probesOf(name, reachability, 1)...)
		}
	}
	return probes
}

// AwaitsAnswers reports whether a failure domain that is not cut off has left enough calls unanswered to become suspect.
func (fleet *Fleet) AwaitsAnswers(now time.Time) bool {
	for _, reachability := range fleet.failureDomains {
		if reachability.unanswered(now, 0) && !reachability.cutOff(now) {
			return true
		}
	}
	return false
}

// SuspectProbes returns random ready endpoints of each failure domain that has not answered for suspectAfter, once in each suspectAfter.
// While one answers slowly, they connect; while it is cut off, they show that sooner than further calls that fail.
func (fleet *Fleet) SuspectProbes(now time.Time) []Probe {
	var probes []Probe
	for name, reachability := range fleet.failureDomains {
		if reachability.unanswered(now, suspectAfter) && !reachability.cutOff(now) && now.Sub(reachability.probedAt) >= suspectAfter {
			reachability.probedAt = now
			probes = append(probes, fleet.probesOf(name, reachability, suspectProbes)...)
		}
	}
	return probes
}

// probesOf returns probes of up to count random endpoints of a failure domain. One without ready endpoints counts as answering.
func (fleet *Fleet) probesOf(name string, reachability *reachability, count int) []Probe {
	var probes []Probe
	for _, id := range slices.Sorted(maps.Keys(fleet.endpoints)) {
		if endpoint := fleet.endpoints[id]; endpoint.FailureDomain == name && endpoint.State == Ready && !fleet.isEvacuated(endpoint) {
			probes = append(probes, Probe{FailureDomain: name, Address: endpoint.Address, VM: endpoint.Peer, unansweredSince: reachability.unansweredSince})
		}
	}
	if len(probes) == 0 {
		reachability.answered()
		return nil
	}
	fleet.random.Shuffle(len(probes), func(i, j int) { probes[i], probes[j] = probes[j], probes[i] })
	return probes[:min(count, len(probes))]
}

// ProbeFailed records that an endpoint could not be connected to, unless its failure domain has answered since the probe was made.
func (fleet *Fleet) ProbeFailed(probe Probe) {
	if reachability := fleet.reachabilityOf(probe.FailureDomain); reachability.unansweredSince.Equal(probe.unansweredSince) {
		reachability.failedProbes++
	}
}

// CutOffDomains returns the number of failure domains that seem cut off.
func (fleet *Fleet) CutOffDomains(now time.Time) int {
	count := 0
	for _, reachability := range fleet.failureDomains {
		if reachability.cutOff(now) {
			count++
		}
	}
	return count
}

// Isolated reports whether every other failure domain with ready endpoints seems cut off, and there is at least one.
func (fleet *Fleet) Isolated(now time.Time) bool {
	cutOff := false
	for _, endpoint := range fleet.endpoints {
		if endpoint.FailureDomain == fleet.failureDomain || endpoint.State != Ready || fleet.isEvacuated(endpoint) {
			continue
		}
		if !fleet.reachabilityOf(endpoint.FailureDomain).cutOff(now) {
			return false
		}
		cutOff = true
	}
	return cutOff
}

// HasCoverage reports whether at least this share of the services, and at least one, have an endpoint that can be called.
func (fleet *Fleet) HasCoverage(now time.Time, services []string, minCoverage float64) bool {
	count := 0
	for _, service := range services {
		if slices.ContainsFunc(fleet.services[service], func(endpoint *trackedEndpoint) bool { return fleet.callable(now, endpoint) }) {
			count++
		}
	}
	return count > 0 && float64(count) >= minCoverage*float64(len(services))
}

// callable reports whether an endpoint may be called at all, however high its cost.
func (fleet *Fleet) callable(now time.Time, endpoint *trackedEndpoint) bool {
	return endpoint.State == Ready && !endpoint.displaced && !fleet.isEvacuated(endpoint) && !endpoint.graceExpired(now) &&
		!fleet.reachabilityOf(endpoint.FailureDomain).cutOff(now) && !now.Before(endpoint.reported.pausedUntil) && !fleet.left(now, endpoint.reported)
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
func (fleet *Fleet) CallsWithin(limit time.Duration) int {
	if fleet.cores <= 0 {
		return math.MaxInt
	}
	return int(float64(limit) * fleet.cores / float64(callCPUTime))
}

// ShouldOffload reports whether the calls would occupy all cores of this VM for longer than limit while the relay service has a
// callable peer with at least offloadCoresFactor times the cores that is not down.
func (fleet *Fleet) ShouldOffload(now time.Time, calls int, limit time.Duration, relayService string) bool {
	if fleet.cores <= 0 || time.Duration(float64(calls)*float64(callCPUTime)/fleet.cores) <= limit {
		return false
	}
	return slices.ContainsFunc(fleet.services[relayService], func(peer *trackedEndpoint) bool {
		return peer.Cores >= offloadCoresFactor*fleet.cores && fleet.callable(now, peer) && !now.Before(peer.downUntil)
	})
}

// BestFailureDomains returns the other failure domains whose endpoints of a service have about the lowest cost. If the best endpoint is
// in this VM's own failure domain, it returns none, since calls there need no relay, or with includeOwn only the own one.
func (fleet *Fleet) BestFailureDomains(now time.Time, service, route string, includeOwn bool) []string {
	return fleet.BestAllowedFailureDomains(now, service, route, includeOwn, func(string) bool { return true })
}

// BestAllowedFailureDomains is BestFailureDomains for a request that only some regions may get; the others do not count.
func (fleet *Fleet) BestAllowedFailureDomains(now time.Time, service, route string, includeOwn bool, allows func(region string) bool) []string {
	baseline := fleet.Baseline(route)
	best, bestCost := "", time.Duration(0)
	costs := map[string]time.Duration{}
	for _, endpoint := range fleet.services[service] {
		if !fleet.directlyCallable(now, endpoint) || now.Before(endpoint.downUntil) || !allows(fleet.regions[endpoint.FailureDomain]) {
			continue
		}
		cost := fleet.cost(now, endpoint, baseline)
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

// OnlyCallable returns the id of the one endpoint of a service in a failure domain that can be called; it reports false if there are
// none or several.
func (fleet *Fleet) OnlyCallable(now time.Time, service, failureDomain string) (id string, ok bool) {
	for _, endpoint := range fleet.services[service] {
		if endpoint.FailureDomain != failureDomain || !fleet.callable(now, endpoint) {
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
