package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
	"poplarpin.dev/core/rpc"
)

var limits = quota.Limits{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}

// testVM is a VM of a simulated fleet, with a clock of its own.
type testVM struct {
	name, domain string
	node         *quota.Node
	addedAt      time.Duration // -time.Hour for a VM of the first list
	offset       time.Duration // of its clock
	serial       int64         // of its process
	down         bool
	frozenUntil  time.Duration
	tickAt       time.Duration
	waiting      map[uint64]string // accounts of waiting requests
	sent         int
	outcomes     map[string]*outcomes
	list         []quota.VM // as last read
	readAt       time.Duration
	without      string // account that this VM's configuration lacks
}

// outcomes counts the verdicts on one account's requests.
type outcomes struct{ admitted, refused, unknown int }

type scheduled struct {
	at   time.Duration
	seq  int
	work func()
}

type schedule []scheduled

func (schedule schedule) Len() int { return len(schedule) }
func (schedule schedule) Less(i, j int) bool {
	return schedule[i].at < schedule[j].at || schedule[i].at == schedule[j].at && schedule[i].seq < schedule[j].seq
}
func (schedule schedule) Swap(i, j int) { schedule[i], schedule[j] = schedule[j], schedule[i] }
func (schedule *schedule) Push(x any)   { *schedule = append(*schedule, x.(scheduled)) }
func (schedule *schedule) Pop() any {
	last := len(*schedule) - 1
	popped := (*schedule)[last]
	*schedule = (*schedule)[:last]
	return popped
}

// fleet simulates VMs and their links on virtual time.
type fleet struct {
	now            time.Duration
	random         *rand.Rand
	limits         quota.Limits
	queue          schedule
	seq            int
	vms            []*testVM
	listed         []quota.VM // the list in the store
	accounts       []quota.Account
	uses           map[string][]time.Duration
	request        uint64
	serial         int64
	cut            func(from, to *testVM) bool // no message passes
	storeReachable func(vm *testVM) bool
	delays         func(from, to *testVM) []time.Duration
}

func newFleet(seed uint64, limits quota.Limits, accounts []quota.Account) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 1)), limits: limits, accounts: accounts, uses: map[string][]time.Duration{}}
	fleet.cut = func(_, _ *testVM) bool { return false }
	fleet.storeReachable = func(*testVM) bool { return true }
	fleet.delays = func(from, to *testVM) []time.Duration {
		delay := 300*time.Microsecond + time.Duration(fleet.random.ExpFloat64()*float64(2*time.Millisecond))
		if from.domain != to.domain {
			delay += 2450 * time.Microsecond
		}
		return []time.Duration{delay}
	}
	return fleet
}

func (fleet *fleet) after(delay time.Duration, work func()) {
	fleet.seq++
	heap.Push(&fleet.queue, scheduled{fleet.now + delay, fleet.seq, work})
}

func (fleet *fleet) run(until time.Duration) {
	for len(fleet.queue) > 0 && fleet.queue[0].at <= until {
		next := heap.Pop(&fleet.queue).(scheduled)
		fleet.now = next.at
		next.work()
	}
	fleet.now = until
}

func (fleet *fleet) byName(name string) *testVM {
	at := slices.IndexFunc(fleet.vms, func(vm *testVM) bool { return vm.name == name })
	if at < 0 {
		return nil
	}
	return fleet.vms[at]
}

// add adds a VM to the fleet and its list, and starts it.
func (fleet *fleet) add(name, domain string) *testVM {
	vm := &testVM{name: name, domain: domain, addedAt: fleet.now, outcomes: map[string]*outcomes{}}
	fleet.vms = append(fleet.vms, vm)
	fleet.listed = append(fleet.listed, quota.VM{FailureDomain: domain, Name: name})
	fleet.start(vm)
	return vm
}

