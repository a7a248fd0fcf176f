package fanout_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// newShortOfBudget starts a request to three shards at a VM whose budget of extra calls is spent, beside two others of its failure domain, and
// returns the first calls.
func newShortOfBudget(t *testing.T, idempotent bool) (*fanout.Run, []fanout.Send) {
	t.Helper()
	services := serviceNames(3)
	shared := newSharedState(services)
	shared.Budgets = fanout.NewBudgets(0, 0, start.Add(-time.Minute))
	shared.Fleet = newFleetWithReplicas(services, 3)
	addNeighbours(shared.Fleet)
	spec := gatherSpec(services)
	spec.MinCoverage, spec.MaxAttempts, spec.Idempotent = 1, 3, idempotent
	run := fanout.New(spec, shared, start)
	first := sends(run.Start(start))
	assert.Equal(t, len(first), 3)
	run.Result(start, first[0].Call, fanout.Answered)
	return run, first
}

// TestLoans guards against requests that fail when targets lose answers and one VM's share of the budget of extra calls is spent, while other VMs have
// not used theirs.
func TestLoans(t *testing.T) {
	now := start.Add(5 * time.Millisecond)
	t.Run("another VM retries on its own budget", func(t *testing.T) {
		run, first := newShortOfBudget(t, true)
		relays := relaysOf(t, run.Result(now, first[1].Call, fanout.Lost))
		assert.Equal(t, len(relays), 1)
		assert.Equal(t, relays[0].Reason, fanout.BudgetSpent)
		assert.DeepEqual(t, relays[0].Parts, []int{1})
		assert.Assert(t, relays[0].Targets[0] != first[1].Target.ID)
		run.Result(now, first[2].Call, fanout.Answered)
		_, actions := run.RelayReport(now, relays[0].Call, fanout.Report{Answered: []int{1}, Latencies: []time.Duration{1}, Final: true})
		_, delivered := actions[len(actions)-1].(fanout.Finish).Response.(fanout.Deliver)
		assert.Assert(t, delivered)
	})
	t.Run("two VMs are asked at most, and no call is made without a budget", func(t *testing.T) {
		run, first := newShortOfBudget(t, true)
		asked := relaysOf(t, run.Result(now, first[1].Call, fanout.Lost))
		asked = append(asked, relaysOf(t, run.RelayFailed(now, asked[0].Call, fanout.Unpaid))...)
		assert.Equal(t, len(asked), 2)
		assert.Assert(t, asked[0].VM.ID != asked[1].VM.ID)
		_, actions := run.RelayReport(now, asked[1].Call, fanout.Report{Missing: []fanout.Missing{{Part: 1, Outcome: fanout.Unpaid}}, Final: true})
		assert.Equal(t, len(sends(actions)), 0)
		assertGivenUp(t, actions)
	})
	t.Run("a request that is not idempotent borrows nothing", func(t *testing.T) {
		run, first := newShortOfBudget(t, false)
		for _, action := range run.Result(now, first[1].Call, fanout.Refused) {
			_, relayed := action.(fanout.Relay)
			assert.Assert(t, !relayed)
		}
	})
	t.Run("a relay that pays makes as many calls as its budget allows", func(t *testing.T) {
		services := serviceNames(1)
		budgets := fanout.NewBudgets(0, 2, start.Add(-time.Minute))
		budgets.SetVMs(start, 1)
		made := 0
		for range 5 {
			fleet := newFleetWithReplicas(services, 1)
			relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services, Targets: []string{"s00-a"}, ReportAfter: time.Second, Budgets: budgets}, fleet, start)
			actions := relayRun.Start(start)
			if made += len(sends(actions)); len(sends(actions)) == 0 {
				assert.DeepEqual(t, actions[0].(fanout.Report).Missing, []fanout.Missing{{Part: 0, Outcome: fanout.Unpaid}})
			}
		}
		assert.Equal(t, made, 2)
	})
	t.Run("a VM whose budget is spent does not count as failing", func(t *testing.T) {
		run, first := newShortOfBudget(t, true)
		relays := relaysOf(t, run.Result(now, first[1].Call, fanout.Lost))
		_, actions := run.RelayReport(now, relays[0].Call, fanout.Report{Missing: []fanout.Missing{{Part: 1, Outcome: fanout.Unpaid}}, Final: true})
		assert.Equal(t, len(relaysOf(t, actions)), 1)
	})
}

