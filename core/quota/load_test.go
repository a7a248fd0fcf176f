package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
)

const (
	accountCount = 74
	warmUp       = 8 * time.Second // buckets start empty
	loadEnd      = 30 * time.Second
	peakStart    = 12 * time.Second
	peakEnd      = 22 * time.Second
	hot          = 2 // index of the account that sends 6 times its usual load
)

// newAccounts returns accounts whose usual rates fall with rank^-1.2, with a quota of 1.6 times the usual rate and a burst of one second.
func newAccounts(requestsPerSecond float64) (accounts []quota.Account, usual []float64) {
	sum := 0.0
	for i := range accountCount {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i := range accountCount {
		rate := requestsPerSecond * math.Pow(float64(i+1), -1.2) / sum
		usual = append(usual, rate)
		accounts = append(accounts, quota.Account{Name: fmt.Sprintf("account%02d", i), RatePerSecond: 1.6 * rate, Burst: 1.6 * rate})
	}
	return accounts, usual
}

// sendLoad sends each account's requests to random VMs at random times, those of the hot account 6 times as often during the peak.
func (fleet *fleet) sendLoad(usual []float64, withHot bool) {
	for i, rate := range usual {
		var next func()
		next = func() {
			peak := fleet.now >= peakStart && fleet.now < peakEnd
			factor := 1.0
			if withHot && i == hot && peak {
				factor = 6
			}
			fleet.after(time.Duration(fleet.random.ExpFloat64()/(rate*factor)*float64(time.Second)), func() {
				if fleet.now > warmUp {
					fleet.send(fleet.vms[fleet.random.IntN(len(fleet.vms))], fleet.accounts[i].Name)
				}
				next()
			})
		}
		next()
	}
}

// refusedShare returns the refused part of the requests of all accounts together but the hot one.
func (fleet *fleet) totals(of func(account string) bool) outcomes {
	var total outcomes
	for _, vm := range fleet.vms {
		for account, counts := range vm.outcomes {
			if of(account) {
				total.admitted += counts.admitted
				total.refused += counts.refused
				total.unknown += counts.unknown
			}
		}
	}
	return total
}

func (counts outcomes) refusedShare() float64 {
	return float64(counts.refused+counts.unknown) / float64(max(counts.admitted+counts.refused+counts.unknown, 1))
}

func assertWithinQuotas(t *testing.T, fleet *fleet) {
	t.Helper()
	for _, account := range fleet.accounts {
		assert.Assert(t, fleet.overuse(account) <= 0, "account %s is %.1f over its bound", account.Name, fleet.overuse(account))
	}
}

// assertMessages guards against traffic beyond the two messages of each loan renewal and two for each batch of tokens, with as much again
// for asks between pools.
func assertMessages(t *testing.T, fleet *fleet, requestsPerSecond float64) {
	t.Helper()
	total, most := 0, 0
	for _, vm := range fleet.vms {
		total += vm.sent
		most = max(most, vm.sent)
	}
	perSecond := float64(total) / loadEnd.Seconds()
	t.Logf("%d VMs, %.0f requests/s: %.1f messages/s in all, %.1f from the busiest VM", len(fleet.vms), requestsPerSecond, perSecond,
		float64(most)/loadEnd.Seconds())
	assert.Assert(t, perSecond <= 2*float64(len(fleet.vms))/0.75+4*requestsPerSecond)
}

var fleetSizes = []struct {
	vms               int
	requestsPerSecond float64
}{{8, 30}, {64, 50}, {300, 235}}

// TestQuietLoad guards against refusals of accounts that stay within their quotas: 74 accounts at their usual load on 8, 64 and 300 VMs.
func TestQuietLoad(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs", size.vms), func(t *testing.T) {
			accounts, usual := newAccounts(size.requestsPerSecond)
			fleet := newZones(1, size.vms, limits, accounts)
			fleet.sendLoad(usual, false)
			fleet.run(loadEnd)
			all := fleet.totals(func(string) bool { return true })
			t.Logf("%+v", all)
			assert.Assert(t, all.refusedShare() < 0.01, "%+v", all)
			assertWithinQuotas(t, fleet)
			assertMessages(t, fleet, size.requestsPerSecond)
		})
	}
}

// TestHotAccountInPartition guards against an account that takes others' quotas or exceeds its own: one of 74 accounts sends 6 times its
// usual load for 10 s, while one of three failure domains is cut off.
func TestHotAccountInPartition(t *testing.T) {
	for _, size := range fleetSizes {
		t.Run(fmt.Sprintf("%d VMs", size.vms), func(t *testing.T) {
			accounts, usual := newAccounts(size.requestsPerSecond)
			fleet := newZones(2, size.vms, limits, accounts)
			fleet.cut = func(from, to *testVM) bool {
				return fleet.now > peakStart+time.Second && fleet.now < peakEnd-time.Second && (from.domain == "zone1") != (to.domain == "zone1")
			}
			fleet.sendLoad(usual, true)
			fleet.run(loadEnd)
			hotName := accounts[hot].Name
			others := fleet.totals(func(account string) bool { return account != hotName })
			ofHot := fleet.totals(func(account string) bool { return account == hotName })
			t.Logf("others %+v, hot %+v", others, ofHot)
			assert.Assert(t, others.refusedShare() < 0.03, "%+v", others)
			for _, account := range accounts {
				counts := fleet.totals(func(name string) bool { return name == account.Name })
				assert.Assert(t, account.Name == hotName || counts.refusedShare() < 0.03 || counts.refused+counts.unknown <= 1, "%s: %+v", account.Name, counts)
			}
			assertWithinQuotas(t, fleet)
			assertMessages(t, fleet, size.requestsPerSecond+5*usual[hot])
		})
	}
}

// TestPoolFails guards against refusals beyond the time in which lenders change to another pool: the pool of one of three failure domains
// fails under the usual load of 74 accounts on 64 VMs, and its VMs choose another after 600 ms.
func TestPoolFails(t *testing.T) {
	accounts, usual := newAccounts(50)
	fleet := newZones(3, 64, limits, accounts)
	fleet.after(peakStart, func() {
		fleet.vms[0].down = true
		for _, vm := range fleet.vms {
			fleet.step(vm, vm.node.LinkDown(vm.clock(fleet), fleet.vms[0].name))
		}
	})
	fleet.after(peakStart+600*time.Millisecond, fleet.usePools)
	fleet.sendLoad(usual, false)
	fleet.run(loadEnd)
	all := fleet.totals(func(string) bool { return true })
	t.Logf("%+v", all)
	assert.Assert(t, all.refusedShare() < 0.03, "%+v", all)
	assertWithinQuotas(t, fleet)
}

// TestHotAccountFillsItsWindows guards against an account that is refused while the last window holds fewer of its requests than its quota
// permits: one of 74 accounts sends 6 times its usual load to 64 VMs for 10 s.
func TestHotAccountFillsItsWindows(t *testing.T) {
	accounts, usual := newAccounts(50)
	fleet := newZones(3, 64, limits, accounts)
	fleet.sendLoad(usual, true)
	fleet.run(loadEnd)
	account := accounts[hot]
	quotaOfWindow := account.RatePerSecond*limits.Window.Seconds() + account.Burst
	for end := peakStart + limits.Window; end <= peakEnd; end += time.Second / 4 {
		used := 0
		for _, at := range fleet.uses[account.Name] {
			if at > end-limits.Window && at <= end {
				used++
			}
		}
		assert.Assert(t, float64(used) >= 0.97*quotaOfWindow, "%d of %.1f until %s", used, quotaOfWindow, end)
	}
	assertWithinQuotas(t, fleet)
}
