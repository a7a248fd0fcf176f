package place

import (
	"math/rand/v2"
	"time"
)

const (
	coldFactor = 1.6                     // how much longer a server's calls take until it is warm; the users' pages
	restoreFor = 2200 * time.Millisecond // how long a lapsed entry may take to come back after an outage of the store: about two seconds
)

// State says whether a server takes new work.
type State string

// The states of servers.
const (
	Ready    State = "ready"
	Draining State = "draining"
)

// Endpoint is what a server says of itself.
type Endpoint struct {
	ID               string
	Service          string
	Address          string
	FailureDomain    string // failure domain
	Slots            int
	State            State
	WarmupLeft       time.Duration // how long it stays slow after its start
	StartedUnixMilli int64         // Unix milliseconds of its start; 0 for unknown
	Cores            float64       // of an entry VM's processor; 0 for unknown
	Peer             bool          // it is an entry VM, which relays calls to servers of its failure domain
}

// known is a server and what calls have shown of it.
type known struct {
	Endpoint
	warmAt    time.Time
	missing   time.Time // since when it is not listed, for entries that may come back
	slowness  float64   // how much longer its calls take than is typical of their route
	judged    time.Time // when a call last showed it
	flights   []*Attempt
	downTill  time.Time
	downSpan  time.Duration
	broken    int // connections that broke since its last answer
	fullTill  time.Time
	answered  time.Time
	displaced bool // another server answers at its address
}

// Fleet is one VM's view of all servers.
type Fleet struct {
	zone     string
	cores    float64 // of this VM's processor; 0 for unknown
	random   *rand.Rand
	servers  map[string]*known
	services map[string][]*known
	domains  map[string]*domain
	typical  map[string]*Baseline
	findings []Observation // that other VMs have not been told
}

// New returns a fleet without servers for a VM of a failure domain with some processor.
func New(zone string, cores float64, random *rand.Rand) *Fleet {
	return &Fleet{zone: zone, cores: cores, random: random, servers: map[string]*known{},
		services: map[string][]*known{}, domains: map[string]*domain{}, typical: map[string]*Baseline{}}
}

// Update takes a server's newest entry and reports whether it changes where calls may go.
func (fleet *Fleet) Update(now time.Time, server Endpoint) bool {
	found, ok := fleet.servers[server.ID]
	if ok && (found.Service != server.Service || found.Address != server.Address || found.StartedUnixMilli != server.StartedUnixMilli) {
		fleet.remove(found)
		ok = false
	}
	if !ok {
		found = &known{slowness: 1}
		fleet.servers[server.ID] = found
		fleet.services[server.Service] = append(fleet.services[server.Service], found)
	}
	changed := !ok || found.State != server.State || !found.missing.IsZero()
	found.Endpoint, found.missing = server, time.Time{}
	found.warmAt = now.Add(server.WarmupLeft)
	return changed
}

// Remove forgets a server whose entry is gone.
func (fleet *Fleet) Remove(id string) bool {
	found, ok := fleet.servers[id]
	if ok {
		fleet.remove(found)
	}
	return ok
}

func (fleet *Fleet) remove(gone *known) {
	delete(fleet.servers, gone.ID)
	list := fleet.services[gone.Service]
	for i, server := range list {
		if server == gone {
			list[i] = list[len(list)-1]
			fleet.services[gone.Service] = list[:len(list)-1]
			break
		}
	}
	if len(fleet.services[gone.Service]) == 0 {
		delete(fleet.services, gone.Service)
	}
}

// ReplacePeers takes the whole list of the other entry VMs.
func (fleet *Fleet) ReplacePeers(now time.Time, list []Endpoint) {
	listed := map[string]bool{}
	for _, peer := range list {
		listed[peer.ID] = true
		fleet.Update(now, peer)
	}
	for id, server := range fleet.servers {
		if server.Peer && !listed[id] {
			fleet.remove(server)
		}
	}
}

// ReplaceTargets takes a whole list of entries. Servers that it lacks are forgotten, or where the store was away and entries may
// have lapsed, kept until Expire finds them missing still.
func (fleet *Fleet) ReplaceTargets(now time.Time, list []Endpoint, lapsed bool) {
	listed := map[string]bool{}
	for _, server := range list {
		listed[server.ID] = true
		fleet.Update(now, server)
	}
	for id, server := range fleet.servers {
		switch {
		case listed[id], server.Peer:
		case !lapsed:
			fleet.remove(server)
		case server.missing.IsZero():
			server.missing = now
		}
	}
}

// MarkLapsed marks a server whose entry went while the store was away.
func (fleet *Fleet) MarkLapsed(now time.Time, id string) {
	if found, ok := fleet.servers[id]; ok && found.missing.IsZero() {
		found.missing = now
	}
}

// Expire forgets servers whose lapsed entries did not come back and returns their ids.
func (fleet *Fleet) Expire(now time.Time) []string {
	var gone []string
	for id, server := range fleet.servers {
		if server.lapsed(now) {
			fleet.remove(server)
			gone = append(gone, id)
		}
	}
	return gone
}

// lapsed reports whether a server's entry went while the store was away and did not come back.
func (server *known) lapsed(now time.Time) bool {
	return !server.missing.IsZero() && now.Sub(server.missing) > restoreFor
}

// Len returns the number of servers.
func (fleet *Fleet) Len() int { return len(fleet.servers) }

// Has reports whether a server is known.
func (fleet *Fleet) Has(id string) bool { return fleet.servers[id] != nil }

// Endpoints returns all entries.
func (fleet *Fleet) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(fleet.servers))
	for _, server := range fleet.servers {
		list = append(list, server.Endpoint)
	}
	return list
}

// ServiceOf returns the service of a server, "" for one that is not known.
func (fleet *Fleet) ServiceOf(id string) string {
	if found, ok := fleet.servers[id]; ok {
		return found.Service
	}
	return ""
}

// Endpoint returns a server's entry.
func (fleet *Fleet) Endpoint(id string) (Endpoint, bool) {
	found, ok := fleet.servers[id]
	if !ok {
		return Endpoint{}, false
	}
	return found.Endpoint, true
}

// RandomIntN returns a random number below count.
func (fleet *Fleet) RandomIntN(count int) int { return fleet.random.IntN(count) }

// FailureDomain returns the failure domain of this VM.
func (fleet *Fleet) FailureDomain() string { return fleet.zone }