// loanFleet is a few VMs with a share of one budget each, whose targets lose many answers.
type loanFleet struct {
	t          *rapid.T
	shared     map[string]fanout.SharedState // by VM
	extraCalls int                           // arrivals at targets beyond the first of each request
}

// newLoanFleet returns VMs of one failure domain that divide a slack, with one service of three targets.
func newLoanFleet(t *rapid.T, vms int, slack float64) *loanFleet {
	fleet := &loanFleet{t: t, shared: map[string]fanout.SharedState{}}
	for i := range vms {
		shared := newSharedState(serviceNames(1))
		shared.Fleet = newFleetWithReplicas(serviceNames(1), 3)
		shared.Budgets = fanout.NewBudgets(0, slack, start.Add(-time.Minute))
		shared.Budgets.SetVMs(start, vms)
		for j := range vms {
			if j != i {
				shared.Fleet.Update(start, place.Endpoint{ID: fmt.Sprint("vm", j), Service: fanout.RelayService("a"), FailureDomain: "a", Slots: 16, State: place.Ready, Peer: true})
			}
		}
		fleet.shared[fmt.Sprint("vm", i)] = shared
	}
	return fleet
}

// outcome draws how a call to a target ends.
func (fleet *loanFleet) outcome() fanout.Outcome {
	return rapid.SampledFrom([]fanout.Outcome{fanout.Lost, fanout.Lost, fanout.InvalidResponse, fanout.Answered}).Draw(fleet.t, "outcome")
}

// serve plays a request at a VM.
func (fleet *loanFleet) serve(vm string) {
	spec := singleSpec(true)
	spec.MaxAttempts = 4
	run := fanout.New(spec, fleet.shared[vm], start)
	for actions := run.Start(start); len(actions) > 0 && !run.Finished(); actions = actions[1:] {
		switch action := actions[0].(type) {
		case fanout.Send:
			if action.Reason != "first" {
				fleet.extraCalls++
			}
			actions = append(actions, run.Result(start, action.Call, fleet.outcome())...)
		case fanout.Relay:
			actions = append(actions, fleet.lend(run, action)...)
		}
	}
}

// lend plays the VM that makes a call on its own budget; its report may be lost with the link.
func (fleet *loanFleet) lend(run *fanout.Run, relay fanout.Relay) []fanout.Action {
	lender, ok := fleet.shared[relay.VM.ID]
	if !ok || rapid.Bool().Draw(fleet.t, "refused") { // a VM of another failure domain is not there
		return run.RelayFailed(start, relay.Call, rapid.SampledFrom([]fanout.Outcome{fanout.Refused, fanout.NotSent}).Draw(fleet.t, "refusal"))
	}
	relayRun := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: serviceNames(1), Targets: relay.Targets, ReportAfter: time.Second, Budgets: lender.Budgets}, lender.Fleet, start)
	actions := relayRun.Start(start)
	for _, send := range sends(actions) {
		fleet.extraCalls++
		actions = relayRun.Result(start, send.Call, fleet.outcome())
	}
	if rapid.Bool().Draw(fleet.t, "link lost") {
		return run.RelayFailed(start, relay.Call, fanout.Lost)
	}
	_, next := run.RelayReport(start, relay.Call, actions[len(actions)-1].(fanout.Report))
	return next
}

// TestLoansWithinBudget guards against VMs that together make more extra calls than they share, whatever answers and reports are lost.
func TestLoansWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms, slack := rapid.IntRange(2, 6).Draw(t, "vms"), rapid.Float64Range(0, 30).Draw(t, "slack")
		fleet := newLoanFleet(t, vms, slack)
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			fleet.serve(fmt.Sprint("vm", rapid.IntRange(0, vms-1).Draw(t, "vm")))
		}
		assert.Assert(t, float64(fleet.extraCalls) <= slack, "%d extra calls of %f", fleet.extraCalls, slack)
	})
}
