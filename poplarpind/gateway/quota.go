package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/quota"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/every"
	"poplarpin.dev/poplarpind/peer"
)

const (
	freshListAge     = 1500 * time.Millisecond // up to which a list of VMs is passed on as current; subscribers renew their subscription each second
	quotaPoolRefresh = syncInterval
)

// quotas takes tokens for client requests and carries out what this VM's quota node decides. There is a node only if the settings permit
// quotas. Where both mutexes are held, the gateway's mu is locked first.
type quotas struct {
	gateway     *Gateway
	log         *zap.Logger
	incarnation int64

	mu          sync.Mutex // guards the fields below
	node        *quota.Node
	table       *route.Table // whose accounts the node has
	list        vmList
	chooser     *quota.PoolChooser
	pool        string
	otherPools  []string
	replies     map[string]peer.Reply // of the VMs that lend to this one or ask it
	waiters     map[uint64]chan quota.Verdict
	lastRequest uint64
	timer       *time.Timer
	timerAt     time.Duration
	logged      quota.View // the state that was logged last
}

// vmList is the list of VMs as this VM knows it.
type vmList struct {
	vms     []quota.VM // with this VM; nil until the list names it
	settled bool       // it named this VM when it was read first
	read    bool
	readAt  time.Duration
	count   int           // according to the source of store updates
	heardAt time.Duration // from that source

	unlisted bool          // this VM has been on the list, and the last one that was read lacks it
	namedAt  time.Duration // when a list was read that named this VM
}

// token is the right of one request to run; the zero token is that of a request that needs none.
type token struct {
	account  string
	admitted quota.Admitted
}

func newQuotas(gateway *Gateway) *quotas {
	quotas := &quotas{gateway: gateway, log: gateway.log, incarnation: time.Now().UnixMicro(), replies: map[string]peer.Reply{},
		waiters: map[uint64]chan quota.Verdict{}}
	if quotas.enabled() {
		now, self, bounds := bootTime(), gateway.settings.VM, gateway.settings.Bounds
		quotas.node = quota.New(self, quotas.incarnation, quota.Limits{Window: bounds.QuotaWindow, Overshoot: bounds.QuotaOvershoot, Slack: bounds.QuotaSlack}, now)
		quotas.chooser = quota.NewPoolChooser(self, now)
	}
	return quotas
}

// bootTime returns the time since the start of the machine, including the time in which it was suspended.
func bootTime() time.Duration {
	var now unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) // fails only for an unknown clock
	return time.Duration(now.Nano())
}

// enabled reports whether the settings permit quotas.
func (quotas *quotas) enabled() bool { return quotas.gateway.settings.Bounds.QuotaWindow > 0 }

// run keeps the node's pool, list of VMs and accounts current until the context ends.
func (quotas *quotas) run(ctx context.Context) {
	if quotas.enabled() {
		every.Run(ctx, quotaPoolRefresh, quotas.refresh)
	}
}

// refresh passes changes of the configuration and of the choice of pools to the node.
func (quotas *quotas) refresh() {
	quotas.applyTable(quotas.gateway.table.Load())
	gateway := quotas.gateway
	gateway.mu.Lock()
	peers := toFollowPeers(gateway.peers)
	gateway.mu.Unlock()
	settings := gateway.settings
	otherPools := follow.PoolsElsewhere(peers, settings.FailureDomain)
	self := follow.Peer{Name: settings.VM, FailureDomain: settings.FailureDomain, Cores: settings.Cores}
	ranked := follow.PoolOrder(append(peers, self), settings.FailureDomain)
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		for vm := range quotas.replies {
			if !slices.ContainsFunc(peers, func(peer follow.Peer) bool { return peer.Name == vm }) {
				delete(quotas.replies, vm)
			}
		}
		quotas.chooser.SetRanked(ranked)
		actions := quotas.choosePool(now, node, otherPools)
		quotas.logChanges(node.Summary(now))
		return actions
	})
}

// choosePool lets the chooser decide on the pool and tells the node; the caller holds mu.
func (quotas *quotas) choosePool(now time.Duration, node *quota.Node, otherPools []string) []quota.Action {
	pool, probes := quotas.chooser.Choose(now)
	var actions []quota.Action
	for _, vm := range probes {
		actions = append(actions, node.Probe(vm)...)
	}
	if pool != quotas.pool || !slices.Equal(otherPools, quotas.otherPools) {
		quotas.pool, quotas.otherPools = pool, otherPools
		actions = append(actions, node.SetPool(now, pool, otherPools)...)
	}
	return actions
}

