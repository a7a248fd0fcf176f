package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
	"poplarpin.dev/core/rpc"
)

const (
	second   = time.Second
	minute   = time.Minute // the tests' start, long after the processes started
	tokenEnd = 200 * time.Millisecond
	loanTerm = 700 * time.Millisecond
)

var (
	slow      = quota.Account{Name: "slow", RatePerSecond: 0.001}
	bulk      = quota.Account{Name: "bulk", RatePerSecond: 10, Burst: 10}
	twoVMs    = quota.VMs{Listed: []quota.VM{{FailureDomain: "a", Name: "a1"}, {FailureDomain: "a", Name: "a2"}}, Settled: true}
	fiveVMs   = quota.VMs{Listed: append([]quota.VM{{FailureDomain: "b", Name: "b1"}, {FailureDomain: "b", Name: "b2"}, {FailureDomain: "b", Name: "b3"}}, twoVMs.Listed...), Settled: true}
	objective = 400 * time.Millisecond
)

// newNode returns a node that was started a minute before, with the accounts bulk and slow, in a fleet of two. A pool that is another VM is chosen
// at the end, and has the node's share on loan.
func newNode(self, pool string, otherPools ...string) *quota.Node {
	node := quota.New(self, 7, limits, 0)
	node.SetAccounts(0, []quota.Account{bulk, slow})
	if pool == self {
		node.SetPool(0, pool, otherPools)
	}
	for now := time.Duration(0); now <= minute; now += second {
		node.SetVMs(now, twoVMs)
		node.Tick(now)
	}
	node.SetPool(minute, pool, otherPools)
	node.Receive(minute, pool, rpc.QuotaLoan{Reading: rpc.ClockReading{Incarnation: 1, Micros: 1}})
	return node
}

// drain admits requests until one is not admitted, and returns their number and the last verdict.
func drain(node *quota.Node, now time.Duration) (int, quota.Verdict) {
	for count := 0; ; count++ {
		verdict, _ := node.Admit(now, "bulk", uint64(1000+count), objective)
		if _, ok := verdict.(quota.Admitted); !ok {
			return count, verdict
		}
	}
}

// sentAsk returns the only ask among actions.
func sentAsk(t *testing.T, actions []quota.Action) rpc.QuotaAsk {
	t.Helper()
	assert.Equal(t, len(actions), 1)
	ask, ok := actions[0].(quota.Send).Message.(rpc.QuotaAsk)
	assert.Assert(t, ok, "%v", actions[0])
	return ask
}

// askOne lets a request wait for a token and returns the ask for it.
func askOne(t *testing.T, node *quota.Node, now time.Duration, request uint64) rpc.QuotaAsk {
	t.Helper()
	verdict, actions := node.Admit(now, "bulk", request, objective)
	assert.Equal(t, verdict, quota.Waiting{})
	return sentAsk(t, actions)
}

func grantOf(ask rpc.QuotaAsk, answer rpc.QuotaAnswer) rpc.QuotaGrant {
	answer.Account = "bulk"
	return rpc.QuotaGrant{ID: ask.ID, Echo: ask.Reading, Answers: []rpc.QuotaAnswer{answer}}
}

func assertDecides(t *testing.T, actions []quota.Action, verdict quota.Verdict) {
	t.Helper()
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].(quota.Decide).Verdict, verdict)
}

// lend lets a1 lend its share to the node, and returns the loan.
func lend(node *quota.Node, now time.Duration) rpc.QuotaLoan {
	reading := node.Receive(now, "a1", rpc.QuotaLoan{VMs: 2})[0].(quota.Send).Message.(rpc.QuotaLoan).Reading
	loan := rpc.QuotaLoan{Echo: reading, VMs: 2}
	node.Receive(now, "a1", loan)
	return loan
}

