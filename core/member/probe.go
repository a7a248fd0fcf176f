package member

import (
	"maps"
	"slices"
	"time"
)

// expireInterval is the time between two checks of the members that are not alive.
const expireInterval = 500 * time.Millisecond

type probe struct {
	name     string
	sequence int64
	sent     time.Time
	indirect bool // indirect probes have been requested
	acked    bool
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
