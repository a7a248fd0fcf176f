package place

import (
	"maps"
	"slices"
	"time"
)

const (
	silentFor      = 400 * time.Millisecond // without any answer from a failure domain, after which it counts as cut off; pauses of a server are shorter
	callCost       = 120 * time.Microsecond // of a whole core, for one call to a server; docs/CAPACITY.md
	strongerFactor = 2.0                    // times this VM's processor, from which another one's is worth a hop
	alikeFactor    = 1.7                    // costs within which servers of two failure domains are alike
	silentSends    = 6                      // calls that must have been sent there meanwhile
)

// domain is what calls have shown of the way to a failure domain.
type domain struct {
	waiting time.Time // since when calls to it have had no answer; zero for none
	sends   int       // calls since then
}

func (fleet *Fleet) domain(name string) *domain {
	found, ok := fleet.domains[name]
	if !ok {
		found = &domain{}
		fleet.domains[name] = found
	}
	return found
}

// sent counts a call to the failure domain.
func (domain *domain) sent(now time.Time) {
	if domain.waiting.IsZero() {
		domain.waiting = now
	}
	domain.sends++
}

// answered records that the failure domain was reached.
func (domain *domain) answered() { domain.waiting, domain.sends = time.Time{}, 0 }

func (domain *domain) cut(now time.Time) bool {
	return domain.sends >= silentSends && now.Sub(domain.waiting) >= silentFor
}

// FailureDomainReached records that a connection to a failure domain came about.
func (fleet *Fleet) FailureDomainReached(name string) { fleet.domain(name).answered() }

// Probe is a server by which a failure domain that seems cut off can be tried.
type Probe struct {
	FailureDomain string
	Address       string
}

// Probes returns one server of each failure domain that seems cut off.
func (fleet *Fleet) Probes(now time.Time) []Probe {
	var probes []Probe
	for _, name := range slices.Sorted(maps.Keys(fleet.domains)) {
		domain := fleet.domains[name]
		if !domain.cut(now) {
			continue
		}
		var addresses []string
		for _, id := range slices.Sorted(maps.Keys(fleet.servers)) {
			if server := fleet.servers[id]; server.FailureDomain == name && server.State == Ready {
				addresses = append(addresses, server.Address)
			}
		}
		if len(addresses) == 0 {
			domain.answered() // nothing there to be reached
			continue
		}
		probes = append(probes, Probe{FailureDomain: name, Address: addresses[fleet.random.IntN(len(addresses))]})
	}
	return probes
}

// Isolated reports whether every other failure domain that has servers seems cut off.
func (fleet *Fleet) Isolated(now time.Time) bool {
	cut := false
	for _, server := range fleet.servers {
		if server.FailureDomain == fleet.zone || server.State != Ready {
			continue
		}
		if !fleet.domain(server.FailureDomain).cut(now) {
			return false
		}
		cut = true
	}
	return cut
}

// HasCoverage reports whether at least a share of some services have a server that can be called.
func (fleet *Fleet) HasCoverage(now time.Time, services []string, least float64) bool {
	count := 0
	for _, service := range services {
		if slices.ContainsFunc(fleet.services[service], func(server *known) bool { return fleet.callable(now, server) }) {
			count++
		}
	}
	return count > 0 && float64(count) >= least*float64(len(services))
}

// callable reports whether calls may go to a server at all.
func (fleet *Fleet) callable(now time.Time, server *known) bool {
	return server.State == Ready && !server.displaced && !server.lapsed(now) && !fleet.domain(server.FailureDomain).cut(now)
}

// ShouldOffload reports whether making some calls itself would take this VM longer than a span, though a VM of its failure
// domain has at least twice the processor, and is in the service under which the fleet knows these VMs.
func (fleet *Fleet) ShouldOffload(now time.Time, calls int, span time.Duration, relays string) bool {
	if fleet.cores <= 0 || time.Duration(float64(calls)*float64(callCost)/fleet.cores) <= span {
		return false
	}
	return slices.ContainsFunc(fleet.services[relays], func(peer *known) bool {
		return peer.Cores >= strongerFactor*fleet.cores && fleet.callable(now, peer) && !now.Before(peer.downTill)
	})
}

// BestFailureDomains returns the failure domains with a good server of a service. Where the best is in this VM's own it returns none,
// or if own is set, that.
func (fleet *Fleet) BestFailureDomains(now time.Time, service, route string, own bool) []string {
	typical := fleet.Baseline(route)
	best, bestCost := "", time.Duration(0)
	costs := map[string]time.Duration{}
	for _, server := range fleet.services[service] {
		if !fleet.callable(now, server) || now.Before(server.downTill) {
			continue
		}
		cost := fleet.cost(now, server, typical)
		if best == "" || cost < bestCost {
			best, bestCost = server.FailureDomain, cost
		}
		if before, ok := costs[server.FailureDomain]; !ok || cost < before {
			costs[server.FailureDomain] = cost
		}
	}
	if best == fleet.zone {
		if own {
			return []string{best}
		}
		return nil
	}
	var domains []string
	for domain, cost := range costs {
		if domain != fleet.zone && float64(cost) <= alikeFactor*float64(bestCost) {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// EndpointIDs returns the ids of a service's servers in a failure domain.
func (fleet *Fleet) EndpointIDs(service, domain string) []string {
	var ids []string
	for _, server := range fleet.services[service] {
		if server.FailureDomain == domain {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// ChooseLocal returns the server of this VM's own failure domain that a call is best sent to, and reports whether there is one.
func (fleet *Fleet) ChooseLocal(now time.Time, service, route string) (Endpoint, bool) {
	var elsewhere []string
	for _, server := range fleet.services[service] {
		if server.FailureDomain != fleet.zone {
			elsewhere = append(elsewhere, server.ID)
		}
	}
	return fleet.Choose(now, service, route, elsewhere)
}
