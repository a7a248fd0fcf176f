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

// fleet has a server of each service in two of three failure domains, in turn, and a relay in each other domain.
func fleet(services []string) *place.Fleet { return fleetOf(services, 2) }

func fleetOf(services []string, replicas int) *place.Fleet {
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

func names(count int) []string {
	services := make([]string, count)
	for i := range services {
		services[i] = fmt.Sprintf("s%02d", i)
	}
	return services
}

func sharedOf(services []string) fanout.SharedState {
	budgets := fanout.NewBudgets(0.2, 5, start.Add(-time.Minute))
	budgets.SetVMs(start, 1)
	return fanout.SharedState{Fleet: fleet(services), Budgets: budgets, ResponseMargin: 8 * time.Millisecond}
}

func gatherSpec(services []string) fanout.Spec {
	return fanout.Spec{Route: "r", Parts: services, Gather: true, MinCoverage: 0.75, Idempotent: true, MaxAttempts: 2,
		Objective: objective, Timeout: timeout}
}

// world answers a run's actions as servers and relays would, and keeps what truly happened.
type world struct {
	t        *rapid.T
	spec     fanout.Spec
	run      *fanout.Run
	now      time.Time
	sends    map[int]fanout.Send
	relays   map[int][]int // by call, the parts that are still under way at the relay
	parts    map[int][]int // by call or bundle, the parts that it brought
	open     []int
	ran      map[string][]string // by service, servers that may have run the request
	arrivals map[string]int      // by service
	verdicts []fanout.Response
}

func newWorld(t *rapid.T, spec fanout.Spec, shared fanout.SharedState) *world {
	return &world{t: t, spec: spec, run: fanout.New(spec, shared, start), now: start, sends: map[int]fanout.Send{},
		relays: map[int][]int{}, parts: map[int][]int{}, ran: map[string][]string{}, arrivals: map[string]int{}}
}

func (world *world) take(actions []fanout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			assert.Assert(world.t, len(world.verdicts) == 0, "a call after the end")
			world.sends[action.Call] = action
			world.parts[action.Call] = []int{slices.Index(world.spec.Parts, action.Target.Service)}
			world.open = append(world.open, action.Call)
		case fanout.Relay:
			world.relays[action.Call] = slices.Clone(action.Parts)
			world.open = append(world.open, action.Call)
		case fanout.Cancel:
			world.close(action.Call)
			world.mayHaveRun(action.Call)
		case fanout.Finish:
			world.verdicts = append(world.verdicts, action.Response)
		}
	}
}

func (world *world) close(call int) {
	world.open = slices.DeleteFunc(world.open, func(other int) bool { return other == call })
}

// mayHaveRun records that the server of a call may have run the request.
func (world *world) mayHaveRun(call int) {
	send, ok := world.sends[call]
	if !ok {
		return
	}
	if servers := world.ran[send.Target.Service]; !slices.Contains(servers, send.Target.ID) {
		world.ran[send.Target.Service] = append(servers, send.Target.ID)
	}
}

var outcomes = []fanout.Outcome{fanout.Answered, fanout.Answered, fanout.Answered, fanout.Failed, fanout.Refused, fanout.Displaced,
	fanout.NotSent, fanout.ConnectionLimit, fanout.NoCapacity, fanout.Lost, fanout.InvalidResponse}

// end ends one open call in some way.
func (world *world) end() {
	call := rapid.SampledFrom(world.open).Draw(world.t, "call")
	if _, ok := world.relays[call]; ok {
		world.report(call)
		return
	}
	outcome := rapid.SampledFrom(outcomes).Draw(world.t, "outcome")
	world.close(call)
	switch outcome {
	case fanout.Answered, fanout.Failed, fanout.Lost, fanout.InvalidResponse:
		world.mayHaveRun(call)
	}
	world.take(world.run.Result(world.now, call, outcome))
}

// report lets a relay bring some of its parts, lose some, or vanish.
func (world *world) report(call int) {
	if rapid.IntRange(0, 9).Draw(world.t, "vanish") == 0 {
		world.close(call)
		outcome := rapid.SampledFrom([]fanout.Outcome{fanout.Lost, fanout.Refused, fanout.NotSent}).Draw(world.t, "loss")
		world.take(world.run.RelayFailed(world.now, call, outcome))
		return
	}
	var report fanout.Report
	var left []int
	for _, part := range world.relays[call] {
		switch rapid.IntRange(0, 3).Draw(world.t, "part") {
		case 0, 1:
			report.Answered = append(report.Answered, part)
			report.Latencies = append(report.Latencies, world.now.Sub(start))
		case 2:
			report.Missing = append(report.Missing, fanout.Missing{Part: part, Outcome: rapid.SampledFrom(outcomes[3:]).Draw(world.t, "miss")})
		default:
			left = append(left, part)
		}
	}
	report.Final = len(left) == 0
	world.relays[call] = left
	if report.Final {
		world.close(call)
	}
	bundle, actions := world.run.RelayReport(world.now, call, report)
	if bundle >= 0 {
		world.parts[bundle] = report.Answered
	}
	world.take(actions)
}

