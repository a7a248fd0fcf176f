package place

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	listOldAfter  = 10 * time.Second       // a list of VMs that is older than this may lack some
	oldListFactor = 1.25                   // multiplies the number of VMs while the list may lack some
	newVMWait     = 15 * time.Second       // a new VM counts for all others after this time: listOldAfter and the age of the stale lists that they read
	removedVMTTL  = 10 * time.Second       // a VM that has left the list still counts for this time, as it may still send calls
	ownRankTTL    = 200 * time.Millisecond // a rank is computed again after this time, as hashing all names at each call would take too much of a small VM's processor
)

// vmList is the list of the VMs among which the calls to a target are divided.
type vmList struct {
	name        string               // of this VM
	members     map[string]time.Time // the other VMs of this failure domain; the time at which a VM left the list, zero while it is listed
	listedAt    time.Time            // of the newest list of VMs
	firstListed time.Time            // of the first list of VMs
	wasListed   bool                 // the list named this VM when it started, so that the others count it already
	ownRanks    map[rankKey]ownRank  // of this VM
}

// rank is the position of a VM among those that may call a target. The order differs from target to target.
type rank struct {
	position int // VMs before it
	vms      int
	member   bool // the VM is among them
}

// rankKey identifies a cached rank.
type rankKey struct {
	target string
	limit  bool // for calls to a target that names a limit, not to a cold one
}

// ownRank is a cached rank of this VM.
type ownRank struct {
	rank
	computedAt time.Time
}

// MarkListed records that the first list of VMs names this VM: it restarted under an entry that the others count already.
func (fleet *Fleet) MarkListed() {
	if fleet.vms.firstListed.IsZero() {
		fleet.vms.wasListed = true
	}
}

// mayUseShare reports whether the other VMs count this one in their lists. A VM that restarted waits for coldWindow, as it does not know its
// calls before the restart; a new VM until all others have read the list again or count their lists as old.
func (fleet *Fleet) mayUseShare(now time.Time) bool {
	if fleet.vms.firstListed.IsZero() {
		return false
	}
	wait := newVMWait
	if fleet.vms.wasListed {
		wait = coldWindow
	}
	return now.Sub(fleet.vms.firstListed) > wait
}

// ownRank returns the rank of this VM for calls to a cold target.
func (fleet *Fleet) ownRank(now time.Time, target *trackedEndpoint) rank {
	return fleet.cachedRank(now, rankKey{target: target.ID}, func() []string { return fleet.vmsOf(now, target.FailureDomain) })
}

// ownLimitRank returns the rank of this VM for calls to a target that names a limit.
func (fleet *Fleet) ownLimitRank(now time.Time, target *trackedEndpoint) rank {
	return fleet.cachedRank(now, rankKey{target.ID, true}, func() []string { return fleet.limitSharers(now, target) })
}

func (fleet *Fleet) cachedRank(now time.Time, key rankKey, sharers func() []string) rank {
	cached, ok := fleet.vms.ownRanks[key]
	if !ok || now.Sub(cached.computedAt) > ownRankTTL {
		cached = ownRank{fleet.rankAmong(now, key.target, fleet.vms.name, sharers()), now}
		fleet.vms.ownRanks[key] = cached
	}
	return cached.rank
}

// limitSharers returns the VMs among which the limit of a target is divided: those of its failure domain if the others can relay calls to
// them, else all.
func (fleet *Fleet) limitSharers(now time.Time, target *trackedEndpoint) []string {
	if fleet.cold.table != nil && fleet.cold.table.Gathered(target.Service) {
		if names := fleet.vmsOf(now, target.FailureDomain); len(names) > 0 {
			return names
		}
	}
	return fleet.allVMs(now)
}

// rankAmong returns the rank of a VM among some VMs by a hash of its name and the target's id, so that one VM more or less changes the
// position of the others by at most one. A VM whose list may lack some VMs counts more of them, of which a part comes before it.
func (fleet *Fleet) rankAmong(now time.Time, target, vm string, sharers []string) rank {
	var found rank
	own := orderOf(target, vm)
	for _, name := range sharers {
		found.vms++
		found.member = found.member || name == vm
		if order := orderOf(target, name); order < own || order == own && name < vm {
			found.position++
		}
	}
	if now.Sub(fleet.vms.listedAt) > listOldAfter {
		found.vms, found.position = int(math.Ceil(float64(found.vms)*oldListFactor)), int(math.Ceil(float64(found.position)*oldListFactor))
	}
	return found
}

func orderOf(target, vm string) uint64 { return xxhash.Sum64String(target + "/" + vm) }

// vmsOf returns the names of the VMs of a failure domain, in this one with those that have just left the list.
func (fleet *Fleet) vmsOf(now time.Time, failureDomain string) []string {
	if failureDomain == fleet.failureDomain {
		names := []string{fleet.vms.name}
		for name, left := range fleet.vms.members {
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

// allVMs returns the names of the VMs of all failure domains.
func (fleet *Fleet) allVMs(now time.Time) []string {
	names := fleet.vmsOf(now, fleet.failureDomain)
	for name, endpoint := range fleet.endpoints {
		if endpoint.Peer && endpoint.FailureDomain != fleet.failureDomain {
			names = append(names, name)
		}
	}
	return names
}

// setMembers updates the list of the VMs of this failure domain.
func (fleet *Fleet) setMembers(now time.Time, list []Endpoint) {
	vms := &fleet.vms
	vms.listedAt = now
	clear(vms.ownRanks)
	if vms.firstListed.IsZero() {
		vms.firstListed = now
	}
	maps.DeleteFunc(vms.members, func(_ string, left time.Time) bool { return !left.IsZero() && now.Sub(left) >= removedVMTTL })
	for name, left := range vms.members {
		if left.IsZero() {
			vms.members[name] = now
		}
	}
	for _, peer := range list {
		if peer.FailureDomain == fleet.failureDomain {
			vms.members[peer.ID] = time.Time{}
		}
	}
}
