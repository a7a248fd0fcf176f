package place

import (
	"cmp"
	"slices"
	"time"
)

// Path is a way on which calls of this VM reach an endpoint. Calls on one path say nothing about the other.
type Path int

// The paths to endpoints.
const (
	Direct  Path = iota // a connection of this VM
	Relayed             // a connection of another VM, to a target
)

// RelayKind is a kind of calls that an entry VM makes for another one.
type RelayKind int

// The kinds of relayed calls.
const (
	NamedCalls  RelayKind = iota // calls to targets that the other VM names
	MergedCalls                  // calls whose records are merged as the other VM's version of the route says
	relayKinds                   // number of kinds
)

const (
	maxRelayCandidates = 32                     // at most this many VMs of one failure domain are compared for one call
	incapableTime      = 10 * time.Second       // a VM whose build lacks a capability is left alone for this time
	minDownTime        = 300 * time.Millisecond // a path whose calls fail is left alone for this time at first
	maxDownTime        = 3 * time.Second        // a path whose calls fail is left alone for this time at most
	failuresLimit      = 3                      // a path is down after this many failures without an answer in between
	lastResortInterval = 100 * time.Millisecond // VMs that decline calls are asked this often if no other VM can be asked
)

// pathState is the state of an endpoint as the calls on one path show it.
type pathState struct {
	downUntil  time.Time
	downTime   time.Duration
	failures   int       // broken connections and invalid answers since its last answer
	lastAnswer time.Time // of the last answer or refusal, to whichever call
}

// markDown penalizes the path for a time that doubles with each consecutive failure, up to maxDownTime.
func (state *pathState) markDown(now time.Time) {
	if now.Before(state.downUntil) {
		return
	}
	state.downTime = min(max(minDownTime, 2*state.downTime), maxDownTime)
	state.downUntil = now.Add(state.downTime)
}

// recordFailure penalizes the path after several failures without an answer in between.
func (state *pathState) recordFailure(now time.Time) {
	if state.failures++; state.failures >= failuresLimit {
		state.markDown(now)
	}
}

// answered ends all penalties.
func (state *pathState) answered(now time.Time) { *state = pathState{lastAnswer: now} }

// down reports whether calls on a path to an endpoint fail.
func (endpoint *trackedEndpoint) down(now time.Time, path Path) bool {
	return now.Before(endpoint.paths[path].downUntil)
}

// Down reports whether this VM's own calls to an endpoint fail.
func (fleet *Fleet) Down(now time.Time, id string) bool {
	endpoint, ok := fleet.endpoints[id]
	return !ok || endpoint.down(now, Direct)
}

// usable reports whether an endpoint may get calls, on whichever path.
func (fleet *Fleet) usable(now time.Time, endpoint *trackedEndpoint) bool {
	return endpoint.State == Ready && !endpoint.displaced && !fleet.isEvacuated(endpoint) && !endpoint.graceExpired(now) &&
		!now.Before(endpoint.reported.pausedUntil) && !fleet.left(now, endpoint.reported)
}

// ChooseRelayed returns the target of a service that another VM should call for this one, and reports whether there is one: of the targets
// that this VM does not reach, the one with the lowest cost that is not excluded, out of reach or down for other VMs.
func (fleet *Fleet) ChooseRelayed(now time.Time, service, route string, exclude, outOfReach []string) (Endpoint, bool) {
	return fleet.choose(now, fleet.services[service], costs{fleet.Baseline(route), Relayed, fleet.failureDomain}, func(endpoint *trackedEndpoint) bool {
		return fleet.usable(now, endpoint) && !fleet.reaches(now, endpoint) && !endpoint.down(now, Relayed) && !endpoint.leaves() &&
			!slices.Contains(exclude, endpoint.ID) && !slices.Contains(outOfReach, endpoint.ID)
	})
}

// Reaches reports whether this VM's own calls reach an endpoint.
func (fleet *Fleet) Reaches(now time.Time, id string) bool {
	endpoint, ok := fleet.endpoints[id]
	return ok && fleet.reaches(now, endpoint)
}

