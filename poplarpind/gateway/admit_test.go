package gateway

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

func newTestGateway() *Gateway {
	return New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.NewNop())
}

func gatherRoute(number int) *route.Route {
	return &route.Route{Name: fmt.Sprintf("r%d", number), Destination: route.Gather{Shards: []string{fmt.Sprintf("s%d", number)}}}
}

// TestLimitersKeepRequests guards against requests that end at another limiter than the one that admitted them: the count of those in
// flight would fall below zero there, and the limit would never again be reached. It happens when limiters are dropped meanwhile.
func TestLimitersKeepRequests(t *testing.T) {
	gateway := newTestGateway()
	first, ok, _ := gateway.admit(gatherRoute(0), nil)
	assert.Assert(t, ok)
	for number := 1; number <= 2*maxLimiters; number++ {
		limiter, ok, _ := gateway.admit(gatherRoute(number), nil)
		assert.Assert(t, ok)
		limiter.Done(time.Now(), gatherRoute(number).Name, false)
	}
	assert.Assert(t, len(gateway.limiters) <= maxLimiters)
	again, ok, _ := gateway.admit(gatherRoute(0), nil)
	assert.Assert(t, ok)
	assert.Assert(t, again == first)
	assert.Equal(t, first.InFlight(), 2)
}

// TestRequestTimeout guards against a client's longer timeout that is cut although its route sets none.
func TestRequestTimeout(t *testing.T) {
	for _, test := range []struct{ ofRoute, ofClient, want time.Duration }{
		{0, 0, defaultTimeout}, {0, time.Minute, time.Minute}, {time.Second, time.Minute, time.Second},
		{time.Minute, time.Second, time.Second}, {time.Minute, 0, time.Minute},
	} {
		assert.Equal(t, requestTimeout(test.ofRoute, test.ofClient), test.want, "%v", test)
	}
}

// TestDelayOfDistantClient guards against a long network path that counts as a delay of this VM and makes it answer all clients earlier: a
// run's answer is planned for half of the objective at the earliest.
func TestDelayOfDistantClient(t *testing.T) {
	gateway, now := newTestGateway(), time.Now()
	gateway.recordDelay(now, &job{route: &route.Route{Objective: 100 * time.Millisecond}, margin: 65 * time.Millisecond, started: now.Add(-55 * time.Millisecond)})
	assert.Equal(t, gateway.responseDelay, 5*time.Millisecond)
}

// TestPeersExcludeSelf guards against a VM that relays to itself: the list that a seed sends to a VM that starts may contain that VM.
func TestPeersExcludeSelf(t *testing.T) {
	gateway := newTestGateway()
	gateway.setPeers([]platform.VM{{Name: "vm-a1", FailureDomain: "a", Address: "x"}, {Name: "vm-a2", FailureDomain: "a", Address: "y"}})
	assert.Equal(t, len(gateway.peers), 1)
	assert.Assert(t, !gateway.fleet.Has("vm-a1"))
	assert.Assert(t, gateway.fleet.Has("vm-a2"))
}

// TestAdmissionAccount guards against requests without an account that are counted as several accounts, and against accounts where the
// configuration has none: admission must then decide as without them.
func TestAdmissionAccount(t *testing.T) {
	gateway := newTestGateway()
	assert.Assert(t, gateway.admissionAccount(nil) == nil)
	table, errs := route.New(route.Config{Accounts: []route.Account{{Name: "x", Keys: []string{"k"}, RequestsPerSecond: 7}, {Name: "y", Keys: []string{"l"}}}})
	assert.Equal(t, len(errs), 0)
	gateway.table.Store(table)
	assert.Equal(t, *gateway.admissionAccount(nil), admit.Account{Weight: 1})
	assert.Equal(t, *gateway.admissionAccount(table.AccountByKey("k")), admit.Account{Name: "x", Weight: 7})
	assert.Equal(t, *gateway.admissionAccount(table.AccountByKey("l")), admit.Account{Name: "y", Weight: 1})
}

// TestUnsentLoan guards against a VM of an earlier build that counts as unable to make named calls because it does not lend its budget.
func TestUnsentLoan(t *testing.T) {
	gateway := newTestGateway()
	loan := fanout.Relay{VM: place.Endpoint{ID: "vm-b1"}, Reason: fanout.BudgetSpent}
	assert.Equal(t, gateway.unsentOutcome(loan, place.NamedCalls, peer.Incapable), fanout.Unpaid)
	assert.Equal(t, gateway.unsentOutcome(loan, place.NamedCalls, peer.Unreachable), fanout.NotSent)
}