// play drives a run with random events until it has ended.
func (world *world) play() {
	world.take(world.run.Start(world.now))
	for len(world.verdicts) == 0 {
		if len(world.open) > 0 && rapid.IntRange(0, 3).Draw(world.t, "step") > 0 {
			world.now = world.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(world.t, "ms")) * time.Millisecond)
			world.end()
			continue
		}
		if next := world.run.Next(); next.After(world.now) {
			world.now = next
		}
		world.take(world.run.Tick(world.now))
		assert.Assert(world.t, !world.now.After(start.Add(timeout)), "no answer at the deadline")
	}
	for _, call := range slices.Clone(world.open) {
		world.mayHaveRun(call)
	}
}

func (world *world) assertDelivered(deliver fanout.Deliver) {
	in := map[int]bool{}
	for _, call := range deliver.Calls {
		for _, part := range world.parts[call] {
			assert.Assert(world.t, !in[part], "part %d is in twice", part)
			in[part] = true
		}
	}
	assert.Equal(world.t, len(in)+deliver.Missing, len(world.spec.Parts))
	assert.Assert(world.t, float64(len(in)) >= world.spec.MinCoverage*float64(len(world.spec.Parts)), "%d parts", len(in))
}

func (world *world) assertVerdict() {
	assert.Equal(world.t, len(world.verdicts), 1)
	switch verdict := world.verdicts[0].(type) {
	case fanout.Deliver:
		world.assertDelivered(verdict)
	case fanout.Refuse:
		for service, servers := range world.ran {
			assert.Assert(world.t, len(servers) == 0, "refused as not run, but %v of %s may have run it", servers, service)
		}
		assert.Assert(world.t, verdict.RetryAfter > 0)
	}
}

func (world *world) assertAttempts() {
	for service, servers := range world.ran {
		assert.Assert(world.t, len(servers) <= world.spec.MaxAttempts, "%s: %v", service, servers)
	}
}

// TestGather checks that answers hold each part once and enough of them, and that refusals are true.
func TestGather(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(rapid.IntRange(1, 12).Draw(t, "parts"))
		shared := sharedOf(services)
		shared.Fleet = fleetOf(services, rapid.IntRange(1, 3).Draw(t, "replicas"))
		world := newWorld(t, gatherSpec(services), shared)
		world.play()
		world.assertVerdict()
		world.assertAttempts()
	})
}

// TestOnce checks that a request that is not idempotent goes to no second server once the first may have run it.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(1)
		spec := fanout.Spec{Route: "r", Parts: services, MaxAttempts: rapid.IntRange(1, 3).Draw(t, "attempts"), Objective: objective, Timeout: timeout}
		world := newWorld(t, spec, sharedOf(services))
		world.play()
		world.assertVerdict()
		assert.Assert(t, len(world.ran[services[0]]) <= 1, "ran on %v", world.ran)
	})
}

// answerAll ends all open calls with an answer but for those to some servers.
func (world *world) answerAll(except ...string) {
	for _, call := range slices.Clone(world.open) {
		if send, ok := world.sends[call]; ok && !slices.Contains(except, send.Target.ID) {
			world.close(call)
			world.take(world.run.Result(world.now, call, fanout.Answered))
		}
	}
}

// TestPatience checks when an answer that lacks a part goes out: shortly before the objective, not before and not at the deadline.
func TestPatience(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(8)
		shared := sharedOf(services)
		shared.Fleet.ReplacePeers(start, nil) // servers of other failure domains are called directly
		spec := gatherSpec(services)
		spec.MaxAttempts = 1
		world := newWorld(t, spec, shared)
		world.take(world.run.Start(world.now))
		world.now = world.now.Add(10 * time.Millisecond)
		slow := world.sends[world.open[0]].Target.ID
		world.answerAll(slow)
		assert.Equal(t, len(world.verdicts), 0)
		for len(world.verdicts) == 0 {
			world.now = world.run.Next()
			world.take(world.run.Tick(world.now))
		}
		assert.Equal(t, world.now, start.Add(objective-shared.ResponseMargin))
		deliver, ok := world.verdicts[0].(fanout.Deliver)
		assert.Assert(t, ok)
		assert.Equal(t, deliver.Missing, 1)
	})
}

// TestHedge checks that a call that takes long is doubled at the other server, in time for the objective.
func TestHedge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(4)
		shared := sharedOf(services)
		shared.Fleet.ReplacePeers(start, nil) // servers of other failure domains are called directly
		world := newWorld(t, gatherSpec(services), shared)
		world.take(world.run.Start(world.now))
		world.now = world.now.Add(5 * time.Millisecond)
		first := world.sends[world.open[0]].Target
		world.answerAll(first.ID)
		for len(world.open) == 1 && len(world.verdicts) == 0 {
			world.now = world.run.Next()
			world.take(world.run.Tick(world.now))
		}
		assert.Equal(t, len(world.open), 2)
		hedge := world.sends[world.open[1]]
		assert.Equal(t, hedge.Target.Service, first.Service)
		assert.Assert(t, hedge.Target.ID != first.ID)
		assert.Assert(t, world.now.Before(start.Add(objective)))
	})
}