// remove ends a VM and removes it from the list.
func (fleet *fleet) remove(vm *testVM) {
	vm.down = true
	fleet.listed = slices.DeleteFunc(slices.Clone(fleet.listed), func(listed quota.VM) bool { return listed.Name == vm.name })
}

// start starts a VM's process, without memory of an earlier one.
func (fleet *fleet) start(vm *testVM) {
	fleet.serial++
	vm.serial, vm.down, vm.frozenUntil, vm.tickAt = fleet.serial, false, 0, -1
	vm.offset = time.Duration(fleet.random.Int64N(int64(time.Hour)))
	vm.waiting = map[uint64]string{}
	vm.node = quota.New(vm.name, vm.serial, fleet.limits, vm.clock(fleet))
	fleet.step(vm, vm.node.SetAccounts(vm.clock(fleet), vm.configured(fleet)))
	fleet.readList(vm, vm.serial, fleet.now-vm.addedAt > 12*time.Second)
}

// configured returns the accounts of a VM's configuration.
func (vm *testVM) configured(fleet *fleet) []quota.Account {
	return slices.DeleteFunc(slices.Clone(fleet.accounts), func(account quota.Account) bool { return account.Name == vm.without })
}

// configure removes an account from the configuration of all VMs, or adds it again, on each VM within a second.
func (fleet *fleet) configure(without string) {
	for _, vm := range fleet.vms {
		fleet.after(time.Duration(fleet.random.Int64N(int64(time.Second))), func() {
			fleet.whenAwake(vm, vm.serial, func() {
				vm.without = without
				fleet.step(vm, vm.node.SetAccounts(vm.clock(fleet), vm.configured(fleet)))
			})
		})
	}
}

// readList lets a VM read the list of VMs now and every 4 s, unless the store cannot be reached.
func (fleet *fleet) readList(vm *testVM, serial int64, settled bool) {
	fleet.whenAwake(vm, serial, func() {
		if vm.list == nil || fleet.storeReachable(vm) {
			vm.list, vm.readAt = slices.Clone(fleet.listed), fleet.now
		}
		fleet.step(vm, vm.node.SetVMs(vm.clock(fleet), quota.VMs{Listed: vm.list, Age: fleet.now - vm.readAt, Settled: settled}))
		fleet.after(4*time.Second, func() { fleet.readList(vm, serial, settled) })
	})
}

func (vm *testVM) clock(fleet *fleet) time.Duration { return fleet.now + vm.offset }

// whenAwake runs work on a VM now, or when it is no longer frozen; work for an earlier process is lost.
func (fleet *fleet) whenAwake(vm *testVM, serial int64, work func()) {
	switch {
	case vm.down || serial != vm.serial:
	case vm.frozenUntil > fleet.now:
		fleet.after(vm.frozenUntil-fleet.now, func() { fleet.whenAwake(vm, serial, work) })
	default:
		work()
	}
}

// step carries out a node's actions and schedules its next tick.
func (fleet *fleet) step(vm *testVM, actions []quota.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case quota.Send:
			vm.sent++
			fleet.deliver(vm, fleet.byName(action.VM), action.Message)
		case quota.Decide:
			name := vm.waiting[action.Request]
			delete(vm.waiting, action.Request)
			if action.Verdict != (quota.Admitted{}) { // else the account's quota was removed
				fleet.record(vm, name, action.Verdict)
			}
		}
	}
	next := vm.node.Next(vm.clock(fleet)) - vm.offset
	if vm.tickAt > fleet.now && vm.tickAt <= next {
		return
	}
	vm.tickAt = next
	serial := vm.serial
	fleet.after(next-fleet.now, func() {
		fleet.whenAwake(vm, serial, func() {
			if vm.tickAt <= fleet.now {
				vm.tickAt = -1
				fleet.step(vm, vm.node.Tick(vm.clock(fleet)))
			}
		})
	})
}

