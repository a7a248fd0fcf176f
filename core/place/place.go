package place

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	warmupFactor     = 1.6                     // a target that is warming up takes this many times its usual latency, as the users specify it
	lapseGracePeriod = 2200 * time.Millisecond // a lapsed entry may reappear within this time after a store outage
)

// State says whether an endpoint accepts new calls.
type State string

// The states of endpoints.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Endpoint is what the store lists of a target, or of an entry VM that relays calls.
type Endpoint struct {
	ID               string
	Service          string
	Address          string
	FailureDomain    string
	Slots            int // calls that it processes at the same time without slowing down
	State            State
	WarmupLeft       time.Duration // remaining time for which it answers slowly after its start
	WarmupKnown      bool          // its entry states WarmupLeft, which may be 0
	StartedUnixMilli int64         // 0 if unknown
	Cores            float64       // processor cores of an entry VM; 0 if unknown
	Peer             bool          // an entry VM, which relays calls to targets of its failure domain
}

// trackedEndpoint is an endpoint with the state derived from calls to it.
type trackedEndpoint struct {
	Endpoint
	reported           *reportedState // what this incarnation has said of itself
	missingSince       time.Time      // when its entry lapsed or was missing from the list, if it may reappear; zero while it is listed
	slowness           slowness       // as this VM's calls and the observations of others show it
	sharedSlowness     slowness       // as the observations show it that this VM has shared or that all VMs of its failure domain have received
	lastOwnCall        time.Time      // end of the last call of this VM that showed a latency
	lastSlowCall       time.Time      // when slowness was last updated with a ratio of at least suspectSlowness
	attempts           []*Attempt
	paths              [2]pathState
	reach              map[string]*pathState // of an entry VM: failure domains whose targets it does not reach
	incapableUntil     [relayKinds]time.Time // of an entry VM, by RelayKind: its build cannot make such calls for others
	declinedAt         time.Time             // of an entry VM: when it last answered that it does not make a call; zero if its link has failed since
	deprioritizedUntil time.Time
	displaced          bool // another endpoint answers at its address
}

// Fleet is one VM's view of all endpoints.
type Fleet struct {
	failureDomain string
	cores         float64 // processor cores of this VM; 0 if unknown
	random        *rand.Rand
	endpoints     map[string]*trackedEndpoint
	services      map[string][]*trackedEndpoint
	relayServices []string // services of entry VMs, sorted
	groups        map[endpointGroup]*reachability
	lastResortAt  time.Time         // when an entry VM that declines calls was last asked, see lastResort
	regions       map[string]string // by failure domain; nil if unknown
	evacuated     map[string]bool   // by failure domain
	baselines     map[string]*Baseline
	observations  []Observation                  // not yet shared with other VMs
	departed      map[incarnation]*reportedState // of targets whose entry was removed or replaced
	maxDrainDelay time.Duration                  // a leaving target must get no more requests after this time
	hints         []string                       // targets whose leaving or pause is not yet shared with other VMs
	stateChanges  []StateChange                  // not yet taken
	vms           vmList
	cold          coldLimits
	connected     func(target string) bool // nil if no call needs a new connection
}

// New returns a fleet without endpoints for a VM with this failure domain and number of processor cores.
func New(failureDomain string, cores float64, random *rand.Rand) *Fleet {
	return &Fleet{failureDomain: failureDomain, cores: cores, random: random, endpoints: map[string]*trackedEndpoint{},
		services: map[string][]*trackedEndpoint{}, groups: map[endpointGroup]*reachability{}, baselines: map[string]*Baseline{},
		departed: map[incarnation]*reportedState{}, maxDrainDelay: defaultDrainDelay,
		vms:  vmList{members: map[string]time.Time{}, ownRanks: map[rankKey]ownRank{}},
		cold: coldLimits{bounds: ColdBounds{Overshoot: 1}, calls: map[string][]time.Time{}}}
}

// SetConnected sets the function that reports whether this VM has an idle connection to a target.
func (fleet *Fleet) SetConnected(connected func(target string) bool) { fleet.connected = connected }

// NeedsConnection reports whether a call of this VM to a target needs a new connection.
func (fleet *Fleet) NeedsConnection(target string) bool {
	return fleet.connected != nil && !fleet.connected(target)
}

// Update stores the newest entry of an endpoint and reports whether the change affects which endpoints can be called. An endpoint that
// was restarted or moved loses its call history. A target does not replace the VM of the same name.
func (fleet *Fleet) Update(now time.Time, endpoint Endpoint) bool {
	found, ok := fleet.endpoints[endpoint.ID]
	if ok && found.Peer && !endpoint.Peer {
		return false
	}
	restarted := ok && found.StartedUnixMilli != endpoint.StartedUnixMilli
	if ok && (found.Service != endpoint.Service || found.Address != endpoint.Address || found.StartedUnixMilli != endpoint.StartedUnixMilli) {
		fleet.remove(found)
		ok = false
	}
	if !ok {
		found = &trackedEndpoint{slowness: usualSlowness(), sharedSlowness: usualSlowness(), reported: fleet.takeState(endpoint)}
		fleet.endpoints[endpoint.ID] = found
		fleet.services[endpoint.Service] = append(fleet.services[endpoint.Service], found)
		if i, listed := slices.BinarySearch(fleet.relayServices, endpoint.Service); endpoint.Peer && !listed {
			fleet.relayServices = slices.Insert(fleet.relayServices, i, endpoint.Service)
		}
	}
	changed := !ok || found.State != endpoint.State || !found.missingSince.IsZero()
	found.Endpoint, found.missingSince = endpoint, time.Time{}
	found.reported.setEntry(now, endpoint, !ok, restarted)
	return changed
}

