package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

var start = time.Unix(1000, 0)

const (
	timeout   = 400 * time.Millisecond
	objective = 80 * time.Millisecond
)

// newFleet returns the fleet of a VM in failure domain "a" with two targets per service, in two of three failure domains by turns, and
// one peer in each of the other two failure domains.
func newFleet(services []string) *place.Fleet { return newFleetWithReplicas(services, 2) }

func newFleetWithReplicas(services []string, replicas int) *place.Fleet {
	domains := []string{"a", "b", "c"}
	fleet := place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
	for i, service := range services {
		for replica := range replicas {
			domain := domains[(i+replica)%len(domains)]
			fleet.Update(start, place.Endpoint{ID: service + "-" + domain, Service: service, FailureDomain: domain, Slots: 2, State: place.Ready})
		}
	}
	for _, domain := range domains[1:] {
		fleet.Update(start, place.Endpoint{ID: "vm-" + domain, Service: fanout.RelayService(domain), FailureDomain: domain, Slots: 16,
			State: place.Ready, Peer: true})
	}
	return fleet
}

func serviceNames(count int) []string {
	services := make([]string, count)
	for i := range services {
		services[i] = fmt.Sprintf("s%02d", i)
	}
	return services
}

func newSharedState(services []string) fanout.SharedState {
	budgets := fanout.NewBudgets(0.2, 5, start.Add(-time.Minute))
	budgets.SetVMs(start, 1)
	return fanout.SharedState{Fleet: newFleet(services), Budgets: budgets, ResponseMargin: 8 * time.Millisecond}
}

func gatherSpec(services []string) fanout.Spec {
	return fanout.Spec{Route: "r", Parts: services, Gather: true, MinCoverage: 0.75, Idempotent: true, MaxAttempts: 2,
		Objective: objective, Timeout: timeout}
}

// TestGather guards against answers that contain a part twice or too few parts, requests processed by more targets than allowed, and
// refusals of requests that may have run. Calls and relays end at random, so retries, hedges and relayed answers overlap.
func TestGather(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(rapid.IntRange(1, 12).Draw(t, "parts"))
		shared := newSharedState(services)
		shared.Fleet = newFleetWithReplicas(services, rapid.IntRange(1, 3).Draw(t, "replicas"))
		spec := gatherSpec(services)
		spec.Cautious = rapid.Bool().Draw(t, "cautious")
		strandRandomly(t, shared.Fleet, services)
		simulation := newSimulation(t, spec, shared)
		simulation.runToEnd()
		simulation.assertResponse()
		simulation.assertAttempts()
	})
}

// TestOnce guards against a second execution of a request that is not idempotent: once a target may have processed it, it must not be
// sent to another.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(1)
		spec := fanout.Spec{Route: "r", Parts: services, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"),
			Objective: objective, Timeout: timeout}
		shared := newSharedState(services)
		strandRandomly(t, shared.Fleet, services)
		simulation := newSimulation(t, spec, shared)
		if rapid.Bool().Draw(t, "the VM stops") {
			at := time.Duration(rapid.Int64Range(0, int64(timeout)).Draw(t, "endBy"))
			simulation.run.EndBy(start.Add(at), time.Duration(rapid.Int64Range(0, int64(at)).Draw(t, "needed")))
		}
		simulation.runToEnd()
		simulation.assertResponse()
		assert.Assert(t, len(simulation.ranCalls) <= 1, "calls %v may have run, on %v", simulation.ranCalls, simulation.mayHaveRunOn)
		if len(simulation.reports) > 0 {
			simulation.repeat() // after the response too
		}
		assert.Equal(t, simulation.run.PreventedCalls(), 0)
	})
}

// answerAll answers all open calls except those to the given targets.
func (simulation *simulation) answerAll(except ...string) {
	for _, call := range slices.Clone(simulation.openCalls) {
		if send, ok := simulation.sends[call]; ok && !slices.Contains(except, send.Target.ID) {
			simulation.close(call)
			simulation.apply(simulation.run.Result(simulation.now, call, fanout.Answered))
		}
	}
}

