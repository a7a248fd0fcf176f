package quota_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/quota"
)

// disturb makes one random change to a fleet.
func disturb(t *rapid.T, fleet *fleet, store map[string]bool, cut map[string]int) {
	vm := fleet.vms[rapid.IntRange(0, len(fleet.vms)-1).Draw(t, "vm")]
	other := fleet.vms[rapid.IntRange(0, len(fleet.vms)-1).Draw(t, "other")]
	switch rapid.IntRange(0, 14).Draw(t, "change") {
	case 0:
		vm.frozenUntil = fleet.now + time.Duration(rapid.IntRange(100, 7000).Draw(t, "frozen"))*time.Millisecond
	case 1:
		if slices.Contains(fleet.listed, quota.VM{FailureDomain: vm.domain, Name: vm.name}) {
			fleet.start(vm)
		}
	case 2:
		if len(fleet.listed) > 3 {
			fleet.remove(vm)
		}
	case 3:
		if len(fleet.vms) == cap(fleet.vms) { // one is added in each run: more VMs than a VM with an old list assumes are not tolerated
			return
		}
		fleet.add("added", other.domain)
	case 4, 5, 6, 7:
		if !vm.down && vm.frozenUntil <= fleet.now {
			pool := rapid.SampledFrom([]string{"", vm.name, other.name, other.name}).Draw(t, "pool")
			fleet.step(vm, vm.node.SetPool(vm.clock(fleet), pool, []string{fleet.vms[0].name, other.name}))
		}
	case 8:
		store[vm.name] = !store[vm.name]
	case 9:
		cut[vm.name] = rapid.IntRange(0, 2).Draw(t, "side")
	case 10:
		if !vm.down && vm.frozenUntil <= fleet.now {
			fleet.step(vm, vm.node.LinkDown(vm.clock(fleet), other.name))
		}
	case 13, 14:
		fleet.configure(rapid.SampledFrom([]string{"large", "small"}).Draw(t, "without"))
		fleet.after(time.Duration(rapid.IntRange(1000, 6000).Draw(t, "removed"))*time.Millisecond, func() { fleet.configure("") })
	case 11, 12:
		burst := rapid.IntRange(20, 400).Draw(t, "burst")
		account := rapid.SampledFrom(fleet.accounts).Draw(t, "account").Name
		for range burst {
			fleet.after(time.Duration(fleet.random.Int64N(int64(time.Second))), func() { fleet.send(fleet.vms[fleet.random.IntN(len(fleet.vms))], account) })
		}
	}
}

// TestQuotasHold guards against accounts that exceed their quota in any window, and shares that two VMs produce at a time. Messages are
// lost, doubled and delayed by seconds, VMs are cut off, frozen, restarted, added and removed, accounts come and go, lists of VMs differ, and
// VMs choose any VM as their pool.
func TestQuotasHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		accounts := []quota.Account{
			{Name: "large", RatePerSecond: float64(rapid.IntRange(10, 60).Draw(t, "rate")), Burst: float64(rapid.IntRange(0, 60).Draw(t, "burst"))},
			{Name: "small", RatePerSecond: 1, Burst: 1},
		}
		bounds := limits
		bounds.Slack = rapid.SampledFrom([]float64{0, limits.Slack}).Draw(t, "slack") // without slack small errors show
		fleet := newZones(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 9).Draw(t, "vms"), bounds, accounts)
		fleet.vms = append(make([]*testVM, 0, len(fleet.vms)+1), fleet.vms...)
		store, cut := map[string]bool{}, map[string]int{}
		fleet.storeReachable = func(vm *testVM) bool { return !store[vm.name] }
		fleet.cut = func(from, to *testVM) bool { return cut[from.name] != cut[to.name] }
		lost, doubled, late := rapid.IntRange(0, 20).Draw(t, "lost"), rapid.IntRange(0, 20).Draw(t, "doubled"), rapid.IntRange(0, 20).Draw(t, "late")
		delay := fleet.delays
		fleet.delays = func(from, to *testVM) []time.Duration {
			var delays []time.Duration
			for copies := 1; copies > 0; copies-- {
				switch roll := fleet.random.IntN(100); {
				case roll < lost:
				case roll < lost+doubled:
					copies++
				case roll < lost+doubled+late:
					delays = append(delays, time.Duration(fleet.random.Int64N(int64(6*time.Second))))
				default:
					delays = append(delays, delay(from, to)...)
				}
			}
			return delays
		}
		for end := 8 * time.Second; fleet.now < 50*time.Second; {
			perStep := rapid.SampledFrom([]int{0, 0, 20, 200}).Draw(t, "perStep") // buckets fill while there are no requests
			for fleet.now < end {
				for range perStep {
					fleet.send(fleet.vms[fleet.random.IntN(len(fleet.vms))], accounts[fleet.random.IntN(2)].Name)
				}
				fleet.run(fleet.now + time.Duration(fleet.random.Int64N(int64(200*time.Millisecond))))
				fleet.assertProduction(t)
			}
			disturb(t, fleet, store, cut)
			end += time.Duration(rapid.IntRange(10, 4000).Draw(t, "pause")) * time.Millisecond
		}
		for _, account := range accounts {
			assert.Assert(t, fleet.overuse(account) <= 0, "account %s is %.1f over its bound", account.Name, fleet.overuse(account))
		}
	})
}
