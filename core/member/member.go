package member

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings holds the intervals, timeouts and fan-outs of the protocol.
type Settings struct {
	ProbeInterval  time.Duration // between two probes by one member; a probe without an ack after this time makes the member suspect
	AckTimeout     time.Duration // after which other members are asked to probe indirectly
	SuspectTimeout time.Duration // after which a suspect member is declared dead
	ReviveInterval time.Duration // between probes of dead members that the platform still lists
	SyncInterval   time.Duration // mean time between exchanges of whole member lists
	ForgetAfter    time.Duration // after which a dead or left member that the platform no longer lists is removed
	IndirectProbes int           // members asked to probe a member that has not answered; also the Syncs sent by one Seed
	Fanout         int           // members to which a new release or the leaving of this member is announced at once
	MaxPiggyback   int           // updates carried by one message
}

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		ProbeInterval:  time.Second,
		AckTimeout:     300 * time.Millisecond,
		SuspectTimeout: 2 * time.Second,
		ReviveInterval: 2 * time.Second,
		SyncInterval:   60 * time.Second,
		ForgetAfter:    60 * time.Second,
		IndirectProbes: 3,
		Fanout:         4,
		MaxPiggyback:   8,
	}
}

const (
	expireInterval = 500 * time.Millisecond // between checks of members that are not alive
	pickStride     = 7919                   // a prime, so that it shares no factor with most list lengths
)

type entry struct {
	Member
	since  time.Time // time of the last update
	listed bool      // in the platform's VM list
}

type probe struct {
	name     string
	sequence int64
	sent     time.Time
	indirect bool // indirect probes have been requested
	acked    bool
}