// Callable returns the endpoint of a service with an id, and reports whether this VM may call it and reaches it.
func (fleet *Fleet) Callable(now time.Time, id, service string) (Endpoint, bool) {
	endpoint, ok := fleet.endpoints[id]
	if !ok || endpoint.Service != service || !fleet.directlyCallable(now, endpoint) || endpoint.down(now, Direct) {
		return Endpoint{}, false
	}
	return endpoint.Endpoint, true
}

func (fleet *Fleet) reaches(now time.Time, endpoint *trackedEndpoint) bool {
	return !endpoint.down(now, Direct) && !fleet.reachabilityOf(endpoint.group()).cutOff(now)
}

// ChooseRelay returns the entry VM that should make a call to a target of a failure domain for this VM, and reports whether there is one: the
// VM with the lowest cost that answers, can make calls of this kind, reaches that failure domain, is not excluded and is in a region that may
// get the request. VMs next to the target cost least, as only they need no further hop between failure domains.
func (fleet *Fleet) ChooseRelay(now time.Time, kind RelayKind, route, failureDomain string, exclude []string, allows func(region string) bool) (Endpoint, bool) {
	var candidates []*trackedEndpoint
	for _, service := range fleet.relayServices {
		vms := fleet.services[service]
		if len(vms) == 0 || !allows(fleet.regions[vms[0].FailureDomain]) {
			continue
		}
		first, left := fleet.random.IntN(len(vms)), maxRelayCandidates
		for i := range vms {
			if left == 0 {
				break
			}
			if vm := vms[(first+i)%len(vms)]; fleet.mayRelay(now, kind, vm, failureDomain) && !slices.Contains(exclude, vm.ID) {
				candidates = append(candidates, vm)
				left--
			}
		}
	}
	costs := costs{fleet.Baseline(route), Direct, failureDomain}
	chosen, ok := fleet.choose(now, candidates, costs, func(vm *trackedEndpoint) bool { return vm.overdue(now, Direct) <= 0 })
	if ok {
		return chosen, true
	}
	if chosen, ok = fleet.choose(now, candidates, costs, func(*trackedEndpoint) bool { return true }); ok {
		return chosen, true
	}
	return fleet.lastResort(now, kind, exclude, allows)
}

// lastResort returns the entry VM that declined a call the longest time ago, and reports whether one may be asked now: not more often than in each
// lastResortInterval, but for all parts of a request. Its own links may be back long before it is left alone no longer.
func (fleet *Fleet) lastResort(now time.Time, kind RelayKind, exclude []string, allows func(region string) bool) (Endpoint, bool) {
	if now.After(fleet.lastResortAt) && now.Sub(fleet.lastResortAt) < lastResortInterval {
		return Endpoint{}, false
	}
	var longest *trackedEndpoint
	for _, service := range fleet.relayServices {
		for _, vm := range fleet.services[service] {
			if !vm.declines(now) || now.Sub(vm.declinedAt) < lastResortInterval || longest != nil && !vm.declinedAt.Before(longest.declinedAt) {
				continue
			}
			if fleet.understandsCalls(now, kind, vm) && allows(fleet.regions[vm.FailureDomain]) && !slices.Contains(exclude, vm.ID) {
				longest = vm
			}
		}
	}
	if longest == nil {
		return Endpoint{}, false
	}
	return longest.Endpoint, true
}

// declines reports whether an entry VM is left alone as it has answered that it does not make calls.
func (endpoint *trackedEndpoint) declines(now time.Time) bool {
	if endpoint.declinedAt.IsZero() {
		return false
	}
	if endpoint.down(now, Direct) {
		return true
	}
	for _, state := range endpoint.reach {
		if now.Before(state.downUntil) {
			return true
		}
	}
	return false
}

// mayRelay reports whether an entry VM answers and, as far as is known, makes such calls to the targets of a failure domain for others.
func (fleet *Fleet) mayRelay(now time.Time, kind RelayKind, vm *trackedEndpoint, failureDomain string) bool {
	return fleet.understandsCalls(now, kind, vm) && !vm.down(now, Direct) && !vm.cutOffFrom(now, failureDomain)
}

