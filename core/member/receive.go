package member

import "time"

// Receive takes a message and returns the answers.
func (list *List) Receive(now time.Time, message Message) []Outgoing {
	if message.From.Name == list.self.Name {
		return nil
	}
	list.learn(now, message.From)
	for _, update := range message.Updates {
		list.learn(now, update)
	}
	list.hear(message.From.Name, message.Release)
	switch message.Kind {
	case Ping:
		return list.ack(message)
	case Indirect:
		return list.relay(message)
	case Ack:
		return list.acked(message)
	case Sync:
		return []Outgoing{{message.From, list.message(SyncReply)}}
	}
	return nil
}

// ack answers a ping; an indirect one is answered to its origin by way of the helper.
func (list *List) ack(message Message) []Outgoing {
	answer := list.message(Ack)
	answer.Sequence, answer.Origin = message.Sequence, message.Origin
	answer.Subject = list.self.Name
	return []Outgoing{{message.From, answer}}
}

func (list *List) relay(message Message) []Outgoing {
	entry, ok := list.entries[message.Subject]
	if !ok {
		return nil
	}
	ping := list.message(Ping)
	ping.Sequence, ping.Origin = message.Sequence, message.From.Name
	return []Outgoing{{entry.Member, ping}}
}

func (list *List) acked(message Message) []Outgoing {
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

// learn takes news of a member, refutes false news of this one, and passes on what is new.
func (list *List) learn(now time.Time, news Member) {
	if news.Name == list.self.Name {
		list.refute(news)
		return
	}
	known, ok := list.entries[news.Name]
	if ok && !news.supersedes(known.Member) {
		return
	}
	if !ok {
		if news.State >= Dead {
			return
		}
		known = &entry{Member: Member{State: Dead}}
		list.add(news.Name, known)
	}
	if (known.State <= Suspect) != (news.State <= Suspect) || known.Member.Name == "" {
		list.epoch++
	}
	if known.Incarnation != news.Incarnation {
		list.ForgetRelease(news.Name)
	}
	known.Member, known.since = news, now
	if news.State == Alive {
		delete(list.doubtful, news.Name)
	} else {
		list.doubtful[news.Name] = true
	}
	list.gossip(news)
}

// refute raises the own incarnation above news that says that this member is suspect or dead.
func (list *List) refute(news Member) {
	if !news.supersedes(list.self) {
		return
	}
	list.self.Incarnation = news.Incarnation + 1
	list.gossip(list.self)
}