type queuedUpdate struct {
	member        Member
	transmitsLeft int // messages that are still to carry it
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

// SetRelease sets the release in force on this member, which its messages carry.
func (list *List) SetRelease(release int64) { list.release = release }

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

// NewestRelease returns the highest release that another member has reported, and that member.
func (list *List) NewestRelease() (release int64, from Member) {
	if entry, ok := list.entries[list.newestFrom]; ok {
		return list.releases[list.newestFrom], entry.Member
	}
	return 0, Member{}
}

// recordRelease records the release that a member reports to have in force.
func (list *List) recordRelease(name string, release int64) {
	if release <= list.releases[name] {
		return
	}
	list.releases[name] = release
	if release > list.releases[list.newestFrom] {
		list.newestFrom = name
	}
}

// ForgetRelease drops the release reported by a member that could not provide it, was restarted or has been removed.
func (list *List) ForgetRelease(name string) {
	delete(list.releases, name)
	if list.newestFrom != name {
		return
	}
	list.newestFrom = ""
	for other, release := range list.releases {
		if release > list.releases[list.newestFrom] {
			list.newestFrom = other
		}
	}
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

// Tick advances the clock to now and returns the messages that are due.
func (list *List) Tick(now time.Time) []Outgoing {
	outgoing := list.checkProbe(now)
	list.expire(now)
	if !now.Before(list.probeAt) {
		list.probeAt = now.Add(list.settings.ProbeInterval)
		outgoing = append(outgoing, list.startProbe(now)...)
	}
	if !now.Before(list.reviveAt) {
		list.reviveAt = now.Add(list.settings.ReviveInterval)
		outgoing = append(outgoing, list.probeDead()...)
	}
	if !now.Before(list.syncAt) {
		list.syncAt = now.Add(list.settings.SyncInterval/2 + time.Duration(list.random.Int64N(int64(list.settings.SyncInterval))))
		outgoing = append(outgoing, list.sendToRandom(1, Sync)...)
	}
	return outgoing
}

// checkProbe requests indirect probes once AckTimeout has passed without an ack, and marks the member suspect after ProbeInterval.
func (list *List) checkProbe(now time.Time) []Outgoing {
	probe := list.probe
	if probe == nil || probe.acked {
		return nil
	}
	waited := now.Sub(probe.sent)
	if waited >= list.settings.ProbeInterval {
		list.probe = nil
		list.markSuspect(now, probe.name)
		return nil
	}
	if waited < list.settings.AckTimeout || probe.indirect {
		return nil
	}
	probe.indirect = true
	var outgoing []Outgoing
	for _, helper := range list.pickRandom(list.settings.IndirectProbes, probe.name) {
		message := list.message(Indirect)
		message.Subject, message.Sequence = probe.name, probe.sequence
		outgoing = append(outgoing, Outgoing{helper, message})
	}
	return outgoing
}

// markSuspect marks a member suspect, or dead if it was already leaving.
func (list *List) markSuspect(now time.Time, name string) {
	entry, ok := list.entries[name]
	if !ok || entry.State > Leaving {
		return
	}
	update := entry.Member
	update.State = Suspect
	if entry.State == Leaving {
		update.State = Dead
	}
	list.applyUpdate(now, update)
}

// expire declares suspect members dead after SuspectTimeout and removes dead and left members that are not listed after ForgetAfter.
func (list *List) expire(now time.Time) {
	if now.Before(list.expireAt) {
		return
	}
	list.expireAt = now.Add(expireInterval)
	for _, name := range slices.Sorted(maps.Keys(list.notAlive)) {
		entry := list.entries[name]
		if entry.State == Suspect && now.Sub(entry.since) >= list.settings.SuspectTimeout {
			update := entry.Member
			update.State = Dead
			list.applyUpdate(now, update)
		}
		if entry.State >= Dead && !entry.listed && now.Sub(entry.since) >= list.settings.ForgetAfter {
			list.remove(name)
		}
	}
}

func (list *List) startProbe(now time.Time) []Outgoing {
	name, ok := list.nextToProbe()
	if !ok {
		return nil
	}
	list.sequence++
	list.probe = &probe{name: name, sequence: list.sequence, sent: now}
	message := list.message(Ping)
	message.Sequence = list.sequence
	return []Outgoing{{list.entries[name].Member, message}}
}

// nextToProbe walks a shuffled list, reshuffled for each round, so that each member is probed once a round.
func (list *List) nextToProbe() (string, bool) {
	for range 2 {
		for len(list.probeOrder) > 0 {
			name := list.probeOrder[0]
			list.probeOrder = list.probeOrder[1:]
			if entry, ok := list.entries[name]; ok && entry.State <= Leaving {
				return name, true
			}
		}
		list.probeOrder = slices.Clone(list.names)
		list.random.Shuffle(len(list.probeOrder), func(i, j int) { list.probeOrder[i], list.probeOrder[j] = list.probeOrder[j], list.probeOrder[i] })
	}
	return "", false
}

// probeDead sends a Sync to one random dead member that the platform still lists: it may have recovered, or a network partition may have
// healed. The message carries the member's own entry, so that the member refutes it.
func (list *List) probeDead() []Outgoing {
	var dead []Member
	for _, name := range slices.Sorted(maps.Keys(list.notAlive)) {
		if entry := list.entries[name]; entry.State == Dead && entry.listed {
			dead = append(dead, entry.Member)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	chosen := dead[list.random.IntN(len(dead))]
	message := list.message(Sync)
	message.Updates = append(message.Updates, chosen)
	return []Outgoing{{chosen, message}}
}

// AnnounceRelease returns messages that announce this member's release to some random members.
func (list *List) AnnounceRelease() []Outgoing {
	return list.sendToRandom(list.settings.Fanout, Announce)
}

// sendToRandom returns messages of one kind to random members that are up.
func (list *List) sendToRandom(count int, kind Kind) []Outgoing {
	var outgoing []Outgoing
	for _, member := range list.pickRandom(count, "") {
		outgoing = append(outgoing, Outgoing{member, list.message(kind)})
	}
	return outgoing
}

// pickRandom returns up to count random members that are alive, suspect or leaving.
//
// It walks the list from a random start in steps of pickStride, so that the members picked are spread over it.
func (list *List) pickRandom(count int, except string) []Member {
	var picked []Member
	if len(list.names) == 0 {
		return nil
	}
	start := list.random.IntN(len(list.names))
	for i := range list.names {
		name := list.names[(start+i*pickStride)%len(list.names)]
		entry := list.entries[name]
		alreadyPicked := slices.ContainsFunc(picked, func(member Member) bool { return member.Name == name })
		if entry.State > Leaving || name == except || alreadyPicked {
			continue
		}
		if picked = append(picked, entry.Member); len(picked) == count {
			break
		}
	}
	return picked
}

// message builds a message; Sync and SyncReply carry all members whose incarnation is known, up to one less than MaxUpdates since probeDead
// appends one; other kinds carry the queued updates with the most transmissions left.
func (list *List) message(kind Kind) Message {
	message := Message{Kind: kind, From: list.self, Release: list.release}
	if kind == Sync || kind == SyncReply {
		for _, name := range slices.Sorted(maps.Keys(list.entries)) {
			if entry := list.entries[name]; entry.Incarnation > 0 && len(message.Updates) < MaxUpdates-1 {
				message.Updates = append(message.Updates, entry.Member)
			}
		}
		return message
	}
	for i := range min(len(list.queuedUpdates), list.settings.MaxPiggyback) {
		message.Updates = append(message.Updates, list.queuedUpdates[i].member)
		list.queuedUpdates[i].transmitsLeft--
	}
	list.queuedUpdates = slices.DeleteFunc(list.queuedUpdates, func(update queuedUpdate) bool { return update.transmitsLeft <= 0 })
	slices.SortStableFunc(list.queuedUpdates, func(a, b queuedUpdate) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	return message
}

// queueUpdate queues a member's state to be carried by the next messages, in place of an older update of that member.
//
// The number of messages grows with the logarithm of the number of members, which suffices for gossip to reach all of them.
func (list *List) queueUpdate(member Member) {
	list.queuedUpdates = slices.DeleteFunc(list.queuedUpdates, func(update queuedUpdate) bool { return update.member.Name == member.Name })
	transmits := 3 * bits.Len(uint(len(list.entries)+1))
	list.queuedUpdates = append([]queuedUpdate{{member, transmits}}, list.queuedUpdates...)
}