// understandsCalls reports whether an entry VM is in reach and of a build that can make such calls for others, as far as is known.
func (fleet *Fleet) understandsCalls(now time.Time, kind RelayKind, vm *trackedEndpoint) bool {
	return fleet.callable(now, vm) && !now.Before(vm.incapableUntil[kind])
}

// RelayCapable records whether the build of an entry VM can make such calls for others, as its greeting says. One that cannot is asked again
// after a time, as it may have been replaced.
func (fleet *Fleet) RelayCapable(now time.Time, kind RelayKind, vm string, capable bool) {
	endpoint, ok := fleet.endpoints[vm]
	if !ok {
		return
	}
	endpoint.incapableUntil[kind] = time.Time{}
	if !capable {
		endpoint.incapableUntil[kind] = now.Add(incapableTime)
	}
}

// cutOffFrom reports whether an entry VM has lately said that it does not reach the targets of a failure domain.
func (endpoint *trackedEndpoint) cutOffFrom(now time.Time, failureDomain string) bool {
	state := endpoint.reach[failureDomain]
	return state != nil && now.Before(state.downUntil)
}

// RelayReached records whether an entry VM reaches the targets of a failure domain, as its answer to a relayed call shows.
func (fleet *Fleet) RelayReached(now time.Time, vm, failureDomain string, reached bool) {
	endpoint, ok := fleet.endpoints[vm]
	if !ok {
		return
	}
	if reached {
		delete(endpoint.reach, failureDomain)
		return
	}
	if endpoint.reach == nil {
		endpoint.reach = map[string]*pathState{}
	}
	state, ok := endpoint.reach[failureDomain]
	if !ok {
		state = &pathState{}
		endpoint.reach[failureDomain] = state
	}
	state.markDown(now)
	endpoint.declinedAt = now
}

// UnfitRelays returns the ids of the entry VMs of a failure domain that have lately said that they do not reach the targets there, or whose build
// cannot make calls of this kind.
func (fleet *Fleet) UnfitRelays(now time.Time, kind RelayKind, relayService, failureDomain string) []string {
	var ids []string
	for _, vm := range fleet.services[relayService] {
		if vm.cutOffFrom(now, failureDomain) || now.Before(vm.incapableUntil[kind]) {
			ids = append(ids, vm.ID)
		}
	}
	return ids
}

// CutOff reports whether the targets of a failure domain do not answer this VM.
func (fleet *Fleet) CutOff(now time.Time, failureDomain string) bool {
	return fleet.reachabilityOf(endpointGroup{failureDomain, false}).cutOff(now)
}

// Stranded reports whether no failure domain with ready targets answers this VM, and there is at least one.
func (fleet *Fleet) Stranded(now time.Time) bool {
	stranded := false
	for _, endpoint := range fleet.endpoints {
		if endpoint.Peer || endpoint.State != Ready || fleet.isEvacuated(endpoint) {
			continue
		}
		if !fleet.reachabilityOf(endpoint.group()).cutOff(now) {
			return false
		}
		stranded = true
	}
	return stranded
}

// Witnesses returns the addresses of up to count other targets of a target's failure domain, the most recent answers first. If this
// VM can connect to none of them, a connection that fails shows nothing about the target.
func (fleet *Fleet) Witnesses(now time.Time, id string, count int) []string {
	suspect, ok := fleet.endpoints[id]
	if !ok {
		return nil
	}
	var others []*trackedEndpoint
	for _, endpoint := range fleet.endpoints {
		if endpoint != suspect && endpoint.group() == suspect.group() && fleet.usable(now, endpoint) {
			others = append(others, endpoint)
		}
	}
	slices.SortFunc(others, func(a, b *trackedEndpoint) int {
		return cmp.Or(b.paths[Direct].lastAnswer.Compare(a.paths[Direct].lastAnswer), cmp.Compare(a.ID, b.ID))
	})
	var addresses []string
	for _, endpoint := range others[:min(count, len(others))] {
		addresses = append(addresses, endpoint.Address)
	}
	return addresses
}