func (fleet *fleet) deliver(from, to *testVM, message rpc.QuotaMessage) {
	if to == nil || to.down || fleet.cut(from, to) {
		return
	}
	serial := to.serial
	for _, delay := range fleet.delays(from, to) {
		fleet.after(delay, func() {
			fleet.whenAwake(to, serial, func() {
				fleet.step(to, to.node.Receive(to.clock(fleet), from.name, message))
			})
		})
	}
}

// send sends a request of an account to a VM.
func (fleet *fleet) send(vm *testVM, account string) {
	serial := vm.serial
	fleet.whenAwake(vm, serial, func() {
		if vm.without == account {
			return // it would need no token
		}
		fleet.request++
		verdict, actions := vm.node.Admit(vm.clock(fleet), account, fleet.request, 400*time.Millisecond)
		if _, waits := verdict.(quota.Waiting); waits {
			vm.waiting[fleet.request] = account
		} else {
			fleet.record(vm, account, verdict)
		}
		fleet.step(vm, actions)
	})
}

func (fleet *fleet) record(vm *testVM, account string, verdict quota.Verdict) {
	counts := vm.outcomes[account]
	if counts == nil {
		counts = &outcomes{}
		vm.outcomes[account] = counts
	}
	switch verdict.(type) {
	case quota.Admitted:
		counts.admitted++
		fleet.uses[account] = append(fleet.uses[account], fleet.now)
	case quota.Refused:
		counts.refused++
	case quota.Unknown:
		counts.unknown++
	}
}

// usePools makes the first VM of each failure domain that is up the pool of its VMs.
func (fleet *fleet) usePools() {
	best := map[string]string{}
	var order []string
	for _, vm := range fleet.vms {
		if best[vm.domain] == "" && !vm.down {
			best[vm.domain] = vm.name
			order = append(order, vm.name)
		}
	}
	for _, vm := range fleet.vms {
		others := slices.DeleteFunc(slices.Clone(order), func(name string) bool { return name == best[vm.domain] })
		fleet.step(vm, vm.node.SetPool(vm.clock(fleet), best[vm.domain], others))
	}
}

// overuse returns by how many requests an account exceeds its bound in the worst window; negative if it never does.
func (fleet *fleet) overuse(account quota.Account) float64 {
	bound := (account.RatePerSecond*fleet.limits.Window.Seconds()+account.Burst)*(1+fleet.limits.Overshoot) + fleet.limits.Slack
	uses, first, worst := fleet.uses[account.Name], 0, -bound
	slices.Sort(uses)
	for last := range uses {
		for uses[last]-uses[first] > fleet.limits.Window {
			first++
		}
		worst = max(worst, float64(last-first+1)-bound)
	}
	return worst
}

// assertProduction checks that the VMs that are up produce no more than all shares, and that no bucket exceeds its depth.
func (fleet *fleet) assertProduction(t assert.TestingT) {
	sum := 0.0
	for _, vm := range fleet.vms {
		if vm.down {
			continue
		}
		view := vm.node.View(vm.clock(fleet))
		sum += view.Fraction
		for _, account := range view.Accounts {
			assert.Assert(t, account.Level <= float64(account.Depth), "%s: %+v", vm.name, account)
		}
	}
	assert.Assert(t, sum <= 1+1e-9, "%v of the quotas is produced", sum)
}

// newZones returns a fleet in three failure domains whose VMs were listed before it starts.
func newZones(seed uint64, vms int, limits quota.Limits, accounts []quota.Account) *fleet {
	fleet := newFleet(seed, limits, accounts)
	for i := range vms {
		fleet.listed = append(fleet.listed, quota.VM{FailureDomain: fmt.Sprintf("zone%d", i%3), Name: fmt.Sprintf("vm%03d", i)})
	}
	for _, listed := range fleet.listed {
		vm := &testVM{name: listed.Name, domain: listed.FailureDomain, addedAt: -time.Hour, outcomes: map[string]*outcomes{}}
		fleet.vms = append(fleet.vms, vm)
		fleet.start(vm)
	}
	fleet.usePools()
	return fleet
}
