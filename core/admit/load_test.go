package admit_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/admit"
)

// The simulated load: servers that work on 32 requests at once for 100 ms each and queue the rest. A request that took twice as long is
// a sign of overload.
const (
	loadSlots    = 32
	loadWork     = 100 * time.Millisecond
	loadCapacity = float64(loadSlots) / 0.1 // requests per second
	loadAccounts = 74
	loadDuration = 400 * time.Second
)

var loadStart = time.Unix(1000, 0)

type event struct {
	at    time.Time
	order int
	do    func()
}

type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int)   { events[i], events[j] = events[j], events[i] }
func (events *events) Push(added any) { *events = append(*events, added.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// loadAccount is an account of the load with its clients, and what they got.
type loadAccount struct {
	admit.Account
	perSecond float64
	tries     int           // of one request
	patience  time.Duration // between tries; 0 for the time in Retry-After
	requests  int
	served    int
}

func (account *loadAccount) servedShare() float64 {
	return float64(account.served) / float64(account.requests)
}

// load plays requests of accounts on VMs with a limiter each that share the servers.
type load struct {
	random   *rand.Rand
	limiters []*admit.Limiter
	pending  events
	order    int
	now      time.Time
	busy     int
	queue    []waiting
	returns  []time.Time // at which refused clients were told to come back
}

// waiting is an admitted request that waits for a slot.
type waiting struct {
	limiter *admit.Limiter
	arrived time.Time
}

func newLoad(vms int) *load {
	load := &load{random: rand.New(rand.NewPCG(3, 3)), now: loadStart}
	for range vms {
		load.limiters = append(load.limiters, admit.New())
	}
	return load
}

func (load *load) after(delay time.Duration, do func()) {
	load.order++
	heap.Push(&load.pending, event{load.now.Add(delay), load.order, do})
}

// play plays the requests of accounts to the end.
func (load *load) play(accounts []*loadAccount) {
	for _, account := range accounts {
		for at := time.Duration(0); at < loadDuration; at += time.Duration(load.random.ExpFloat64() / account.perSecond * float64(time.Second)) {
			load.after(at, func() {
				account.requests++
				load.try(account, account.tries)
			})
		}
	}
	for len(load.pending) > 0 {
		next := heap.Pop(&load.pending).(event)
		load.now = next.at
		next.do()
	}
}

// try sends a request, and again after a refusal while tries are left.
func (load *load) try(account *loadAccount, tries int) {
	limiter := load.limiters[load.random.IntN(len(load.limiters))]
	ok, retryAfter := limiter.AdmitFrom(load.now, billing, &account.Account)
	if !ok {
		load.returns = append(load.returns, load.now.Add(retryAfter))
		if account.patience > 0 {
			retryAfter = account.patience
		}
		if tries > 1 {
			load.after(retryAfter, func() { load.try(account, tries-1) })
		}
		return
	}
	account.served++
	if load.busy < loadSlots {
		load.serve(waiting{limiter, load.now})
	} else {
		load.queue = append(load.queue, waiting{limiter, load.now})
	}
}

func (load *load) serve(request waiting) {
	load.busy++
	load.after(time.Duration(float64(loadWork)*(0.5+load.random.Float64())), func() {
		load.busy--
		request.limiter.Done(load.now, billing.Name, load.now.Sub(request.arrived) > 2*loadWork)
		if len(load.queue) > 0 {
			next := load.queue[0]
			load.queue = load.queue[1:]
			load.serve(next)
		}
	})
}

// unevenAccounts returns accounts with sizes by rank^-1.2, of which the hot one sends 6 times its usual load, so that demand is 150% of the
// capacity. Without hot, all send their usual
// load.
func unevenAccounts(rank int, hot bool) []*loadAccount {
	sizes := make([]float64, loadAccounts)
	sum := 0.0
	for i := range sizes {
		sizes[i] = math.Pow(float64(i+1), -1.2)
		sum += sizes[i]
	}
	scale := 1.5 * loadCapacity / (sum + 5*sizes[rank-1])
	accounts := make([]*loadAccount, loadAccounts)
	for i, size := range sizes {
		accounts[i] = &loadAccount{Account: admit.Account{Name: fmt.Sprintf("rank %d", i+1), Weight: size}, perSecond: size * scale, tries: 3}
	}
	if hot {
		accounts[rank-1].perSecond *= 6
	}
	return accounts
}

// assertOthersServed asserts that accounts other than the hot one are served at least 0.95 of what they get without it, and logs the worst
// tenth of them.
func assertOthersServed(t *testing.T, hotRank, vms int) {
	t.Helper()
	usual, withHot := unevenAccounts(hotRank, false), unevenAccounts(hotRank, true)
	newLoad(vms).play(usual)
	newLoad(vms).play(withHot)
	ratio := func(i int) float64 { return withHot[i].servedShare() / usual[i].servedShare() }
	var others []int
	for i := range withHot {
		if i != hotRank-1 {
			others = append(others, i)
		}
	}
	slices.SortFunc(others, func(i, j int) int { return cmp.Compare(ratio(i), ratio(j)) })
	for _, i := range others[:loadAccounts/10] {
		t.Logf("%s: %.3f of usual, %d of %d served", withHot[i].Name, ratio(i), withHot[i].served, withHot[i].requests)
	}
	hot := withHot[hotRank-1]
	t.Logf("hot: %d of %d served", hot.served, hot.requests)
	assert.Assert(t, ratio(others[0]) >= 0.95, "%s: %.3f", withHot[others[0]].Name, ratio(others[0]))
	assert.Assert(t, hot.served > 0)
}

// TestHotAccount guards against one account that takes the capacity of the others. Whichever of the largest accounts sends 6 times its
// usual load, so that demand is 150% of the capacity, every other account is served at least 0.95 of what it gets without.
func TestHotAccount(t *testing.T) {
	for _, test := range []struct{ rank, vms int }{{1, 1}, {2, 1}, {3, 1}, {1, 16}, {3, 16}, {1, 64}} {
		t.Run(fmt.Sprintf("rank %d is hot, VMs: %d", test.rank, test.vms), func(t *testing.T) { assertOthersServed(t, test.rank, test.vms) })
	}
}

// TestHotAccountFewRequests guards against the same on VMs that have half a slot and 5 requests a second each.
func TestHotAccountFewRequests(t *testing.T) {
	for _, rank := range []int{2, 3} {
		t.Run(fmt.Sprintf("rank %d is hot", rank), func(t *testing.T) { assertOthersServed(t, rank, 64) })
	}
}

// evenAccounts returns accounts of weight 1 that together send a multiple of the capacity.
func evenAccounts(count int, demand float64) []*loadAccount {
	accounts := make([]*loadAccount, count)
	for i := range accounts {
		accounts[i] = &loadAccount{Account: admit.Account{Name: fmt.Sprint(i), Weight: 1}, perSecond: demand * loadCapacity / float64(count), tries: 3}
	}
	return accounts
}

// TestImmediateRetries guards against precedence of clients that do not wait for the time in Retry-After: at 150% of the capacity, an
// account whose clients retry after 2 ms is served no more than the others, up to 5% by chance.
func TestImmediateRetries(t *testing.T) {
	accounts := evenAccounts(8, 1.5)
	accounts[0].patience, accounts[0].tries = 2*time.Millisecond, 50
	newLoad(1).play(accounts)
	others := 0
	for _, account := range accounts[1:] {
		others += account.served
	}
	mean := float64(others) / float64(len(accounts)-1)
	t.Logf("served %d, others in the mean %.0f", accounts[0].served, mean)
	assert.Assert(t, float64(accounts[0].served) <= 1.05*mean)
}

// assertSpread asserts that no 50 ms get more than twice the mean number of returns.
func assertSpread(t *testing.T, returns []time.Time) {
	t.Helper()
	const interval = 50 * time.Millisecond
	first, last := slices.MinFunc(returns, time.Time.Compare), slices.MaxFunc(returns, time.Time.Compare)
	counts, most := map[time.Duration]int{}, 0
	for _, at := range returns {
		counts[at.Sub(first)/interval]++
		most = max(most, counts[at.Sub(first)/interval])
	}
	mean := float64(len(returns)) / float64(last.Sub(first)/interval)
	t.Logf("returns %d, mean %.2f, most %d", len(returns), mean, most)
	assert.Assert(t, float64(most) <= 2*mean)
}

// TestSpreadReturns guards against refused clients that come back together, at 150% of the capacity.
func TestSpreadReturns(t *testing.T) {
	load := newLoad(1)
	load.play(evenAccounts(8, 1.5))
	assertSpread(t, load.returns)
}

// TestSpreadBurst guards against the same after a burst of 2,000 requests within 100 ms, at half of the capacity.
func TestSpreadBurst(t *testing.T) {
	const burst, gap = 2000, 50 * time.Microsecond
	load, accounts := newLoad(1), evenAccounts(8, 0.5)
	var returns []time.Time
	load.after(loadDuration/2, func() { load.returns = nil })
	for i := range burst {
		load.after(loadDuration/2+time.Duration(i)*gap, func() { load.try(accounts[i%len(accounts)], 1) })
	}
	load.after(loadDuration/2+burst*gap, func() { returns = slices.Clone(load.returns) })
	load.play(accounts)
	assert.Assert(t, len(returns) > burst*9/10)
	assertSpread(t, returns)
}
