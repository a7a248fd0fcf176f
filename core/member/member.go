package member

import (
	"cmp"
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Settings are the times and widths of the protocol.
type Settings struct {
	ProbeInterval  time.Duration // between two probes by one member
	AckTimeout     time.Duration // after which others are asked to probe
	SuspectTimeout time.Duration // after which a suspect counts as dead
	ReviveInterval time.Duration // between probes of dead members that the platform still lists
	SyncInterval   time.Duration // between exchanges of whole lists
	ForgetAfter    time.Duration // after which a dead member that is not listed is forgotten
	IndirectProbes int           // members asked to probe indirectly
	Fanout         int           // members told of a new release at once
	MaxPiggyback   int           // updates on one message
}

// DefaultSettings returns the settings that are used if nothing else is said.
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
	expireInterval = 500 * time.Millisecond // between looks at members that are not up
	pickStride     = 7919
)

type entry struct {
	Member
	since  time.Time // of the state
	listed bool      // in the platform's list
}

type probe struct {
	name     string
	sequence int64
	sent     time.Time
	indirect bool
	acked    bool
}

type queuedUpdate struct {
	member Member
	transmitsLeft   int // messages that still carry it
}

// List is one member's view of the membership.
type List struct {
	settings Settings
	random   *rand.Rand
	self     Member
	release  int64
	entries  map[string]*entry
	probeOrder     []string // probe order of this round
	probe    *probe
	sequence int64
	queuedUpdates   []queuedUpdate
	probeAt   time.Time
	reviveAt time.Time
	syncAt   time.Time
	epoch    int64
	releases    map[string]int64 // newest release heard of by direct message
	newestFrom   string           // the member that the newest release was heard from
	names    []string         // of all entries, in no order
	notAlive map[string]bool  // entries that are not up
	expireAt time.Time
}

// New returns a list that holds only the member itself.
func New(self Member, settings Settings, random *rand.Rand) *List {
	list := &List{settings: settings, random: random, self: self,
		entries: map[string]*entry{}, releases: map[string]int64{}, notAlive: map[string]bool{}}
	list.queueUpdate(self)
	return list
}

// Self returns the member itself.
func (list *List) Self() Member { return list.self }

// Epoch returns a number that grows when the set of owners changes.
func (list *List) Epoch() int64 { return list.epoch }

// SetRelease records the release in force on this member.
func (list *List) SetRelease(release int64) { list.release = release }

// Members returns all known members including this one, by name.
func (list *List) Members() []Member {
	members := []Member{list.self}
	for _, entry := range list.entries {
		members = append(members, entry.Member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return members
}

// Find returns a member by name.
func (list *List) Find(name string) (Member, bool) {
	if name == list.self.Name {
		return list.self, true
	}
	if entry, ok := list.entries[name]; ok {
		return entry.Member, true
	}
	return Member{}, false
}

// Owners returns the members that may own targets: alive or only suspected.
func (list *List) Owners() []Member {
	return slices.DeleteFunc(list.Members(), func(member Member) bool { return member.State > Suspect })
}

// NewestRelease returns the highest release heard of and the member that has it in force.
func (list *List) NewestRelease() (release int64, from Member) {
	if entry, ok := list.entries[list.newestFrom]; ok {
		return list.releases[list.newestFrom], entry.Member
	}
	return 0, Member{}
}

// recordRelease takes the release that a member says it has in force.
func (list *List) recordRelease(name string, release int64) {
	if release <= list.releases[name] {
		return
	}
	list.releases[name] = release
	if release > list.releases[list.newestFrom] {
		list.newestFrom = name
	}
}

// ForgetRelease forgets the release heard of from a member that could not hand it over or has gone.
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

// add makes an entry for a name that is not known yet.
func (list *List) add(name string, entry *entry) {
	list.entries[name] = entry
	list.names = append(list.names, name)
	list.notAlive[name] = true
}

// remove removes an entry.
func (list *List) remove(name string) {
	delete(list.entries, name)
	delete(list.notAlive, name)
	list.ForgetRelease(name)
	at := slices.Index(list.names, name)
	last := len(list.names) - 1
	list.names[at] = list.names[last]
	list.names = list.names[:last]
}

// Leave marks this member as leaving and returns the farewells.
func (list *List) Leave(state State) []Outgoing {
	list.self.State = state
	list.epoch++
	list.queueUpdate(list.self)
	return list.sendToRandom(list.settings.Fanout, Ping)
}

// Seed takes in the platform's list, which may lag: it adds members to ask and keeps dead ones worth probing.
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

// Tick advances the time and returns the messages that are due.
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

// checkProbe asks helpers when an ack is late, and suspects the member when they do not get one either.
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

// expire declares suspects dead and forgets members that are gone for good.
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

// nextToProbe walks a shuffled list so that each member is probed once a round.
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

// probeDead pings one dead member that the platform still lists, which may be back or behind a cut that has healed.
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

// AnnounceRelease tells some members of the release in force.
func (list *List) AnnounceRelease() []Outgoing { return list.sendToRandom(list.settings.Fanout, Announce) }

func (list *List) sendToRandom(count int, kind Kind) []Outgoing {
	var outgoing []Outgoing
	for _, member := range list.pickRandom(count, "") {
		outgoing = append(outgoing, Outgoing{member, list.message(kind)})
	}
	return outgoing
}

// pickRandom returns random members that are believed to be up.
func (list *List) pickRandom(count int, except string) []Member {
	var up []Member
	if len(list.names) == 0 {
		return nil
	}
	start := list.random.IntN(len(list.names))
	for i := range list.names {
		// Steps by a stride that shares no factor with most lengths, so that picks are spread over the list.
		name := list.names[(start+i*pickStride)%len(list.names)]
		entry := list.entries[name]
		taken := slices.ContainsFunc(up, func(member Member) bool { return member.Name == name })
		if entry.State > Leaving || name == except || taken {
			continue
		}
		if up = append(up, entry.Member); len(up) == count {
			break
		}
	}
	return up
}

// message makes a message that carries the freshest rumors, or the whole list for an exchange.
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
	list.queuedUpdates = slices.DeleteFunc(list.queuedUpdates, func(rumor queuedUpdate) bool { return rumor.transmitsLeft <= 0 })
	slices.SortStableFunc(list.queuedUpdates, func(a, b queuedUpdate) int { return cmp.Compare(b.transmitsLeft, a.transmitsLeft) })
	return message
}

// queueUpdate spreads news of a member on the next messages.
func (list *List) queueUpdate(member Member) {
	list.queuedUpdates = slices.DeleteFunc(list.queuedUpdates, func(rumor queuedUpdate) bool { return rumor.member.Name == member.Name })
	times := 3 * bits.Len(uint(len(list.entries)+1))
	list.queuedUpdates = append([]queuedUpdate{{member, times}}, list.queuedUpdates...)
}
