package quota

import (
	"time"
)

// Admit decides on a request of an account. A request for which Waiting is returned gets its verdict by a Decide action after at most a
// quarter of its objective, within [10 ms, 100 ms]; its ID must not be zero or that of another waiting request.
func (node *Node) Admit(now time.Duration, name string, request uint64, objective time.Duration) (Verdict, []Action) {
	node.advance(now)
	account := node.accounts[name]
	if account == nil {
		return Admitted{}, nil
	}
	verdict := node.admit(now, account, request, objective)
	if _, waits := verdict.(Waiting); !waits {
		account.record(now, verdict)
	}
	return verdict, node.takeActions()
}

// admit decides on a request at once, or adds it to the waiting ones.
func (node *Node) admit(now time.Duration, account *account, request uint64, objective time.Duration) Verdict {
	if until, ok := account.takeStock(now); ok {
		return Admitted{until}
	}
	if node.take(account, now, 1) == 1 {
		return Admitted{now + node.tokenTerm}
	}
	demand := &demand{account: account.Name, request: request, needed: 1}
	lane := node.nextLane(now, account, demand)
	if lane == nil {
		return node.exhausted(now, account)
	}
	if len(node.waiting) >= maxWaiting {
		return Unknown{unknownRetry}
	}
	wait := maxWait
	if objective > 0 {
		wait = min(max(objective/4, minWait), maxWait)
	}
	node.waiting[request] = demand
	node.schedule(now+wait, event{kind: deadlineDue, id: request})
	node.enqueue(now, lane, demand)
	return Waiting{}
}

// exhausted returns the verdict for a request when there is no token here and no pool is left to ask.
func (node *Node) exhausted(now time.Duration, account *account) Verdict {
	if node.pool == node.self {
		if node.fraction == 0 || now < node.unsteadyUntil {
			return Unknown{unknownRetry}
		}
		return node.promise(account, now)
	}
	if refusal := account.refusedBy[node.pool]; refusal.until > now {
		return Refused{max(refusal.retryAt, refusal.until) - now, refusal.until - now}
	}
	return Unknown{unknownRetry}
}

// record counts a verdict.
func (account *account) record(now time.Duration, verdict Verdict) {
	account.counts.Record(verdict)
	if _, ok := verdict.(Admitted); ok {
		account.recordUse(now)
	}
}

// Record counts a verdict.
func (counts *Counts) Record(verdict Verdict) {
	switch verdict.(type) {
	case Admitted:
		counts.Admitted++
	case Refused:
		counts.Refused++
	case Unknown:
		counts.Unknown++
	}
}

// Refund returns the token of a request that was admitted and reached no target.
func (node *Node) Refund(now time.Duration, name string, admitted Admitted) {
	node.advance(now)
	if account := node.accounts[name]; account != nil {
		account.addStock(now, tokens{count: 1, until: admitted.Until})
	}
}

// Cancel ends the wait of a request whose client has left.
func (node *Node) Cancel(request uint64) { delete(node.waiting, request) }

// decide ends the wait of a request with a verdict.
func (node *Node) decide(now time.Duration, request uint64, verdict Verdict) {
	demand, ok := node.waiting[request]
	if !ok {
		return
	}
	delete(node.waiting, request)
	if account := node.accounts[demand.account]; account != nil {
		account.record(now, verdict)
	}
	node.actions = append(node.actions, Decide{request, verdict})
}

// admitWithoutQuota admits the waiting requests of accounts that have no quota any more.
func (node *Node) admitWithoutQuota(now time.Duration) {
	for request, demand := range node.waiting {
		if node.accounts[demand.account] == nil {
			node.decide(now, request, Admitted{})
		}
	}
}

// AccountView is the state of an account's quota on this VM.
type AccountView struct {
	Name          string  `json:"name"`
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	Depth         int     `json:"depth"` // of the bucket here
	Level         float64 `json:"level"`
	UsePerSecond  float64 `json:"usePerSecond"`
	Counts
}

// View is a snapshot of a Node.
type View struct {
	Pool     string        `json:"pool"` // empty for none
	Silent   bool          `json:"silent"`
	LentTo   string        `json:"lentTo"`   // empty if this VM's share is not lent
	Fraction float64       `json:"fraction"` // of all quotas that is produced here
	Loans    int           `json:"loans"`    // shares of other VMs among it
	VMs      int           `json:"vms"`      // among which the quotas are divided
	Waiting  int           `json:"waiting"`
	Granted  int64         `json:"granted"` // tokens given to other VMs
	Accounts []AccountView `json:"accounts,omitempty"`
}

// Summary returns a snapshot without the accounts.
func (node *Node) Summary(now time.Duration) View {
	node.advance(now)
	view := View{Pool: node.pool, Silent: node.poolSilent(now), Fraction: node.fraction, VMs: node.ownShare.vms, Waiting: len(node.waiting), Granted: node.granted}
	if now < node.lentUntil {
		view.LentTo = node.lentTo
	}
	for _, loan := range node.loans {
		if loan.share.vms > 0 {
			view.Loans++
		}
	}
	return view
}

// View returns a snapshot.
func (node *Node) View(now time.Duration) View {
	view := node.Summary(now)
	for _, name := range node.names {
		account := node.accounts[name]
		node.fill(account, now)
		view.Accounts = append(view.Accounts, AccountView{Name: name, RatePerSecond: account.RatePerSecond, Burst: account.Burst, Depth: account.depth,
			Level: account.level, UsePerSecond: account.recentUse(now), Counts: account.counts})
	}
	return view
}