func TestTokensOfPool(t *testing.T) {
	t.Run("a token's term counts from the ask", func(t *testing.T) {
		node := newNode("a1", "a2")
		ask := askOne(t, node, minute, 1)
		node.Tick(minute + second/10)
		actions := node.Receive(minute+tokenEnd-time.Millisecond, "a2", grantOf(ask, rpc.QuotaAnswer{Tokens: 2}))
		assert.Equal(t, len(actions), 0) // the request has given up meanwhile
		verdict, _ := node.Admit(minute+tokenEnd-time.Millisecond, "bulk", 2, objective)
		assert.Equal(t, verdict, quota.Admitted{Until: minute + tokenEnd})
		verdict, _ = node.Admit(minute+tokenEnd, "bulk", 3, objective)
		assert.Equal(t, verdict, quota.Waiting{})
	})
	t.Run("a VM that was suspended finds its tokens expired and the grants that waited useless", func(t *testing.T) {
		node := newNode("a1", "a2")
		ask := askOne(t, node, minute, 1)
		node.Receive(minute+second, "a2", grantOf(ask, rpc.QuotaAnswer{Tokens: 2}))
		count, _ := drain(node, minute+second)
		assert.Equal(t, count, 0)
	})
	t.Run("a doubled grant counts once", func(t *testing.T) {
		node := newNode("a1", "a2")
		ask := askOne(t, node, minute, 1)
		grant := grantOf(ask, rpc.QuotaAnswer{Tokens: 2})
		assertDecides(t, node.Receive(minute, "a2", grant), quota.Admitted{Until: minute + tokenEnd})
		assert.Equal(t, len(node.Receive(minute, "a2", grant)), 0)
		count, _ := drain(node, minute)
		assert.Equal(t, count, 1)
	})
	t.Run("a grant for an ask of an earlier process counts for nothing", func(t *testing.T) {
		node := newNode("a1", "a2")
		ask := askOne(t, node, minute, 1)
		ask.Reading.Incarnation--
		assert.Equal(t, len(node.Receive(minute, "a2", grantOf(ask, rpc.QuotaAnswer{Tokens: 2}))), 0)
	})
	t.Run("a refunded token keeps its term", func(t *testing.T) {
		node := newNode("a1", "a2")
		node.Refund(minute, "bulk", quota.Admitted{Until: minute + tokenEnd})
		node.Refund(minute+tokenEnd, "bulk", quota.Admitted{Until: minute + tokenEnd})
		count, _ := drain(node, minute+tokenEnd)
		assert.Equal(t, count, 0)
		node.Refund(minute+tokenEnd, "bulk", quota.Admitted{Until: minute + 2*tokenEnd})
		count, _ = drain(node, minute+tokenEnd)
		assert.Equal(t, count, 1)
	})
	t.Run("a doubled ask is granted once", func(t *testing.T) {
		node := newNode("a2", "a2")
		ask := rpc.QuotaAsk{ID: 1, Reading: rpc.ClockReading{Incarnation: 3}, Wants: []rpc.QuotaWant{{Account: "bulk", Tokens: 1}}}
		assert.Equal(t, len(node.Receive(minute, "a1", ask)), 1)
		assert.Equal(t, len(node.Receive(minute, "a1", ask)), 0)
	})
	t.Run("a pool with an older configuration does not refuse", func(t *testing.T) {
		node := newNode("a2", "a2")
		ask := rpc.QuotaAsk{ID: 1, Reading: rpc.ClockReading{Incarnation: 3}, Wants: []rpc.QuotaWant{{Account: "new", Tokens: 1}}}
		grant := node.Receive(minute, "a1", ask)[0].(quota.Send).Message.(rpc.QuotaGrant)
		assert.DeepEqual(t, grant.Answers, []rpc.QuotaAnswer{{Account: "new", Unknown: true}})
		borrower := newNode("a1", "a2")
		asked := askOne(t, borrower, minute, 1)
		assertDecides(t, borrower.Receive(minute, "a2", grantOf(asked, rpc.QuotaAnswer{Unknown: true})), quota.Unknown{RetryAfter: second / 4})
		askOne(t, borrower, minute+second/2, 2)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("a VM refuses until the pool's next token and asks again then, also while tokens are promised", func(t *testing.T) {
		node := newNode("a1", "a2")
		ask := askOne(t, node, minute, 1)
		answer := rpc.QuotaAnswer{RetryAfterMicros: 5_000_000, NextTokenMicros: 500_000}
		assertDecides(t, node.Receive(minute, "a2", grantOf(ask, answer)), quota.Refused{RetryAfter: 5 * second, NextToken: second / 2})
		verdict, _ := node.Admit(minute+second/4, "bulk", 2, objective)
		assert.Equal(t, verdict, quota.Refused{RetryAfter: 4750 * time.Millisecond, NextToken: second / 4})
		askOne(t, node, minute+second/2, 3)
	})
	t.Run("each refusal promises the next token, at most 5 s ahead", func(t *testing.T) {
		node := newNode("a2", "a2")
		count, first := drain(node, minute)
		assert.Equal(t, count, 7) // half of 0.75 x 20; the burst is produced steadily
		_, next := drain(node, minute)
		interval := next.(quota.Refused).RetryAfter - first.(quota.Refused).RetryAfter
		assert.Assert(t, interval > 155*time.Millisecond && interval < 165*time.Millisecond, "%s", interval) // (10 + 10 / 5) x 1.04 tokens/s / 2
		for range 100 {
			_, next = drain(node, minute)
		}
		assert.Equal(t, next.(quota.Refused).RetryAfter, 5*second)
		assert.Assert(t, next.(quota.Refused).NextToken < 200*time.Millisecond, "%s", next.(quota.Refused).NextToken)
	})
	t.Run("without an answer a request is refused as unknown after a quarter of its objective", func(t *testing.T) {
		node := newNode("a1", "a2")
		node.Admit(minute, "bulk", 1, 80*time.Millisecond)
		assert.Equal(t, len(node.Tick(minute+20*time.Millisecond-1)), 0)
		assertDecides(t, node.Tick(minute+20*time.Millisecond), quota.Unknown{RetryAfter: second / 4})
	})
	t.Run("when the pool's link is lost, requests that wait for it are refused as unknown", func(t *testing.T) {
		node := newNode("a1", "a2")
		askOne(t, node, minute, 1)
		assertDecides(t, node.LinkDown(minute, "a2"), quota.Unknown{RetryAfter: second / 4})
	})
	t.Run("a VM without a pool uses its share, then does not know", func(t *testing.T) {
		node := newNode("a1", "")
		count, verdict := drain(node, minute)
		assert.Equal(t, count, 8)
		assert.Equal(t, verdict, quota.Unknown{RetryAfter: second / 4})
	})
	t.Run("waiting requests are bounded, and asks are 2 ms apart", func(t *testing.T) {
		node := newNode("a1", "a2")
		asks, waiting := 0, 0
		for request := range uint64(6000) {
			verdict, actions := node.Admit(minute+time.Duration(request)*time.Microsecond, "bulk", request+1, objective)
			asks += len(actions)
			if verdict == (quota.Waiting{}) {
				waiting++
			}
		}
		assert.Equal(t, waiting, 4096)
		assert.Assert(t, asks <= 3, "%d", asks)
	})
}

func TestShares(t *testing.T) {
	t.Run("a loan ends loanTerm after the reading that it returns", func(t *testing.T) {
		node := newNode("a2", "a2")
		loan := lend(node, minute)
		assert.Equal(t, node.Summary(minute+loanTerm-1).Fraction, 1.0)
		node.Receive(minute+loanTerm-1, "a1", loan) // doubled
		assert.Equal(t, node.Summary(minute+loanTerm).Fraction, 0.5)
	})
	t.Run("a share counts as full when no window contains tokens that another VM produced from it", func(t *testing.T) {
		node := newNode("a2", "a2")
		level := func(at time.Duration) int { return int(node.View(at).Accounts[1].Level) }
		own := level(minute)
		settled := minute + 5*second + 2*tokenEnd
		for now := minute; now < settled; now += second / 2 {
			lend(node, now)
		}
		assert.Equal(t, level(settled-1), own)
		assert.Equal(t, level(settled), 15) // 0.75 x 20
	})
	t.Run("a loan for a reading of an earlier process counts for nothing", func(t *testing.T) {
		node := newNode("a2", "a2")
		echo := rpc.ClockReading{Incarnation: 6, Micros: minute.Microseconds()}
		node.Receive(minute, "a1", rpc.QuotaLoan{Echo: echo, VMs: 2})
		assert.Equal(t, node.Summary(minute).Fraction, 0.5)
	})
	t.Run("an owner changes its pool only after its loan has ended", func(t *testing.T) {
		node := newNode("a1", "a2")
		assert.Equal(t, len(node.Receive(minute, "a2", rpc.QuotaLoan{Reading: rpc.ClockReading{Incarnation: 1, Micros: 5}})), 1)
		node.SetPool(minute, "b1", nil)
		reading := rpc.ClockReading{Incarnation: 1, Micros: 5}
		assert.Equal(t, len(node.Receive(minute+loanTerm-1, "b1", rpc.QuotaLoan{Reading: reading})), 0)
		assert.Equal(t, node.Summary(minute+loanTerm-1).Fraction, 0.0)
		reading.Micros++
		assert.Equal(t, len(node.Receive(minute+loanTerm, "b1", rpc.QuotaLoan{Reading: reading})), 1)
	})
	t.Run("a restarted owner waits until a loan of its former process has ended", func(t *testing.T) {
		node := quota.New("a1", 8, limits, minute)
		node.SetAccounts(minute, []quota.Account{bulk})
		node.SetVMs(minute, twoVMs)
		assert.Equal(t, node.Summary(minute+loanTerm-1).Fraction, 0.0)
		assert.Equal(t, node.Summary(minute+loanTerm).Fraction, 0.5)
	})
	t.Run("a VM that enters the list waits until every VM counts it, but asks", func(t *testing.T) {
		node := quota.New("a1", 8, limits, minute)
		node.SetAccounts(minute, []quota.Account{bulk})
		listed := twoVMs
		listed.Settled = false
		node.SetVMs(minute, listed)
		node.SetPool(minute, "a2", nil)
		assert.Equal(t, node.Summary(minute+8*second).Fraction, 0.0)
		askOne(t, node, minute, 1)
		assert.Equal(t, node.Summary(minute+13*second).Fraction, 1/3.0) // its list is old by now
	})
	t.Run("the number of VMs rises at once and falls after 10 s", func(t *testing.T) {
		node := newNode("a1", "")
		node.SetVMs(minute, fiveVMs)
		assert.Equal(t, node.Summary(minute).VMs, 5)
		node.SetVMs(minute+second, twoVMs)
		assert.Equal(t, node.Summary(minute+second).VMs, 5)
		node.SetVMs(minute+11*second, twoVMs)
		assert.Equal(t, node.Summary(minute+11*second).VMs, 2)
		counted := twoVMs
		counted.Count = 4
		node.SetVMs(minute+12*second, counted)
		assert.Equal(t, node.Summary(minute+12*second).VMs, 4)
	})
	t.Run("a quarter more VMs are assumed when the list is old", func(t *testing.T) {
		node := newNode("a1", "")
		node.SetVMs(minute, fiveVMs)
		assert.Equal(t, node.Summary(minute+10*second).VMs, 7)
	})
}

func TestChangedQuotas(t *testing.T) {
	t.Run("a lowered quota cuts the bucket", func(t *testing.T) {
		node := newNode("a2", "a2")
		node.SetAccounts(minute, []quota.Account{{Name: "bulk", RatePerSecond: 1, Burst: 1}})
		count, _ := drain(node, minute)
		assert.Equal(t, count, 7) // half of 0.75 x 20
	})
	t.Run("a raised quota fills from now on", func(t *testing.T) {
		node := newNode("a2", "a2")
		node.SetAccounts(minute, []quota.Account{{Name: "bulk", RatePerSecond: 100, Burst: 100}})
		count, _ := drain(node, minute)
		assert.Equal(t, count, 7)
	})
	t.Run("an account that is new, or was removed long ago, starts with a full bucket; one that was removed within a window does not", func(t *testing.T) {
		node := newNode("a2", "a2")
		later, without := minute+minute, []quota.Account{slow}
		admits := func(at time.Duration, expected int) {
			t.Helper()
			node.SetAccounts(at, []quota.Account{bulk, slow})
			count, _ := drain(node, at)
			assert.Equal(t, count, expected)
		}
		admits(minute, 7)
		node.SetAccounts(minute, without)
		admits(minute+second, 0)
		node.SetAccounts(minute+second, without)
		for now := minute; now <= later; now += second {
			node.SetVMs(now, twoVMs)
		}
		admits(later, 7)
	})
	t.Run("requests of a dropped account need no token, also those that wait", func(t *testing.T) {
		node := newNode("a1", "a2")
		askOne(t, node, minute, 1)
		assertDecides(t, node.SetAccounts(minute, []quota.Account{{Name: "bulk"}}), quota.Admitted{})
		verdict, actions := node.Admit(minute, "bulk", 2, objective)
		assert.Equal(t, verdict, quota.Admitted{})
		assert.Equal(t, len(actions), 0)
	})
	t.Run("without quotas only the share is lent", func(t *testing.T) {
		node := quota.New("a1", 8, limits, minute)
		node.SetVMs(minute, twoVMs)
		for _, actions := range [][]quota.Action{node.SetPool(minute, "a2", nil), node.Tick(minute + second)} {
			assert.Assert(t, len(actions) > 0 && len(actions) <= 2, "%d", len(actions)) // an offer each interval, and one at the end of loanTerm
			for _, action := range actions {
				_, loan := action.(quota.Send).Message.(rpc.QuotaLoan)
				assert.Assert(t, loan)
			}
		}
		verdict, actions := node.Admit(minute+second, "unknown", 1, objective)
		assert.Equal(t, verdict, quota.Admitted{})
		assert.Equal(t, len(actions), 0)
	})
}

func TestOtherPools(t *testing.T) {
	t.Run("a pool that has too little asks the others in turn", func(t *testing.T) {
		node := newNode("a2", "a2", "b1", "c1")
		_, verdict := drain(node, minute)
		assert.Equal(t, verdict, quota.Waiting{})
		next := node.Tick(minute + 35*time.Millisecond) // b1 does not answer
		assert.Equal(t, next[0].(quota.Send).VM, "c1")
		ask := sentAsk(t, next)
		assert.Assert(t, ask.Forwarded)
		assertDecides(t, node.Receive(minute+40*time.Millisecond, "c1", grantOf(ask, rpc.QuotaAnswer{Tokens: 1})), quota.Admitted{Until: minute + 235*time.Millisecond})
	})
	t.Run("a forwarded ask is answered without asking further pools", func(t *testing.T) {
		node := newNode("a2", "a2", "b1")
		drain(node, minute)
		ask := rpc.QuotaAsk{ID: 1, Reading: rpc.ClockReading{Incarnation: 3}, Forwarded: true, Wants: []rpc.QuotaWant{{Account: "bulk", Tokens: 1}}}
		actions := node.Receive(minute, "b1", ask)
		assert.Assert(t, actions[0].(quota.Send).Message.(rpc.QuotaGrant).Answers[0].RetryAfterMicros > 0)
	})
}

// TestUnlisted guards against a share with two holders: a VM that has vanished from the list, and those that do not count it any more.
func TestUnlisted(t *testing.T) {
	set := func(node *quota.Node, now time.Duration, unlisted bool, namedAt time.Duration) {
		vms := twoVMs
		vms.Unlisted, vms.NamedAt = unlisted, namedAt
		node.SetVMs(now, vms)
	}
	t.Run("its share ends before others stop counting it", func(t *testing.T) {
		node := newNode("a1", "a1")
		set(node, minute+4*second, true, minute)
		assert.Equal(t, node.Summary(minute+9*second).Fraction, 0.5)
		assert.Equal(t, node.Summary(minute+10*second-loanTerm).Fraction, 0.0)
	})
	t.Run("it lends no share either", func(t *testing.T) {
		node := newNode("a1", "a2")
		set(node, minute+4*second, true, minute)
		lent := func(now time.Duration, micros int64) bool {
			return len(node.Receive(now, "a2", rpc.QuotaLoan{Reading: rpc.ClockReading{Incarnation: 1, Micros: micros}})) > 0
		}
		assert.Assert(t, lent(minute+9*second, 2))
		assert.Assert(t, !lent(minute+10*second-loanTerm, 3))
	})
	t.Run("back on the list later, it counts as new", func(t *testing.T) {
		node := newNode("a1", "a1")
		set(node, minute+4*second, true, minute)
		back := minute + 21*second
		set(node, back, false, back)
		set(node, back+9*second, false, back+9*second)
		assert.Equal(t, node.Summary(back+quota.SettleTime-1).Fraction, 0.0)
		assert.Equal(t, node.Summary(back+quota.SettleTime).Fraction, 0.5)
	})
	t.Run("back on the list in time, it goes on", func(t *testing.T) {
		node := newNode("a1", "a1")
		set(node, minute+4*second, true, minute)
		set(node, minute+9*second, false, minute+9*second)
		assert.Equal(t, node.Summary(minute+18*second).Fraction, 0.5)
	})
}
