package quota

import (
	"container/heap"
	"maps"
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
)

const (
	loanTerm       = 700 * time.Millisecond
	loanInterval   = 450 * time.Millisecond // a pool sends a reading to a lender this often; a renewal has the rest of loanTerm to arrive
	maxListAge     = 10 * time.Second       // beyond which more VMs are assumed than listed
	oldListFactor  = 1.25
	batchInterval  = 2 * time.Millisecond   // a VM asks the same pool at most this often
	poolTimeout    = 35 * time.Millisecond  // a pool of another failure domain has this time to answer; two in turn answer within maxWait
	stallTimeout   = 100 * time.Millisecond // after this time without an answer of the own pool, one ask is sent in each such interval
	poolRetry      = time.Second            // before a pool of another failure domain that did not answer is asked again
	maxPromise     = 5 * time.Second
	minWait        = 10 * time.Millisecond
	maxWait        = 100 * time.Millisecond
	unknownRetry   = 250 * time.Millisecond
	minTokenTerm   = 20 * time.Millisecond
	rateShare      = 0.4 // the fill rate uses this part of the overshoot, and the time in which tokens are used the same part again
	slackShare     = 0.75
	fullBurstSlack = 10.0 // requests of slack from which on the whole burst is produced steadily
	unsteadyLoss   = 0.75 // a pool whose shares fall below this part at once doesn't know whether quotas are used up
	maxWaiting     = 4096 // requests that wait for tokens, and parts of other VMs' asks that wait for further pools
	usageSpan      = time.Second
	minAhead       = 2.0 // average number of tokens used in a token's term from which on tokens are asked ahead
	maxLoans       = 1 << 14
	watchdogPeriod = time.Second
)

// SettleTime is the time after which every VM counts a VM that has entered the list: those with an older list assume more VMs by then, and
// so do the loans to their pools.
const SettleTime = maxListAge + 2*loanTerm

// Limits are the bounds within which quotas must hold.
type Limits struct {
	Window    time.Duration // in which requests are counted
	Overshoot float64       // tolerated fraction above a quota
	Slack     float64       // requests tolerated on top
}

// Account is a client account with a quota.
type Account struct {
	Name          string
	RatePerSecond float64 // 0 for no quota
	Burst         float64
}

// VM is a VM on the list.
type VM struct{ FailureDomain, Name string }

// VMs describes the list of VMs, as far as this VM knows it.
type VMs struct {
	Listed  []VM
	Count   int // number of VMs according to the VM that sends store updates; 0 if unknown
	Age     time.Duration
	Settled bool // this VM was listed already when it started
	// Unlisted says that the list lacks this VM, which was on it when it was read at NamedAt.
	Unlisted bool
	NamedAt  time.Duration
}

// Verdict is the decision about a request: Admitted, Refused, Unknown or Waiting.
type Verdict interface{ verdict() }

// Admitted says that the request may run; Until is zero if it needs no token.
type Admitted struct{ Until time.Duration }

// Refused says that the account's quota is used up.
type Refused struct {
	RetryAfter time.Duration // until the account's next token that is not promised to others
	NextToken  time.Duration // until the account's next token, which goes to whoever asks first
}

// Unknown says that there is no token here and that the quota is not known to be used up.
type Unknown struct{ RetryAfter time.Duration }

// Waiting says that the verdict follows in a Decide.
type Waiting struct{}

func (Admitted) verdict() {}
func (Refused) verdict()  {}
func (Unknown) verdict()  {}
func (Waiting) verdict()  {}

// Action is a step that a Node asks its caller to carry out: Send or Decide.
type Action interface{ action() }

// Send asks to send a message to a VM.
type Send struct {
	VM      string
	Message rpc.QuotaMessage
}

// Decide carries the verdict for a waiting request.
type Decide struct {
	Request uint64
	Verdict Verdict
}

func (Send) action()   {}
func (Decide) action() {}

// Node is one VM's part in the quotas of all VMs. Times are readings of a clock that also advances while the VM is suspended.
type Node struct {
	self        string
	incarnation int64
	limits      Limits
	tokenTerm   time.Duration
	accounts    map[string]*account
	removedAt   map[string]time.Duration // of accounts that were removed within settleSpan
	names       []string                 // of the accounts, sorted
	actions     []Action
	events      eventQueue
	ticking     bool // the periodic events are scheduled

	shares     // production
	borrowings // tokens of other VMs
}

// New returns a Node without accounts, VMs and pool. The incarnation differs between runs of this VM's process.
func New(self string, incarnation int64, limits Limits, now time.Duration) *Node {
	tokenTerm := time.Duration(rateShare * limits.Overshoot * float64(limits.Window))
	return &Node{
		self: self, incarnation: incarnation, limits: limits, tokenTerm: max(tokenTerm, minTokenTerm), accounts: map[string]*account{}, removedAt: map[string]time.Duration{},
		shares:     newShares(now),
		borrowings: borrowings{lanes: map[string]*lane{}, waiting: map[uint64]*demand{}, lastAsks: map[string]*recentAsks{}},
	}
}

// reading returns a reading of this VM's clock for other VMs.
func (node *Node) reading(now time.Duration) rpc.ClockReading {
	return rpc.ClockReading{Incarnation: node.incarnation, Micros: now.Microseconds()}
}