// Remove deletes a target and reports whether it was known.
func (fleet *Fleet) Remove(id string) bool {
	found, ok := fleet.endpoints[id]
	ok = ok && !found.Peer
	if ok {
		fleet.remove(found)
	}
	return ok
}

func (fleet *Fleet) remove(removed *trackedEndpoint) {
	delete(fleet.endpoints, removed.ID)
	fleet.keepState(removed)
	list := fleet.services[removed.Service]
	for i, endpoint := range list {
		if endpoint == removed {
			list[i] = list[len(list)-1]
			fleet.services[removed.Service] = list[:len(list)-1]
			break
		}
	}
	if len(fleet.services[removed.Service]) == 0 {
		delete(fleet.services, removed.Service)
		fleet.relayServices = slices.DeleteFunc(fleet.relayServices, func(service string) bool { return service == removed.Service })
	}
}

// ReplacePeers replaces all other entry VMs by a complete list.
func (fleet *Fleet) ReplacePeers(now time.Time, list []Endpoint) {
	fleet.setMembers(now, list)
	listed := map[string]bool{}
	for _, peer := range list {
		listed[peer.ID] = true
		fleet.Update(now, peer)
	}
	for id, endpoint := range fleet.endpoints {
		if endpoint.Peer && !listed[id] {
			fleet.remove(endpoint)
		}
	}
}

// ReplaceTargets replaces all targets by a complete list. Targets that are not on it are removed, or, if entries may have lapsed
// during an outage of the store, marked as missing until Expire removes them.
func (fleet *Fleet) ReplaceTargets(now time.Time, list []Endpoint, lapsed bool) {
	listed := map[string]bool{}
	for _, endpoint := range list {
		listed[endpoint.ID] = true
		fleet.Update(now, endpoint)
	}
	for id, endpoint := range fleet.endpoints {
		switch {
		case listed[id], endpoint.Peer:
		case !lapsed:
			fleet.remove(endpoint)
		case endpoint.missingSince.IsZero():
			endpoint.missingSince = now
		}
	}
}

// MarkLapsed marks a target whose entry lapsed during an outage of the store as missing, which starts its grace period.
func (fleet *Fleet) MarkLapsed(now time.Time, id string) {
	if found, ok := fleet.endpoints[id]; ok && !found.Peer && found.missingSince.IsZero() {
		found.missingSince = now
	}
}

// Expire removes endpoints whose lapsed entries did not reappear within the grace period and returns their ids.
func (fleet *Fleet) Expire(now time.Time) []string {
	fleet.forgetStates(now)
	fleet.noteCold(now)
	var expired []string
	for id, endpoint := range fleet.endpoints {
		if endpoint.graceExpired(now) {
			fleet.remove(endpoint)
			expired = append(expired, id)
		}
	}
	return expired
}

// graceExpired reports whether an endpoint's entry lapsed during an outage of the store and did not reappear within the grace period.
func (endpoint *trackedEndpoint) graceExpired(now time.Time) bool {
	return !endpoint.missingSince.IsZero() && now.Sub(endpoint.missingSince) > lapseGracePeriod
}

// Len returns the number of endpoints.
func (fleet *Fleet) Len() int { return len(fleet.endpoints) }

// Has reports whether an endpoint is known.
func (fleet *Fleet) Has(id string) bool { return fleet.endpoints[id] != nil }

// Endpoints returns the entries of all endpoints in no order.
func (fleet *Fleet) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(fleet.endpoints))
	for _, endpoint := range fleet.endpoints {
		list = append(list, endpoint.Endpoint)
	}
	return list
}

// ServiceOf returns the service of an endpoint, or "" if it is not known.
func (fleet *Fleet) ServiceOf(id string) string {
	if found, ok := fleet.endpoints[id]; ok {
		return found.Service
	}
	return ""
}

// Endpoint returns the entry of an endpoint and reports whether it is known.
func (fleet *Fleet) Endpoint(id string) (Endpoint, bool) {
	found, ok := fleet.endpoints[id]
	if !ok {
		return Endpoint{}, false
	}
	return found.Endpoint, true
}

// RandomIntN returns a random number in [0, count) from the fleet's generator.
func (fleet *Fleet) RandomIntN(count int) int { return fleet.random.IntN(count) }

// SetRegions sets the region of each failure domain.
func (fleet *Fleet) SetRegions(regions map[string]string) { fleet.regions = regions }

// OutsideRegions returns the ids of a service's endpoints in regions that are not allowed.
func (fleet *Fleet) OutsideRegions(service string, allows func(region string) bool) []string {
	var outside []string
	for _, endpoint := range fleet.services[service] {
		if !allows(fleet.regions[endpoint.FailureDomain]) {
			outside = append(outside, endpoint.ID)
		}
	}
	return outside
}

// FailureDomain returns the failure domain of this VM.
func (fleet *Fleet) FailureDomain() string { return fleet.failureDomain }
