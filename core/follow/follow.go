package follow

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	silentAfter = 1200 * time.Millisecond // without good word from a source, three heartbeats, after which another is sought
	grace       = 500 * time.Millisecond  // for a source that was just chosen to be heard, before the store is watched beside it
	deafAfter   = 1600 * time.Millisecond // without any news, after which the store is watched whoever was just chosen; with a tick more, two thirds of the 3 s in which a change is to be in force
	avoidFor    = 4 * time.Second         // after which a source that fell silent is tried again, doubled each time
	avoidBad    = 2 * time.Second         // after which one that lives without the store is asked again; that costs a message
	mostAvoid   = 32 * time.Second
	badAfter    = 500 * time.Millisecond // of failing calls, after which a VM that watches the store seeks another source too
)

// Peer is an entry VM.
type Peer struct {
	Name          string
	FailureDomain string  // failure domain
	Cores         float64 // of its processor; 0 for unknown
}

// Plan is what a VM is to do.
type Plan struct {
	WatchStore bool   // keep watches of the store
	Source     string // the VM to learn from; empty for none
}

// Follower decides for one VM. In each failure domain the VM with the most processor watches the store and the others learn from it;
// whoever finds no better VM that has the store watches too. News carry revisions, so that two sources do no harm.
type Follower struct {
	self    Peer
	better  []string // VMs of the failure domain that rank before this one
	worse   []string // and after it
	far     []string // VMs of other failure domains
	plan    Plan
	since   time.Time // when the source was chosen
	heard   time.Time // the last good word from it; zero for none
	fed     time.Time // when a good source was last heard, or the store watched
	avoided map[string]time.Time
	avoids  map[string]time.Duration // how long each was avoided last
	failing time.Time                // since when the store's calls fail; zero if they do not
}

// New returns a Follower that watches the store until it knows of other VMs.
func New(self Peer) *Follower {
	return &Follower{self: self, avoided: map[string]time.Time{}, avoids: map[string]time.Duration{}}
}

// inOrder orders VMs by who is to watch: those with more processor first, since the others rely on them, else by chance.
func inOrder(a, b Peer) int {
	if order := cmp.Compare(b.Cores, a.Cores); order != 0 {
		return order
	}
	return cmp.Compare(rank(a), rank(b))
}

func rank(peer Peer) uint64 { return xxhash.Sum64String(peer.FailureDomain + "/" + peer.Name) }

// SetPeers takes the list of the other entry VMs.
func (follower *Follower) SetPeers(peers []Peer) {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, inOrder)
	follower.better, follower.worse, follower.far = nil, nil, nil
	for _, peer := range sorted {
		switch {
		case peer.Name == follower.self.Name:
		case peer.FailureDomain != follower.self.FailureDomain:
			follower.far = append(follower.far, peer.Name)
		case inOrder(peer, follower.self) < 0:
			follower.better = append(follower.better, peer.Name)
		default:
			follower.worse = append(follower.worse, peer.Name)
		}
	}
}

// HeardFrom takes a message of a source, which says whether it has the store itself.
func (follower *Follower) HeardFrom(now time.Time, from string, good bool) {
	if from != follower.plan.Source {
		return
	}
	if good {
		follower.heard, follower.fed = now, now
		delete(follower.avoids, from)
	} else if !follower.heard.IsZero() || now.Sub(follower.since) > silentAfter {
		// One that was just chosen may be taking over itself. Without the store here too, another kind of source is due.
		if follower.failing.IsZero() {
			follower.leave(now, avoidBad)
		} else {
			follower.avoid(now)
		}
	}
}

// LinkLost takes the news that the link to a VM has ended.
func (follower *Follower) LinkLost(now time.Time, peer string) {
	if peer == follower.plan.Source {
		follower.avoid(now)
	}
}

// StoreResult takes the outcome of a call of the store.
func (follower *Follower) StoreResult(now time.Time, good bool) {
	switch {
	case good && !follower.failing.IsZero(): // others may have regained it too
		follower.failing = time.Time{}
		soon := now.Add(avoidBad)
		for source, till := range follower.avoided {
			if till.After(soon) {
				follower.avoided[source] = soon
			}
		}
		clear(follower.avoids)
	case good:
	case follower.failing.IsZero():
		follower.failing = now
	}
}

func (follower *Follower) avoid(now time.Time) {
	source := follower.plan.Source
	follower.avoids[source] = min(max(avoidFor, 2*follower.avoids[source]), mostAvoid)
	follower.leave(now, follower.avoids[source])
}

// leave ends learning from the source for a while.
func (follower *Follower) leave(now time.Time, span time.Duration) {
	follower.avoided[follower.plan.Source] = now.Add(span)
	follower.plan.Source, follower.heard = "", time.Time{}
}

// Rank returns how many VMs of the failure domain are to watch rather than this one.
func (follower *Follower) Rank() int { return len(follower.better) }

// IsSource reports whether this VM has the store itself, so that others may learn from it.
func (follower *Follower) IsSource() bool {
	return follower.plan.WatchStore && follower.failing.IsZero()
}

// Tick returns what the VM is to do from now on.
func (follower *Follower) Tick(now time.Time) Plan {
	if follower.fed.IsZero() {
		follower.fed = now
	}
	if follower.plan.Source != "" && min(now.Sub(follower.since), now.Sub(follower.heard)) > silentAfter {
		follower.avoid(now)
	}
	if source := follower.choose(now); source != follower.plan.Source {
		follower.plan.Source, follower.since, follower.heard = source, now, time.Time{}
	}
	// The store is watched where no better VM can be the source, and where one is not heard soon; who watches does so until one is.
	deaf := follower.heard.IsZero() && (follower.plan.WatchStore || now.Sub(follower.since) > grace || now.Sub(follower.fed) > deafAfter)
	follower.plan.WatchStore = deaf || !slices.Contains(follower.better, follower.plan.Source)
	if follower.plan.WatchStore {
		follower.fed = now
	}
	return follower.plan
}

// choose returns the best source; the one that is heard is kept unless a better one is due again, and in any case by a VM that
// does not have the store itself.
func (follower *Follower) choose(now time.Time) string {
	if !follower.failing.IsZero() && follower.plan.Source != "" && !follower.heard.IsZero() {
		return follower.plan.Source
	}
	if source := follower.first(now, follower.better); source != "" {
		return source
	}
	if follower.failing.IsZero() || now.Sub(follower.failing) < badAfter {
		return ""
	}
	if source := follower.first(now, follower.worse); source != "" {
		return source
	}
	return follower.first(now, follower.far)
}

// first returns the first VM that is not avoided.
func (follower *Follower) first(now time.Time, peers []string) string {
	for _, peer := range peers {
		if !now.Before(follower.avoided[peer]) {
			return peer
		}
	}
	return ""
}
