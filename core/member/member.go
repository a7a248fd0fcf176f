package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

type entry struct {
	Member
	since  time.Time // time of the last update
	listed bool      // in the platform's VM list
}

// List is one member's view of all members.
type List struct {
	settings      Settings
	random        *rand.Rand
	self          Member
	release       int64
	entries       map[string]*entry
	probeOrder    []string // members still to probe in this round
	probe         *probe
	sequence      int64
	queuedUpdates []queuedUpdate
	probeAt       time.Time
	reviveAt      time.Time
	syncAt        time.Time
	epoch         int64
	releases      map[string]int64 // by member: its release as reported by the member itself
	newestFrom    string           // the member with the newest release in releases
	names         []string         // names of all entries, unordered
	notAlive      map[string]bool  // entries whose state is not Alive
	expireAt      time.Time
}

// New returns a list that contains only the member itself.
func New(self Member, settings Settings, random *rand.Rand) *List {
	list := &List{settings: settings, random: random, self: self,
		entries: map[string]*entry{}, releases: map[string]int64{}, notAlive: map[string]bool{}}
	list.queueUpdate(self)
	return list
}

// Self returns the member itself.
func (list *List) Self() Member { return list.self }

// Epoch returns a number that increases whenever the set of owners changes.
func (list *List) Epoch() int64 { return list.epoch }

// Members returns all known members, including this one, sorted by name.
func (list *List) Members() []Member {
	members := []Member{list.self}
	for _, entry := range list.entries {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Find returns the member with the given name.
func (list *List) Find(name string) (Member, bool) {
	if name == list.self.Name {
		return list.self, true
	}
	if entry, ok := list.entries[name]; ok {
		return entry.Member, true
	}
	return Member{}, false
}

// Owners returns the members that may own targets: those that are alive or suspect.
func (list *List) Owners() []Member {
	return slices.DeleteFunc(list.Members(), func(member Member) bool { return member.State > Suspect })
}

// add adds the entry of a member that is not in the list yet.
func (list *List) add(name string, entry *entry) {
	list.entries[name] = entry
	list.names = append(list.names, name)
	list.notAlive[name] = true
}

// remove removes a member's entry.
func (list *List) remove(name string) {
	delete(list.entries, name)
	delete(list.notAlive, name)
	list.ForgetRelease(name)
	index := slices.Index(list.names, name)
	last := len(list.names) - 1
	list.names[index] = list.names[last]
	list.names = list.names[:last]
}

// Leave puts this member into state Leaving or Left and returns the messages that announce it.
func (list *List) Leave(state State) []Outgoing {
	list.self.State = state
	list.epoch++
	list.queueUpdate(list.self)
	return list.sendToRandom(list.settings.Fanout, Ping)
}

// Seed merges the platform's VM list, which may lag behind: unknown members are added as dead until they answer, some of them are sent a
// Sync at once, and dead members that are listed keep being probed.
func (list *List) Seed(now time.Time, listed []Member) []Outgoing {
	names := map[string]bool{}
	var outgoing []Outgoing
	for _, member := range listed {
		names[member.Name] = true
		if member.Name == list.self.Name {
			continue
		}
		if _, ok := list.entries[member.Name]; ok {
			continue
		}
		list.add(member.Name, &entry{Member: Member{Name: member.Name, FailureDomain: member.FailureDomain,
			Address: member.Address, State: Dead}, since: now})
		if len(outgoing) < list.settings.IndirectProbes {
			outgoing = append(outgoing, Outgoing{member, list.message(Sync)})
		}
	}
	for name, entry := range list.entries {
		entry.listed = names[name]
	}
	return outgoing
}
