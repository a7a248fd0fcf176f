package quota

import (
	"maps"
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
)

// demand is a need for tokens of one account: that of a waiting request, or what an ask of another VM lacks.
type demand struct {
	account   string
	request   uint64           // 0 for another VM's ask
	vm        string           // that asked
	askID     int64            // of its ask
	echo      rpc.ClockReading // of its ask
	forwarded bool             // no further pool may be asked
	needed    int
	got       int
	tried     []string // pools that were asked
}

// ask is an ask that this VM sent and that is not fully answered.
type ask struct {
	readAt  time.Duration // the reading from which the tokens' term counts
	demands map[string][]*demand
}

// lane holds what this VM asks one pool for.
type lane struct {
	vm              string
	pending         []*demand
	asks            map[int64]*ask
	flushScheduled  bool
	hasSent         bool
	lastSent        time.Duration
	unanswered      bool          // an ask was sent since the last grant
	unansweredSince time.Duration // when the first of them was sent
	retryAt         time.Duration // from which a pool of another failure domain that failed is asked again
}

// borrowings holds what this VM asks other VMs for, and gives them.
type borrowings struct {
	lanes         map[string]*lane
	waiting       map[uint64]*demand
	remoteDemands int // parts of other VMs' asks that wait for further pools
	lastAskID     int64
	lastAsks      map[string]*recentAsks // of each VM
	granted       int64
}

// recentAsks remembers which of the latest asks of a VM have arrived, so that none is granted twice.
type recentAsks struct {
	incarnation int64
	highest     int64
	arrived     uint64 // a bit for each ID up to the highest, which has the lowest bit
}

const rememberedAsks = 64

// isNew records an ask's arrival and reports whether it is the first; an ask long before the latest one counts as a repeated one.
func (recentAsks *recentAsks) isNew(id int64) bool {
	if ahead := id - recentAsks.highest; ahead > 0 {
		recentAsks.arrived = recentAsks.arrived<<min(uint64(ahead), rememberedAsks) | 1
		recentAsks.highest = id
		return true
	}
	behind := recentAsks.highest - id
	if behind >= rememberedAsks || recentAsks.arrived>>behind&1 == 1 {
		return false
	}
	recentAsks.arrived |= 1 << behind
	return true
}

// nextLane returns the pool to ask next for a demand, nil for none: the own pool, or if this VM is the pool, those of other failure
// domains in turn.
func (node *Node) nextLane(now time.Duration, account *account, demand *demand) *lane {
	if demand.forwarded || node.poolSilent(now) {
		return nil
	}
	candidates := node.otherPools
	if node.hasRemotePool() {
		candidates = []string{node.pool}
	}
	for _, vm := range candidates {
		if vm == node.self || slices.Contains(demand.tried, vm) || account.refusedBy[vm].until > now {
			continue
		}
		next := node.lanes[vm]
		if next == nil {
			next = &lane{vm: vm, asks: map[int64]*ask{}}
			node.lanes[vm] = next
		}
		if next.retryAt > now {
			continue
		}
		return next
	}
	return nil
}

// enqueue adds a demand to those that are sent to a pool with the next ask.
func (node *Node) enqueue(now time.Duration, lane *lane, demand *demand) {
	demand.tried = append(demand.tried, lane.vm)
	lane.pending = append(lane.pending, demand)
	node.flush(now, lane.vm)
}

// flushTime returns the time from which the next ask may be sent to a pool.
func (lane *lane) flushTime(now time.Duration) time.Duration {
	switch {
	case !lane.hasSent:
		return now
	case lane.unanswered && now-lane.unansweredSince > stallTimeout:
		return lane.lastSent + stallTimeout
	}
	return lane.lastSent + batchInterval
}

// flush sends the pending demands to a pool, or schedules it for when the next ask may be sent.
func (node *Node) flush(now time.Duration, vm string) {
	lane := node.lanes[vm]
	if lane == nil || len(lane.pending) == 0 {
		return
	}
	if due := lane.flushTime(now); due > now {
		if !lane.flushScheduled {
			lane.flushScheduled = true
			node.schedule(due, event{kind: flushDue, vm: vm})
		}
		return
	}
	node.lastAskID++
	message := rpc.QuotaAsk{ID: node.lastAskID, Reading: node.reading(now), Forwarded: vm != node.pool}
	sent := &ask{readAt: time.Duration(message.Reading.Micros) * time.Microsecond, demands: map[string][]*demand{}}
	for _, demand := range lane.pending {
		if node.wanted(demand) {
			message.Wants = node.addWant(now, message.Wants, sent, demand)
		}
	}
	lane.pending = nil
	if len(message.Wants) == 0 {
		return
	}
	lane.asks[message.ID] = sent
	lane.hasSent, lane.lastSent = true, now
	if !lane.unanswered {
		lane.unanswered, lane.unansweredSince = true, now
	}
	timeout := node.tokenTerm
	if vm != node.pool {
		timeout = poolTimeout
	}
	node.schedule(now+timeout, event{kind: askDue, vm: vm, id: uint64(message.ID)})
	node.send(vm, message)
}

