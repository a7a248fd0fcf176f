package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// pickStride is the step in which members are picked. It is a prime, so that it shares no factor with the length of most lists.
const pickStride = 7919

type queuedUpdate struct {
	member        Member
	transmitsLeft int // messages that are still to carry it
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