// own returns the time of a reading of this VM's clock that another VM returned; it reports whether this process made it.
func (node *Node) own(now time.Duration, reading rpc.ClockReading) (time.Duration, bool) {
	at := time.Duration(reading.Micros) * time.Microsecond
	return at, reading.Incarnation == node.incarnation && at <= now
}

func (node *Node) send(vm string, message rpc.QuotaMessage) {
	node.actions = append(node.actions, Send{vm, message})
}

func (node *Node) takeActions() []Action {
	actions := node.actions
	node.actions = nil
	return actions
}

// SetAccounts replaces the accounts. Waiting requests of accounts without quota are admitted.
func (node *Node) SetAccounts(now time.Duration, accounts []Account) []Action {
	node.advance(now)
	maps.DeleteFunc(node.removedAt, func(_ string, at time.Duration) bool { return now-at > node.settleSpan() })
	next := map[string]*account{}
	for _, configured := range accounts {
		if !(configured.RatePerSecond > 0) {
			continue
		}
		known := node.accounts[configured.Name]
		if known == nil {
			known = node.addAccount(configured, now)
		}
		if known.Account != configured {
			node.fill(known, now)
			node.resize(known, configured)
			clear(known.refusedBy)
			known.promisedUntil = 0
		}
		next[configured.Name] = known
	}
	for name := range node.accounts {
		if next[name] == nil {
			node.removedAt[name] = now
		}
	}
	node.accounts, node.names = next, node.names[:0]
	for name := range next {
		node.names = append(node.names, name)
	}
	slices.Sort(node.names)
	node.admitWithoutQuota(now)
	node.startTicking(now)
	return node.takeActions()
}

// addAccount returns the state of an account that is new in the configuration. Its bucket starts full as far as shares have been here for
// settleSpan, since no other VM can have used them for it; an account that was removed recently may have used its tokens.
func (node *Node) addAccount(configured Account, now time.Duration) *account {
	settlesAt := time.Duration(0)
	if _, removed := node.removedAt[configured.Name]; removed {
		settlesAt = now + node.settleSpan()
	}
	added := newAccount(configured.Name, settlesAt, now)
	added.Account = configured
	added.depth, added.fresh = node.bucketSize(added)
	added.full = float64(added.depth)
	if settlesAt == 0 {
		added.release()
	}
	return added
}

// startTicking schedules the periodic events.
func (node *Node) startTicking(now time.Duration) {
	if !node.ticking {
		node.ticking = true
		node.schedule(now, event{kind: offerDue})
		node.schedule(node.ownFrom, event{kind: lendDue})
	}
}

type eventKind int

const (
	offerDue    eventKind = iota // an offer to the pool may be due
	lendDue                      // this VM's share may be lent from now on
	readingDue                   // a reading for a lender is due
	flushDue                     // waiting demands may be sent to a pool
	askDue                       // an ask has timed out
	deadlineDue                  // a request has waited long enough
)

// event is something that is due at a time; an event that is no longer relevant does nothing.
type event struct {
	at   time.Duration
	kind eventKind
	vm   string
	id   uint64
}

type eventQueue []event

// Len implements heap.Interface.
func (queue eventQueue) Len() int { return len(queue) }

// Less implements heap.Interface.
func (queue eventQueue) Less(i, j int) bool { return queue[i].at < queue[j].at }

// Swap implements heap.Interface.
func (queue eventQueue) Swap(i, j int) { queue[i], queue[j] = queue[j], queue[i] }

// Push implements heap.Interface.
func (queue *eventQueue) Push(x any) { *queue = append(*queue, x.(event)) }

// Pop implements heap.Interface.
func (queue *eventQueue) Pop() any {
	last := len(*queue) - 1
	popped := (*queue)[last]
	*queue = (*queue)[:last]
	return popped
}

func (node *Node) schedule(at time.Duration, event event) {
	event.at = at
	heap.Push(&node.events, event)
}

// Next returns the time at which Tick is due.
func (node *Node) Next(now time.Duration) time.Duration {
	if len(node.events) == 0 {
		return now + watchdogPeriod
	}
	return max(node.events[0].at, now)
}

// Tick handles what is due.
func (node *Node) Tick(now time.Duration) []Action {
	node.advance(now)
	for len(node.events) > 0 && node.events[0].at <= now {
		switch due := heap.Pop(&node.events).(event); due.kind {
		case offerDue:
			node.offer(now)
		case lendDue:
			node.sendOffer()
		case readingDue:
			node.sendReading(now, due.vm, due.id)
		case flushDue:
			if lane := node.lanes[due.vm]; lane != nil {
				lane.flushScheduled = false
			}
			node.flush(now, due.vm)
		case askDue:
			node.askTimedOut(now, due.vm, due.id)
		case deadlineDue:
			node.decide(now, due.id, Unknown{unknownRetry})
		}
	}
	return node.takeActions()
}

// Receive handles a message of another VM.
func (node *Node) Receive(now time.Duration, from string, message rpc.QuotaMessage) []Action {
	node.advance(now)
	switch message := message.(type) {
	case rpc.QuotaLoan:
		if message.VMs > 0 {
			node.receiveLoan(now, from, message)
		} else {
			node.receiveReading(now, from, message.Reading)
		}
	case rpc.QuotaAsk:
		node.receiveAsk(now, from, message)
	case rpc.QuotaGrant:
		node.receiveGrant(now, from, message)
	}
	return node.takeActions()
}