// wanted reports whether a demand is still to be met.
func (node *Node) wanted(demand *demand) bool {
	return demand.request == 0 || node.waiting[demand.request] == demand
}

// addWant adds a demand to an ask, whose wants are in the order of the accounts' first demands.
func (node *Node) addWant(now time.Duration, wants []rpc.QuotaWant, sent *ask, demand *demand) []rpc.QuotaWant {
	missing := demand.needed - demand.got
	sent.demands[demand.account] = append(sent.demands[demand.account], demand)
	for i := range wants {
		if wants[i].Account == demand.account {
			wants[i].Tokens += missing
			return wants
		}
	}
	want := rpc.QuotaWant{Account: demand.account, Tokens: missing}
	if account := node.accounts[demand.account]; account != nil && demand.request != 0 && node.hasRemotePool() {
		want.Ahead = account.ahead(now, node.tokenTerm)
	}
	return append(wants, want)
}

// askTimedOut gives up an ask. A pool of another failure domain is then left alone for a time.
func (node *Node) askTimedOut(now time.Duration, vm string, id uint64) {
	lane := node.lanes[vm]
	if lane == nil || lane.asks[int64(id)] == nil {
		return
	}
	if vm != node.pool {
		lane.retryAt = now + poolRetry
	}
	timedOut := lane.asks[int64(id)]
	delete(lane.asks, int64(id))
	node.redirect(now, timedOut)
}

// redirect looks for tokens elsewhere for the demands of an ask that will not be answered.
func (node *Node) redirect(now time.Duration, failed *ask) {
	for _, name := range slices.Sorted(maps.Keys(failed.demands)) {
		for _, demand := range failed.demands[name] {
			node.proceed(now, demand)
		}
	}
}

// proceed takes tokens for a demand that were produced here meanwhile, asks the next pool, or ends the demand.
func (node *Node) proceed(now time.Duration, demand *demand) {
	if !node.wanted(demand) {
		return
	}
	account := node.accounts[demand.account]
	if account == nil {
		node.finish(now, demand, Unknown{unknownRetry})
		return
	}
	demand.got += node.take(account, now, demand.needed-demand.got)
	if demand.got == demand.needed {
		node.finish(now, demand, Admitted{now + node.tokenTerm})
	} else if lane := node.nextLane(now, account, demand); lane != nil {
		node.enqueue(now, lane, demand)
	} else {
		node.finish(now, demand, node.exhausted(now, account))
	}
}

// finish ends a demand with a verdict for its request or an answer to the VM that asked.
func (node *Node) finish(now time.Duration, demand *demand, verdict Verdict) {
	if demand.request != 0 {
		node.decide(now, demand.request, verdict)
		return
	}
	node.remoteDemands--
	node.granted += int64(demand.got)
	node.send(demand.vm, rpc.QuotaGrant{ID: demand.askID, Echo: demand.echo, Answers: []rpc.QuotaAnswer{answerTo(demand.account, demand.got, verdict)}})
}

// answerTo returns the answer to an ask for an account.
func answerTo(account string, granted int, verdict Verdict) rpc.QuotaAnswer {
	answer := rpc.QuotaAnswer{Account: account, Tokens: granted}
	switch verdict := verdict.(type) {
	case Refused:
		answer.RetryAfterMicros, answer.NextTokenMicros = max(verdict.RetryAfter.Microseconds(), 1), max(verdict.NextToken.Microseconds(), 1)
	case Unknown:
		answer.Unknown = true
	}
	return answer
}

// receiveAsk grants tokens to another VM; what is missing is asked from other pools first, unless the asking VM is a pool itself. An ask
// of this VM's own pool is not passed on: two VMs whose lists differ may be each other's pool.
func (node *Node) receiveAsk(now time.Duration, from string, message rpc.QuotaAsk) {
	known := node.lastAsks[from]
	if known == nil || known.incarnation != message.Reading.Incarnation {
		if known == nil && len(node.lastAsks) >= maxLoans {
			return
		}
		known = &recentAsks{incarnation: message.Reading.Incarnation}
		node.lastAsks[from] = known
	}
	if !known.isNew(message.ID) {
		return
	}
	forwarded := message.Forwarded || from == node.pool
	grant := rpc.QuotaGrant{ID: message.ID, Echo: message.Reading}
	for _, want := range message.Wants {
		account := node.accounts[want.Account]
		if account == nil { // this VM's configuration may be older
			grant.Answers = append(grant.Answers, rpc.QuotaAnswer{Account: want.Account, Unknown: true})
			continue
		}
		demand := &demand{account: want.Account, vm: from, askID: message.ID, echo: message.Reading, forwarded: forwarded, needed: want.Tokens}
		if answer, ok := node.serve(now, account, demand, want.Ahead); ok {
			grant.Answers = append(grant.Answers, answer)
			node.granted += int64(answer.Tokens)
		}
	}
	if len(grant.Answers) > 0 {
		node.send(from, grant)
	}
}

