package member

import "time"

// Receive processes a message and returns the replies.
func (list *List) Receive(now time.Time, message Message) []Outgoing {
	if message.From.Name == list.self.Name {
		return nil
	}
	list.applyUpdate(now, message.From)
	for _, update := range message.Updates {
		list.applyUpdate(now, update)
	}
	list.recordRelease(message.From.Name, message.Release)
	switch message.Kind {
	case Ping:
		return list.ack(message)
	case Indirect:
		return list.probeForOther(message)
	case Ack:
		return list.handleAck(message)
	case Sync:
		return []Outgoing{{message.From, list.message(SyncReply)}}
	}
	return nil
}

// ack answers a ping; the ack of an indirect ping goes to the member that sent it, which forwards it to the origin.
func (list *List) ack(message Message) []Outgoing {
	answer := list.message(Ack)
	answer.Sequence, answer.Origin = message.Sequence, message.Origin
	answer.Subject = list.self.Name
	return []Outgoing{{message.From, answer}}
}

// probeForOther pings a member on behalf of the sender of an Indirect message.
func (list *List) probeForOther(message Message) []Outgoing {
	entry, ok := list.entries[message.Subject]
	if !ok {
		return nil
	}
	ping := list.message(Ping)
	ping.Sequence, ping.Origin = message.Sequence, message.From.Name
	return []Outgoing{{entry.Member, ping}}
}

// handleAck forwards the ack of an indirect ping to its origin, or completes this member's own probe.
func (list *List) handleAck(message Message) []Outgoing {
	if message.Origin != "" && message.Origin != list.self.Name {
		origin, ok := list.entries[message.Origin]
		if !ok {
			return nil
		}
		answer := list.message(Ack)
		answer.Sequence, answer.Origin, answer.Subject = message.Sequence, message.Origin, message.Subject
		return []Outgoing{{origin.Member, answer}}
	}
	if list.probe != nil && list.probe.sequence == message.Sequence && list.probe.name == message.Subject {
		list.probe.acked = true
	}
	return nil
}

// applyUpdate applies an update of a member if it is newer than the known state, and queues it for other members; an unknown member that
// is dead or has left is not added, and an update of this member is refuted if it is newer than its own state.
func (list *List) applyUpdate(now time.Time, update Member) {
	if update.Name == list.self.Name {
		list.refute(update)
		return
	}
	known, ok := list.entries[update.Name]
	if ok && !update.supersedes(known.Member) {
		return
	}
	if !ok {
		if update.State >= Dead {
			return
		}
		known = &entry{Member: Member{State: Dead}}
		list.add(update.Name, known)
	}
	if (known.State <= Suspect) != (update.State <= Suspect) || known.Member.Name == "" {
		list.epoch++
	}
	if known.Incarnation != update.Incarnation {
		list.ForgetRelease(update.Name)
	}
	known.Member, known.since = update, now
	if update.State == Alive {
		delete(list.notAlive, update.Name)
	} else {
		list.notAlive[update.Name] = true
	}
	list.queueUpdate(update)
}

// refute raises this member's incarnation above that of an update that would supersede its own state, such as one that calls it suspect or
// dead, so that its own state supersedes the update.
func (list *List) refute(update Member) {
	if !update.supersedes(list.self) {
		return
	}
	list.self.Incarnation = update.Incarnation + 1
	list.queueUpdate(list.self)
}