// applyTable gives the node the accounts of a configuration.
func (quotas *quotas) applyTable(table *route.Table) {
	if table == nil || !quotas.enabled() {
		return
	}
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	if table == quotas.table || quotas.table != nil && table.Version < quotas.table.Version {
		return
	}
	quotas.table = table
	var accounts []quota.Account
	for _, account := range table.Accounts() {
		if account.RequestsPerSecond > 0 {
			accounts = append(accounts, quota.Account{Name: account.Name, RatePerSecond: account.RequestsPerSecond, Burst: account.Burst})
		}
	}
	now := bootTime()
	actions := quotas.node.SetAccounts(now, accounts)
	quotas.schedule(now)
	go quotas.carryOut(quotas.decide(actions))
}

// listRead records the list of VMs that was read from the store; listed says whether it names this VM, and registeredAt since when, in
// milliseconds, 0 if its entry does not say. A VM that restarts soon after it entered the list is not known to all others yet.
func (quotas *quotas) listRead(readAt time.Duration, peers []platform.VM, listed bool, registeredAt int64) {
	if !quotas.enabled() {
		return
	}
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	if !quotas.list.read {
		listedFor := time.Since(time.UnixMilli(registeredAt))
		quotas.list.read, quotas.list.settled = true, listed && (registeredAt == 0 || listedFor >= quota.SettleTime)
	}
	if !listed && quotas.list.vms == nil {
		return // this VM registers now
	}
	if quotas.list.unlisted = !listed; listed {
		quotas.list.namedAt = readAt
	}
	self := quotas.gateway.settings
	quotas.list.vms = []quota.VM{{FailureDomain: self.FailureDomain, Name: self.VM}}
	for _, peer := range peers {
		quotas.list.vms = append(quotas.list.vms, quota.VM{FailureDomain: peer.FailureDomain, Name: peer.Name})
	}
	quotas.list.readAt = readAt
	quotas.setVMs(bootTime())
}

// countHeard records the number of VMs that the source of store updates has just read, 0 for none, and whether its list lacks this VM.
func (quotas *quotas) countHeard(vms int, unlisted bool) {
	if vms <= 0 || !quotas.enabled() {
		return
	}
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	now := bootTime()
	list := &quotas.list
	list.count, list.heardAt = vms, now-freshListAge
	switch {
	case !unlisted && !list.unlisted:
		list.namedAt = max(list.namedAt, list.heardAt)
	case unlisted && list.vms != nil && list.heardAt > list.namedAt:
		list.unlisted = true
	}
	quotas.setVMs(now)
}

// setVMs passes the list of VMs to the node; the caller holds mu.
func (quotas *quotas) setVMs(now time.Duration) {
	list := &quotas.list
	if quotas.node == nil || list.vms == nil {
		return
	}
	count := list.count
	if list.readAt > list.heardAt {
		count = 0
	}
	age := max(now-max(list.readAt, list.heardAt), 0)
	quotas.node.SetVMs(now, quota.VMs{Listed: list.vms, Count: count, Age: age, Settled: list.settled, Unlisted: list.unlisted, NamedAt: list.namedAt})
}

// currentCount returns the number of VMs if there are quotas and this VM has just read the list, else 0.
func (quotas *quotas) currentCount() int {
	if !quotas.enabled() {
		return 0
	}
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	if bootTime()-quotas.list.readAt > freshListAge {
		return 0
	}
	return len(quotas.list.vms)
}

// step passes an event to the node, if there is one, and carries out the resulting actions without holding mu.
func (quotas *quotas) step(event func(now time.Duration, node *quota.Node) []quota.Action) {
	quotas.mu.Lock()
	if quotas.node == nil {
		quotas.mu.Unlock()
		return
	}
	now := bootTime()
	sends := quotas.decide(event(now, quotas.node))
	quotas.schedule(now)
	quotas.mu.Unlock()
	quotas.carryOut(sends)
}

// schedule sets the timer for the node's next tick; the caller holds mu.
func (quotas *quotas) schedule(now time.Duration) {
	next := quotas.node.Next(now)
	switch {
	case quotas.timer == nil:
		quotas.timer = time.AfterFunc(next-now, quotas.tick)
	case next < quotas.timerAt || quotas.timerAt <= now:
		quotas.timer.Reset(next - now)
	default:
		return
	}
	quotas.timerAt = next
}

