package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	sourceTimeout     = 1200 * time.Millisecond // a source is left after this time without a message that says that it has the store: three heartbeats
	firstMessageGrace = 500 * time.Millisecond  // a new source may take this time for its first message before the VM watches the store as well
	// For the first message after a restart: until then the VM refuses the requests of clients that know it. A source that runs answers
	// within some round trips, and each VM that reads the store itself costs it two calls.
	restartGrace = 100 * time.Millisecond
	// With one tick more this is two thirds of the 3 s in which a change must be in force.
	noUpdateTimeout   = 1600 * time.Millisecond // the VM watches the store after this time without any update, even with a new source
	minAvoid          = 4 * time.Second         // a failed source is tried again after this time at first
	avoidWithoutStore = 2 * time.Second         // a source without the store is asked again after this time, at the cost of a message
	maxAvoid          = 8 * time.Second         // a failed source is tried again after this time at the latest, as a VM without a source watches the store
	storeFailureGrace = 500 * time.Millisecond  // a source of lower rank or of another failure domain is sought after the VM's store calls have failed for this time
)

// Peer is an entry VM.
type Peer struct {
	Name          string
	FailureDomain string
	Cores         float64 // processor cores; 0 if unknown
}

// Plan says where a VM gets store updates from.
type Plan struct {
	WatchStore bool   // watch the store itself
	Source     string // peer that sends store updates; empty for none
	Candidate  string // better source that is asked whether it has the store, while updates of Source arrive; empty for none
}

// Follower selects the source for one VM. In each failure domain the VM with the most processor cores watches the store and the others
// get updates from it; a VM that finds no higher-ranked peer with the store watches it too. A VM has the store if it watches it and its
// store calls succeed. Updates carry revisions, so that two sources at a time are harmless.
type Follower struct {
	self              Peer
	higherRanked      []string // peers of the failure domain that should watch the store rather than this VM, best first
	lowerRanked       []string // the other peers of the failure domain
	remote            []string // peers of other failure domains
	plan              Plan
	sourceSince       time.Time // when the source was selected
	candidateSince    time.Time // when the candidate was selected
	lastMessage       time.Time // last message of a source that has the store; zero for none
	lastUpdate        time.Time // when such a message last arrived or this VM last watched the store
	awaitsFirst       bool      // the VM was restarted, and neither a source that has the store nor the store has answered since
	avoidedUntil      map[string]time.Time
	avoidSpans        map[string]time.Duration // by source, how long it was avoided last
	storeFailingSince time.Time                // zero while store calls succeed
}

// New returns a Follower that watches the store until it knows of peers.
func New(self Peer) *Follower {
	return &Follower{self: self, avoidedUntil: map[string]time.Time{}, avoidSpans: map[string]time.Duration{}}
}

// Restarted records, before the first Tick, that this VM has run before: clients know it, and other VMs may have started with it.
func (follower *Follower) Restarted() { follower.awaitsFirst = true }

// compareRank orders VMs by precedence for watching the store: more cores first, since the others rely on that VM, then by hash.
func compareRank(a, b Peer) int {
	if order := cmp.Compare(b.Cores, a.Cores); order != 0 {
		return order
	}
	return cmp.Compare(hashRank(a), hashRank(b))
}

// hashRank breaks ties between VMs with the same number of cores in the same way on every VM.
func hashRank(peer Peer) uint64 { return xxhash.Sum64String(peer.FailureDomain + "/" + peer.Name) }

// SetPeers replaces the list of entry VMs, which may contain this VM.
func (follower *Follower) SetPeers(peers []Peer) {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, compareRank)
	follower.higherRanked, follower.lowerRanked, follower.remote = nil, nil, nil
	for _, peer := range sorted {
		switch {
		case peer.Name == follower.self.Name:
		case peer.FailureDomain != follower.self.FailureDomain:
			follower.remote = append(follower.remote, peer.Name)
		case compareRank(peer, follower.self) < 0:
			follower.higherRanked = append(follower.higherRanked, peer.Name)
		default:
			follower.lowerRanked = append(follower.lowerRanked, peer.Name)
		}
	}
}

// HeardFrom records a message of a peer that says whether the peer has the store. Messages of peers other than the source and the candidate
// are ignored. A candidate that has the store becomes the source.
func (follower *Follower) HeardFrom(now time.Time, source string, storeReachable bool) {
	switch {
	case source == follower.plan.Source:
	case source != follower.plan.Candidate:
		return
	case storeReachable:
		follower.plan.Source, follower.plan.Candidate, follower.sourceSince = source, "", now
	default:
		follower.avoidFor(now, source, avoidWithoutStore)
		return
	}
	if storeReachable {
		follower.lastMessage, follower.lastUpdate, follower.awaitsFirst = now, now, false
		delete(follower.avoidSpans, source)
	} else if !follower.lastMessage.IsZero() || now.Sub(follower.sourceSince) > sourceTimeout {
		// A new source may still be taking over the watch of the store. If this VM cannot reach the store either, a source of lower rank or
		// of another failure domain is needed.
		if follower.storeFailingSince.IsZero() {
			follower.avoidFor(now, source, avoidWithoutStore)
			follower.dropSource()
		} else {
			follower.avoidSource(now)
		}
	}
}