// TestPatience guards against partial answers that go out too early or only at the deadline: with one part missing, the answer is due
// at the objective minus the response margin.
func TestPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(8)
		shared := newSharedState(services)
		shared.Fleet.ReplacePeers(start, nil) // without relays, targets of other failure domains are called directly
		spec := gatherSpec(services)
		spec.MaxAttempts = 1
		simulation := newSimulation(t, spec, shared)
		simulation.apply(simulation.run.Start(simulation.now))
		simulation.now = simulation.now.Add(10 * time.Millisecond)
		slow := simulation.sends[simulation.openCalls[0]].Target.ID
		simulation.answerAll(slow)
		assert.Equal(t, len(simulation.responses), 0)
		for len(simulation.responses) == 0 {
			simulation.now = simulation.run.Next()
			simulation.apply(simulation.run.Tick(simulation.now))
		}
		assert.Equal(t, simulation.now, start.Add(objective-shared.ResponseMargin))
		deliver, ok := simulation.responses[0].(fanout.Deliver)
		assert.Assert(t, ok)
		assert.Equal(t, deliver.Missing, 1)
	})
}

// TestHedge guards against hedges that are missing or too late: a slow call is sent to another target of the service before the objective.
func TestHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(4)
		shared := newSharedState(services)
		shared.Fleet.ReplacePeers(start, nil) // without relays, targets of other failure domains are called directly
		simulation := newSimulation(t, gatherSpec(services), shared)
		simulation.apply(simulation.run.Start(simulation.now))
		simulation.now = simulation.now.Add(5 * time.Millisecond)
		first := simulation.sends[simulation.openCalls[0]].Target
		simulation.answerAll(first.ID)
		for len(simulation.openCalls) == 1 && len(simulation.responses) == 0 {
			simulation.now = simulation.run.Next()
			simulation.apply(simulation.run.Tick(simulation.now))
		}
		assert.Equal(t, len(simulation.openCalls), 2)
		hedge := simulation.sends[simulation.openCalls[1]]
		assert.Equal(t, hedge.Target.Service, first.Service)
		assert.Assert(t, hedge.Target.ID != first.ID)
		assert.Assert(t, simulation.now.Before(start.Add(objective)))
	})
}

// TestBudget guards against hedges and retries beyond the budget. 60 requests start at the same time and no target answers; the extra
// calls of each service must stay within the fraction and the slack.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(6)
		shared := newSharedState(services)
		requests, extra := 0, 0
		for range 60 {
			simulation := newSimulation(t, gatherSpec(services), shared)
			simulation.run = fanout.New(simulation.spec, shared, start)
			simulation.apply(simulation.run.Start(start))
			requests++
			simulation.now = start
			for len(simulation.responses) == 0 {
				simulation.now = simulation.run.Next()
				simulation.apply(simulation.run.Tick(simulation.now))
			}
			extra = max(extra, maxExtraCalls(shared, services))
		}
		assert.Assert(t, float64(extra) <= 0.2*float64(requests)+5, "%d extra calls for %d requests", extra, requests)
	})
}

// TestBudgetShares guards against VMs that together spend more than the slack, although each stays within its own share.
func TestBudgetShares(t *testing.T) {
	const vms, slack = 69, 178.0
	extra := 0
	for range vms {
		budgets := fanout.NewBudgets(0.2, slack, start.Add(-time.Minute))
		budgets.SetVMs(start, vms)
		for budgets.ForService(start, "s").Spend(start, 1) {
			extra++
		}
	}
	assert.Assert(t, extra > vms && float64(extra) <= slack, "%d", extra)
	t.Run("a VM that has just started does not use its full share", func(t *testing.T) {
		budgets := fanout.NewBudgets(0.2, slack, start)
		budgets.SetVMs(start, vms)
		assert.Assert(t, !budgets.ForService(start, "s").Spend(start, 1))
		budgets.SetVMs(start.Add(10*time.Second), vms)
		assert.Assert(t, budgets.ForService(start, "s").Spend(start.Add(10*time.Second), 1))
	})
	t.Run("a VM that has just started uses a quarter of its share", func(t *testing.T) {
		budgets := fanout.NewBudgets(0.2, slack, start)
		budgets.SetVMs(start, 9)
		extra := 0
		for budgets.ForService(start, "s").Spend(start, 1) {
			extra++
		}
		assert.Equal(t, extra, 4) // 178 / 9 / 4
	})
}