// serve answers a demand of another VM at once, or reports false if it asks other pools first.
func (node *Node) serve(now time.Duration, account *account, demand *demand, ahead int) (rpc.QuotaAnswer, bool) {
	demand.got = node.take(account, now, demand.needed)
	if demand.got == demand.needed {
		return answerTo(account.Name, demand.got+node.take(account, now, ahead), Admitted{}), true
	}
	lane := node.nextLane(now, account, demand)
	if lane == nil || node.remoteDemands >= maxWaiting {
		return answerTo(account.Name, demand.got, node.exhausted(now, account)), true
	}
	node.remoteDemands++
	node.enqueue(now, lane, demand)
	return rpc.QuotaAnswer{}, false
}

// receiveGrant gives the tokens of a grant to the demands for which they were asked. A grant that is doubled, too late, or for an ask of
// an earlier incarnation counts for nothing.
func (node *Node) receiveGrant(now time.Duration, from string, grant rpc.QuotaGrant) {
	lane := node.lanes[from]
	if lane == nil || lane.asks[grant.ID] == nil {
		return
	}
	answered := lane.asks[grant.ID]
	if readAt, ok := node.own(now, grant.Echo); !ok || readAt != answered.readAt {
		return
	}
	lane.unanswered, lane.retryAt = false, 0
	if from == node.pool {
		node.poolHeard = now
	}
	for _, answer := range grant.Answers {
		demands := answered.demands[answer.Account]
		delete(answered.demands, answer.Account)
		node.handOut(now, from, demands, answer, answered.readAt+node.tokenTerm)
	}
	if len(answered.demands) == 0 {
		delete(lane.asks, grant.ID)
	}
	node.flush(now, from)
}

// handOut gives tokens to demands in order, keeps what is left, and looks elsewhere for what is missing.
func (node *Node) handOut(now time.Duration, from string, demands []*demand, answer rpc.QuotaAnswer, until time.Duration) {
	account, left := node.accounts[answer.Account], answer.Tokens
	if len(demands) == 0 {
		return
	}
	if now >= until {
		left = 0
	}
	for _, demand := range demands {
		if !node.wanted(demand) {
			continue
		}
		given := min(left, demand.needed-demand.got)
		demand.got += given
		left -= given
	}
	if account != nil {
		account.addStock(now, tokens{count: left, until: until})
		if answer.RetryAfterMicros > 0 {
			within := func(micros int64) time.Duration { return min(time.Duration(micros)*time.Microsecond, maxPromise) }
			account.refusedBy[from] = refusal{until: now + within(answer.NextTokenMicros), retryAt: now + within(answer.RetryAfterMicros)}
		}
	}
	for _, demand := range demands {
		if demand.got == demand.needed && node.wanted(demand) {
			node.finish(now, demand, Admitted{until})
		} else {
			node.proceed(now, demand)
		}
	}
}

// LinkDown handles the loss of the link to a VM: what it was asked for may never be answered.
func (node *Node) LinkDown(now time.Duration, vm string) []Action {
	node.advance(now)
	lane := node.lanes[vm]
	if lane == nil || len(lane.asks) == 0 && len(lane.pending) == 0 {
		return node.takeActions()
	}
	asks, pending := lane.asks, lane.pending
	lane.asks, lane.pending, lane.unanswered = map[int64]*ask{}, nil, false
	if vm != node.pool {
		lane.retryAt = now + poolRetry
	}
	for _, id := range slices.Sorted(maps.Keys(asks)) {
		node.redirect(now, asks[id])
	}
	for _, demand := range pending {
		node.proceed(now, demand)
	}
	return node.takeActions()
}

// pruneLanes forgets the pools that this VM no longer asks.
func (node *Node) pruneLanes() {
	maps.DeleteFunc(node.lanes, func(vm string, lane *lane) bool {
		return vm != node.pool && !slices.Contains(node.otherPools, vm) && len(lane.asks) == 0 && len(lane.pending) == 0
	})
}

// AwaitsAnswer reports whether a VM was asked and has not answered yet.
func (node *Node) AwaitsAnswer(vm string) bool {
	lane := node.lanes[vm]
	return lane != nil && lane.unanswered
}