// LinkLost records that the link to a peer was closed. If the peer is the source, it is avoided for a time.
func (follower *Follower) LinkLost(now time.Time, peer string) {
	switch peer {
	case "":
	case follower.plan.Source:
		follower.avoidSource(now)
	case follower.plan.Candidate:
		follower.avoid(now, peer)
	}
}

// StoreResult records whether a store call succeeded.
func (follower *Follower) StoreResult(now time.Time, storeReachable bool) {
	follower.awaitsFirst = follower.awaitsFirst && !storeReachable
	switch {
	case storeReachable && !follower.storeFailingSince.IsZero(): // sources without the store may reach it again too
		follower.storeFailingSince = time.Time{}
		retryAt := now.Add(avoidWithoutStore)
		for source, until := range follower.avoidedUntil {
			if until.After(retryAt) {
				follower.avoidedUntil[source] = retryAt
			}
		}
		clear(follower.avoidSpans)
	case storeReachable:
	case follower.storeFailingSince.IsZero():
		follower.storeFailingSince = now
	}
}

// avoidSource removes the source and avoids it for a time.
func (follower *Follower) avoidSource(now time.Time) {
	follower.avoid(now, follower.plan.Source)
	follower.dropSource()
}

// avoid avoids a peer for a time that doubles with each consecutive failure, up to maxAvoid.
func (follower *Follower) avoid(now time.Time, peer string) {
	follower.avoidSpans[peer] = min(max(minAvoid, 2*follower.avoidSpans[peer]), maxAvoid)
	follower.avoidFor(now, peer, follower.avoidSpans[peer])
}

func (follower *Follower) avoidFor(now time.Time, peer string, span time.Duration) {
	follower.avoidedUntil[peer] = now.Add(span)
}

// dropSource removes the source.
func (follower *Follower) dropSource() {
	follower.plan.Source, follower.lastMessage = "", time.Time{}
}

// Rank returns the number of peers in the failure domain that are ranked before this VM for watching the store.
func (follower *Follower) Rank() int { return len(follower.higherRanked) }

// IsSource reports whether this VM has the store itself, so that it can be a source for peers.
func (follower *Follower) IsSource() bool {
	return follower.plan.WatchStore && follower.storeFailingSince.IsZero()
}

// Tick returns the plan from now on.
func (follower *Follower) Tick(now time.Time) Plan {
	if follower.lastUpdate.IsZero() {
		follower.lastUpdate = now
	}
	if follower.plan.Source != "" && min(now.Sub(follower.sourceSince), now.Sub(follower.lastMessage)) > sourceTimeout {
		follower.avoidSource(now)
	}
	follower.tickSource(now)
	// The store is watched if there is no higher-ranked source or if no message of the source arrives; a VM that watches continues until
	// one arrives.
	grace := firstMessageGrace
	if follower.awaitsFirst {
		grace = restartGrace
	}
	sourceSilent := follower.lastMessage.IsZero() && (follower.plan.WatchStore ||
		now.Sub(follower.sourceSince) > grace || now.Sub(follower.lastUpdate) > noUpdateTimeout)
	follower.plan.WatchStore = sourceSilent || !slices.Contains(follower.higherRanked, follower.plan.Source)
	if follower.plan.WatchStore {
		follower.lastUpdate = now
	}
	return follower.plan
}

// tickSource chooses the source. One whose messages arrive is replaced by a better one only when that has said that it has the store: most often
// the better one was the source before, and still lacks it. A candidate that says nothing of the store is avoided for a time.
func (follower *Follower) tickSource(now time.Time) {
	if follower.plan.Candidate != "" && now.Sub(follower.candidateSince) > sourceTimeout {
		follower.avoid(now, follower.plan.Candidate)
	}
	best := follower.chooseSource(now)
	candidate := ""
	if best != "" && best != follower.plan.Source && follower.plan.Source != "" && !follower.lastMessage.IsZero() {
		best, candidate = follower.plan.Source, best
	}
	if best != follower.plan.Source {
		follower.plan.Source, follower.sourceSince, follower.lastMessage = best, now, time.Time{}
	}
	if candidate != follower.plan.Candidate {
		follower.plan.Candidate, follower.candidateSince = candidate, now
	}
}

// chooseSource returns the best source. A VM without the store keeps one whose messages arrive in any case. Peers of lower rank or of other
// failure domains are sources only while this VM's store calls fail, for longer than storeFailureGrace.
func (follower *Follower) chooseSource(now time.Time) string {
	if !follower.storeFailingSince.IsZero() && follower.plan.Source != "" && !follower.lastMessage.IsZero() {
		return follower.plan.Source
	}
	if source := follower.firstAvailable(now, follower.higherRanked); source != "" {
		return source
	}
	if follower.storeFailingSince.IsZero() || now.Sub(follower.storeFailingSince) < storeFailureGrace {
		return ""
	}
	if source := follower.firstAvailable(now, follower.lowerRanked); source != "" {
		return source
	}
	return follower.firstAvailable(now, follower.remote)
}

// firstAvailable returns the first peer that is not avoided, or "".
func (follower *Follower) firstAvailable(now time.Time, peers []string) string {
	for _, peer := range peers {
		if !now.Before(follower.avoidedUntil[peer]) {
			return peer
		}
	}
	return ""
}