func maxExtraCalls(shared fanout.SharedState, services []string) int {
	most := 0
	for _, service := range services {
		_, extra := shared.Budgets.ForService(start, service).WindowCounts(start)
		most = max(most, extra)
	}
	return most
}

// TestRefusedAtOnce guards against calls for a request that cannot reach the minimum coverage: it is refused immediately.
func TestRefusedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(4)
		shared := newSharedState(services)
		for _, service := range services[:2] {
			for _, domain := range []string{"a", "b", "c"} {
				shared.Fleet.Remove(service + "-" + domain)
			}
		}
		simulation := newSimulation(t, gatherSpec(services), shared)
		simulation.apply(simulation.run.Start(start))
		assert.Equal(t, len(simulation.responses), 1)
		refusal, ok := simulation.responses[0].(fanout.Refuse)
		assert.Assert(t, ok)
		assert.Assert(t, refusal.RetryAfter > 0)
	})
}

// TestRelayedOverDirect guards against parts counted twice. When a hedge of a relayed part answers before the relay's report, which
// cannot be split, the report replaces the direct answer.
func TestRelayedOverDirect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := serviceNames(9)
		simulation := newSimulation(t, gatherSpec(services), newSharedState(services))
		simulation.apply(simulation.run.Start(start))
		simulation.now = start.Add(10 * time.Millisecond)
		relay := -1
		for _, call := range slices.Clone(simulation.openCalls) {
			if _, ok := simulation.relays[call]; ok {
				relay = call
			}
		}
		assert.Assert(t, relay >= 0)
		relayedParts := slices.Clone(simulation.relays[relay])
		simulation.answerAll() // the parts that were not relayed
		for len(simulation.openCalls) > 0 && len(simulation.responses) == 0 && !slices.ContainsFunc(simulation.openCalls, func(call int) bool {
			return simulation.sends[call].Reason == "hedge"
		}) {
			simulation.now = simulation.run.Next()
			simulation.apply(simulation.run.Tick(simulation.now))
		}
		// One hedge stays open so that the run still waits for the relay.
		simulation.answerAll(simulation.sends[simulation.openCalls[len(simulation.openCalls)-1]].Target.ID)
		assert.Equal(t, len(simulation.responses), 0)
		merged, actions := simulation.run.RelayReport(simulation.now, relay,
			fanout.Report{Answered: relayedParts, Latencies: make([]time.Duration, len(relayedParts)), Final: true})
		simulation.parts[merged] = relayedParts
		simulation.apply(actions)
		simulation.assertResponse()
	})
}

// TestRelayPatience guards against relays that are hedged too early or too late. One report in ten takes 45 ms, and hedging a relay
// costs one call per part, so the hedge must wait longer than that; but the calls of 8 ms must still end before the objective of 80 ms.
func TestRelayPatience(t *testing.T) {
	services := serviceNames(9)
	shared := newSharedState(services)
	for i := range 100 {
		latency := 25 * time.Millisecond
		if i%10 == 0 {
			latency = 45 * time.Millisecond
		}
		shared.Fleet.StartAttempt(start, "vm-b", "relay/r").AnsweredAfter(start, latency)
		shared.Fleet.StartAttempt(start, "s00-a", "r").AnsweredAfter(start, 8*time.Millisecond)
	}
	run := fanout.New(gatherSpec(services), shared, start)
	relayed := 0
	for _, action := range run.Start(start) {
		switch action := action.(type) {
		case fanout.Relay:
			relayed += len(action.Parts)
		case fanout.Send:
			run.Result(start.Add(8*time.Millisecond), action.Call, fanout.Answered)
		}
	}
	assert.Assert(t, relayed >= 3)
	due := run.Next().Sub(start)
	assert.Assert(t, due > 45*time.Millisecond && due <= objective-8*time.Millisecond-8*time.Millisecond, "hedged after %v", due)
}