func (quotas *quotas) tick() {
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		quotas.timerAt = now
		return node.Tick(now)
	})
}

// decide tells waiting requests their verdicts and returns the messages to send; the caller holds mu.
func (quotas *quotas) decide(actions []quota.Action) []quota.Send {
	var sends []quota.Send
	for _, action := range actions {
		switch action := action.(type) {
		case quota.Send:
			sends = append(sends, action)
		case quota.Decide:
			if waiter := quotas.waiters[action.Request]; waiter != nil {
				waiter <- action.Verdict
				delete(quotas.waiters, action.Request)
			}
		}
	}
	return sends
}

// carryOut sends messages: what answers another VM on the link that the VM opened, the others on this VM's own links.
func (quotas *quotas) carryOut(sends []quota.Send) {
	for _, send := range sends {
		method := send.Message.QuotaMethod()
		if reply := quotas.replyTo(send); reply != nil {
			reply(method, send.Message)
			continue
		}
		quotas.gateway.mu.Lock()
		vm, known := quotas.gateway.fleet.Endpoint(send.VM)
		quotas.gateway.mu.Unlock()
		if !known {
			quotas.linkDown(send.VM)
			continue
		}
		quotas.gateway.mesh.Notify(send.VM, vm.Address, peer.Message{Method: method, Params: send.Message, OnUnsent: func(peer.Kind) { quotas.linkDown(send.VM) }})
	}
}

// replyTo returns the function that answers the VM for which a message is meant, nil if the message is no answer.
func (quotas *quotas) replyTo(send quota.Send) peer.Reply {
	switch message := send.Message.(type) {
	case rpc.QuotaAsk:
		return nil
	case rpc.QuotaLoan:
		if message.VMs > 0 {
			return nil
		}
	}
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	return quotas.replies[send.VM]
}

// awaitsAnswer reports whether a VM was asked for tokens and has not answered yet.
func (quotas *quotas) awaitsAnswer(vm string) bool {
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	return quotas.node != nil && quotas.node.AwaitsAnswer(vm)
}

// linkDown ends the wait for what was asked of a VM.
func (quotas *quotas) linkDown(vm string) {
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		quotas.chooser.Lost(vm)
		actions := quotas.choosePool(now, node, quotas.otherPools)
		return append(node.LinkDown(now, vm), actions...)
	})
}

// receive handles a message of another VM; reply is nil if the VM answers on a link of this VM.
func (quotas *quotas) receive(from string, reply peer.Reply, message rpc.QuotaMessage) {
	quotas.step(func(now time.Duration, node *quota.Node) []quota.Action {
		if reply != nil {
			quotas.replies[from] = reply
		}
		var actions []quota.Action
		if loan, ok := message.(rpc.QuotaLoan); ok && loan.VMs == 0 { // a reading of the clock, which only pools and probed VMs send
			quotas.chooser.Heard(now, from)
			actions = quotas.choosePool(now, node, quotas.otherPools)
		}
		return append(actions, node.Receive(now, from, message)...)
	})
}

// logChanges logs changes of the node's state; the caller holds mu.
func (quotas *quotas) logChanges(state quota.View) {
	before := quotas.logged
	quotas.logged = state
	quotaState.Store(&state)
	if state.Pool != before.Pool {
		quotas.log.Info("quota pool changed", zap.String("pool", state.Pool), zap.String("before", before.Pool))
	}
	if state.LentTo != before.LentTo {
		quotas.log.Info("quota loan changed", zap.String("lentTo", state.LentTo), zap.String("before", before.LentTo))
	}
	if state.Silent != before.Silent && state.Pool == before.Pool {
		quotas.log.Info("quota pool lost or regained", zap.String("pool", state.Pool), zap.Bool("silent", state.Silent))
	}
	if state.Loans != before.Loans {
		quotas.log.Info("number of quota shares on loan changed", zap.Int("loans", state.Loans), zap.Int("before", before.Loans), zap.Float64("fraction", state.Fraction))
	}
	if state.VMs != before.VMs {
		quotas.log.Info("number of VMs for quotas changed", zap.Int("vms", state.VMs), zap.Int("before", before.VMs))
	}
}