// TestBudget checks that hedges and retries of all requests stay within the fraction and the slack.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(6)
		shared := sharedOf(services)
		firsts, extra := 0, 0
		for range 60 {
			world := newWorld(t, gatherSpec(services), shared)
			world.run = fanout.New(world.spec, shared, start)
			world.take(world.run.Start(start))
			firsts++
			world.now = start
			for len(world.verdicts) == 0 {
				world.now = world.run.Next()
				world.take(world.run.Tick(world.now))
			}
			extra = max(extra, mostExtra(shared, services))
		}
		assert.Assert(t, float64(extra) <= 0.2*float64(firsts)+5, "%d extra calls for %d requests", extra, firsts)
	})
}

// TestBudgetShares checks that what all VMs spend together stays within the fraction and the slack.
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
	t.Run("a VM that has just started waits with its part", func(t *testing.T) {
		budgets := fanout.NewBudgets(0.2, slack, start)
		budgets.SetVMs(start, vms)
		assert.Assert(t, !budgets.ForService(start, "s").Spend(start, 1))
		budgets.SetVMs(start.Add(10*time.Second), vms)
		assert.Assert(t, budgets.ForService(start, "s").Spend(start.Add(10*time.Second), 1))
	})
	t.Run("but for a quarter of it", func(t *testing.T) {
		budgets := fanout.NewBudgets(0.2, slack, start)
		budgets.SetVMs(start, 9)
		extra := 0
		for budgets.ForService(start, "s").Spend(start, 1) {
			extra++
		}
		assert.Equal(t, extra, 4) // 178 / 9 / 4
	})
}

func mostExtra(shared fanout.SharedState, services []string) int {
	most := 0
	for _, service := range services {
		_, extra := shared.Budgets.ForService(start, service).WindowCounts(start)
		most = max(most, extra)
	}
	return most
}

// TestRefusedAtOnce checks that a request that too few servers are left for is refused at once, without a call.
func TestRefusedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(4)
		shared := sharedOf(services)
		for _, service := range services[:2] {
			for _, domain := range []string{"a", "b", "c"} {
				shared.Fleet.Remove(service + "-" + domain)
			}
		}
		world := newWorld(t, gatherSpec(services), shared)
		world.take(world.run.Start(start))
		assert.Equal(t, len(world.verdicts), 1)
		refuse, ok := world.verdicts[0].(fanout.Refuse)
		assert.Assert(t, ok)
		assert.Assert(t, refuse.RetryAfter > 0)
	})
}

// TestRelayedOverDirect checks that a part that came directly gives way to a report of the relay that holds it too.
func TestRelayedOverDirect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := names(9)
		world := newWorld(t, gatherSpec(services), sharedOf(services))
		world.take(world.run.Start(start))
		world.now = start.Add(10 * time.Millisecond)
		relay := -1
		for _, call := range slices.Clone(world.open) {
			if _, ok := world.relays[call]; ok {
				relay = call
			}
		}
		assert.Assert(t, relay >= 0)
		asked := slices.Clone(world.relays[relay])
		world.answerAll() // the parts that were called directly
		for len(world.open) > 0 && len(world.verdicts) == 0 && !slices.ContainsFunc(world.open, func(call int) bool {
			return world.sends[call].Reason == "hedge"
		}) {
			world.now = world.run.Next()
			world.take(world.run.Tick(world.now))
		}
		// The hedge of one part is left open, so that the answer waits for the relay.
		world.answerAll(world.sends[world.open[len(world.open)-1]].Target.ID)
		assert.Equal(t, len(world.verdicts), 0)
		bundle, actions := world.run.RelayReport(world.now, relay, fanout.Report{Answered: asked, Latencies: make([]time.Duration, len(asked)), Final: true})
		world.parts[bundle] = asked
		world.take(actions)
		world.assertVerdict()
	})
}

// TestRelayPatience checks that a relay of which one report in ten takes 45 ms gets longer than that, as doubling it costs a
// call for each of its parts, but not so long that these calls, of 8 ms, come after the objective of 80 ms.
func TestRelayPatience(t *testing.T) {
	services := names(9)
	shared := sharedOf(services)
	for i := range 100 {
		took := 25 * time.Millisecond
		if i%10 == 0 {
			took = 45 * time.Millisecond
		}
		shared.Fleet.StartAttempt(start, "vm-b", "relay/r").AnsweredAfter(start, took)
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
	assert.Assert(t, due > 45*time.Millisecond && due <= objective-8*time.Millisecond-8*time.Millisecond, "doubled after %v", due)
}
