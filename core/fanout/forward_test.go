package fanout_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

var domains = []string{"a", "b", "c"}

// addNeighbours adds two VMs of the VM's own failure domain to its fleet.
func addNeighbours(fleet *place.Fleet) {
	for _, id := range []string{"vm-a1", "vm-a2"} {
		fleet.Update(start, place.Endpoint{ID: id, Service: fanout.RelayService("a"), FailureDomain: "a", Slots: 16, State: place.Ready, Peer: true, Cores: 0.4})
	}
}

// newStranded returns the state of a VM that reaches no target, beside two VMs of its own failure domain and one of each other.
func newStranded(services []string) fanout.SharedState {
	shared := newSharedState(services)
	addNeighbours(shared.Fleet)
	for _, domain := range domains {
		strand(shared.Fleet, domain, services)
	}
	return shared
}

// relaysOf returns some actions, all of which must be messages to other VMs.
func relaysOf(t *testing.T, actions []fanout.Action) []fanout.Relay {
	t.Helper()
	var relays []fanout.Relay
	for _, action := range actions {
		relay, ok := action.(fanout.Relay)
		assert.Assert(t, ok, "%T", action)
		relays = append(relays, relay)
	}
	return relays
}

// refuseAll lets each VM that is asked refuse, and returns the response and the number of messages.
func refuseAll(t *testing.T, run *fanout.Run) (response fanout.Response, messages int) {
	t.Helper()
	for pending := run.Start(start); ; {
		action := pending[0]
		pending = pending[1:]
		switch action := action.(type) {
		case fanout.Relay:
			messages++
			pending = append(pending, run.RelayFailed(start.Add(time.Millisecond), action.Call, fanout.Refused)...)
		case fanout.Finish:
			return action.Response, messages
		case fanout.Send:
			t.Fatal("a target that this VM does not reach is called")
		}
	}
}

func singleSpec(idempotent bool) fanout.Spec {
	return fanout.Spec{Route: "r", Parts: serviceNames(1), MaxAttempts: 3, Idempotent: idempotent, Objective: objective, Timeout: timeout}
}

// TestForwardedCauses guards against forwarded calls whose logs do not tell a first call from a hedge or a retry.
func TestForwardedCauses(t *testing.T) {
	for cause, next := range map[string]func(run *fanout.Run, first fanout.Relay) []fanout.Action{
		"hedge": func(run *fanout.Run, first fanout.Relay) []fanout.Action {
			_, actions := run.RelayReport(start.Add(first.ReportAfter), first.Call, fanout.Report{Early: true})
			return actions
		},
		"noRoom": func(run *fanout.Run, first fanout.Relay) []fanout.Action {
			return run.RelayFailed(start, first.Call, fanout.Refused)
		},
	} {
		t.Run(cause, func(t *testing.T) {
			run := fanout.New(singleSpec(true), newStranded(serviceNames(1)), start)
			first := relaysOf(t, run.Start(start))
			assert.DeepEqual(t, first[0].Causes, []string{"first"})
			assert.DeepEqual(t, relaysOf(t, next(run, first[0]))[0].Causes, []string{cause})
		})
	}
}

// TestForwardedSlowly guards against a second call for a request that is not idempotent, or may crash its targets, when the relay says that the
// first one takes long.
func TestForwardedSlowly(t *testing.T) {
	for name, test := range map[string]struct {
		idempotent, cautious bool
		hedges               int
	}{
		"a request that may be repeated is hedged": {idempotent: true, hedges: 1},
		"one that is not idempotent is not":        {},
		"one that may crash its targets is not":    {idempotent: true, cautious: true},
	} {
		t.Run(name, func(t *testing.T) {
			spec := singleSpec(test.idempotent)
			spec.Cautious = test.cautious
			run := fanout.New(spec, newStranded(serviceNames(1)), start)
			first := relaysOf(t, run.Start(start))
			assert.Equal(t, len(first), 1)
			_, actions := run.RelayReport(start.Add(first[0].ReportAfter), first[0].Call, fanout.Report{Early: true})
			assert.Equal(t, len(relaysOf(t, actions)), test.hedges)
		})
	}
}

// TestStranded guards against requests that hang, or are refused, at a VM that reaches no target while others do.
func TestStranded(t *testing.T) {
	t.Run("all parts of a gathered request go through other VMs in few messages", func(t *testing.T) {
		services := serviceNames(20)
		run := fanout.New(gatherSpec(services), newStranded(services), start)
		var parts []int
		relays := relaysOf(t, run.Start(start))
		for _, relay := range relays {
			parts = append(parts, relay.Parts...)
			assert.Equal(t, len(relay.Targets), len(relay.Parts))
		}
		slices.Sort(parts)
		assert.Equal(t, len(slices.Compact(parts)), len(services))
		assert.Assert(t, len(relays) <= 3, "%d messages", len(relays))
	})
	t.Run("a request to a single service does too", func(t *testing.T) {
		for _, idempotent := range []bool{true, false} {
			run := fanout.New(singleSpec(idempotent), newStranded(serviceNames(1)), start)
			relays := relaysOf(t, run.Start(start))
			assert.Equal(t, len(relays), 1)
			merged, actions := run.RelayReport(start, relays[0].Call, fanout.Report{Answered: []int{0}, Latencies: []time.Duration{1}, Final: true})
			assert.DeepEqual(t, actions[len(actions)-1].(fanout.Finish).Response, fanout.Deliver{Calls: []int{merged}})
		}
	})
	t.Run("another VM is asked after one that reaches no target either", func(t *testing.T) {
		run := fanout.New(singleSpec(false), newStranded(serviceNames(1)), start)
		first := relaysOf(t, run.Start(start))[0]
		second := relaysOf(t, run.RelayFailed(start, first.Call, fanout.Refused))[0]
		assert.Assert(t, first.VM.ID != second.VM.ID)
	})
	t.Run("a request that no VM can serve is refused at once, and each VM is asked at most once", func(t *testing.T) {
		shared := newStranded(serviceNames(1))
		response, messages := refuseAll(t, fanout.New(singleSpec(false), shared, start))
		assert.Assert(t, response.(fanout.Refuse).RetryAfter > 0)
		assert.Equal(t, messages, 4)
		_, messages = refuseAll(t, fanout.New(singleSpec(false), shared, start))
		assert.Equal(t, messages, 0, "VMs that have just refused are left alone")
	})
	t.Run("so is each VM that declines the call", func(t *testing.T) {
		run, messages := fanout.New(singleSpec(false), newStranded(serviceNames(1)), start), 0
		actions := run.Start(start)
		for !run.Finished() {
			messages++
			_, actions = run.RelayReport(start, relaysOf(t, actions)[0].Call, fanout.Report{Missing: []fanout.Missing{{Part: 0, Outcome: fanout.NoCapacity}}, Final: true})
		}
		assert.Equal(t, messages, 4)
		_, refused := actions[0].(fanout.Finish).Response.(fanout.Refuse)
		assert.Assert(t, refused)
	})
	t.Run("a VM that does not reach one failure domain is asked for targets of another", func(t *testing.T) {
		shared := newStranded(serviceNames(1)) // with a target in a and one in b
		for _, id := range []string{"vm-a1", "vm-a2", "vm-b", "vm-c"} {
			shared.Fleet.RelayReached(start, id, "a", false)
		}
		assert.DeepEqual(t, relaysOf(t, fanout.New(singleSpec(false), shared, start).Start(start))[0].Targets, []string{"s00-b"})
		for _, id := range []string{"vm-a1", "vm-a2", "vm-b", "vm-c"} {
			shared.Fleet.RelayReached(start, id, "a", true)
		}
		assert.DeepEqual(t, relaysOf(t, fanout.New(singleSpec(false), shared, start).Start(start))[0].Targets, []string{"s00-a"})
	})
	t.Run("one that says so is not asked again for a time", func(t *testing.T) {
		shared := newStranded(serviceNames(1))
		run := fanout.New(singleSpec(false), shared, start)
		first := relaysOf(t, run.Start(start))[0]
		run.RelayReport(start, first.Call, fanout.Report{Missing: []fanout.Missing{{Part: 0, Outcome: fanout.Unreached}}, Final: true})
		assert.DeepEqual(t, shared.Fleet.UnfitRelays(start, place.MergedCalls, fanout.RelayService(first.VM.FailureDomain), "a"), []string{first.VM.ID})
		assert.Equal(t, len(shared.Fleet.UnfitRelays(start.Add(time.Second), place.MergedCalls, fanout.RelayService(first.VM.FailureDomain), "a")), 0)
	})
	t.Run("requests that other VMs serve show no congestion", func(t *testing.T) {
		services := serviceNames(9)
		run := fanout.New(gatherSpec(services), newStranded(services), start)
		run.Start(start)
		assert.Assert(t, !run.Congested(start.Add(objective)))
	})
	t.Run("a request that is not idempotent and may have run is neither sent again nor cancelled", func(t *testing.T) {
		run := fanout.New(singleSpec(false), newStranded(serviceNames(1)), start)
		relay := relaysOf(t, run.Start(start))[0]
		actions := run.Tick(run.Next())
		assert.Equal(t, actions[0].(fanout.Cancel).CloseConnection, false)
		assert.Assert(t, actions[1].(fanout.Finish).Response.(fanout.GiveUp).TimedOut)
		_, late := run.RelayReport(start.Add(timeout), relay.Call, fanout.Report{Answered: []int{0}, Latencies: []time.Duration{1}, Final: true})
		assert.Equal(t, len(late), 0)
	})
	t.Run("a failure of the target is passed on", func(t *testing.T) {
		run := fanout.New(singleSpec(false), newStranded(serviceNames(1)), start)
		relay := relaysOf(t, run.Start(start))[0]
		_, actions := run.RelayReport(start, relay.Call, fanout.Report{Missing: []fanout.Missing{{Part: 0, Outcome: fanout.Failed}}, Final: true})
		assert.DeepEqual(t, actions[0].(fanout.Finish).Response, fanout.ForwardFailure{Call: relay.Call})
	})
	t.Run("a slow call is hedged through another VM, to another target", func(t *testing.T) {
		run := fanout.New(singleSpec(true), newStranded(serviceNames(1)), start)
		first := relaysOf(t, run.Start(start))[0]
		second := relaysOf(t, run.Tick(run.Next()))[0]
		assert.Assert(t, first.VM.ID != second.VM.ID && first.Targets[0] != second.Targets[0])
	})
	t.Run("a target that refuses this VM's connections is called by another VM, others directly", func(t *testing.T) {
		services := serviceNames(1)
		shared := newSharedState(services)
		shared.Fleet.Remove("s00-b")
		run := fanout.New(singleSpec(false), shared, start)
		send := run.Start(start)[0].(fanout.Send)
		relay := relaysOf(t, run.Result(start, send.Call, fanout.NotSent))[0]
		assert.DeepEqual(t, relay.Targets, []string{"s00-a"})
	})
}

// TestForwardedRun guards against a relay that calls another target than the named one, and against a relay that answers for targets out of
// its reach, so that it is asked again and again.
func TestForwardedRun(t *testing.T) {
	services := serviceNames(2)
	newRun := func(fleet *place.Fleet, targets ...string) *fanout.RelayRun {
		return fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services[:len(targets)], Targets: targets, ReportAfter: time.Second}, fleet, start)
	}
	t.Run("it calls the targets that it is told to, also in other failure domains", func(t *testing.T) {
		actions := newRun(newFleet(services), "s00-b", "s01-c").Start(start)
		for i, want := range []string{"s00-b", "s01-c"} {
			assert.Equal(t, actions[i].(fanout.Send).Target.ID, want)
		}
	})
	t.Run("it does not call a target of another service", func(t *testing.T) {
		report := newRun(newFleet(services), "s01-b").Start(start)[0].(fanout.Report)
		assert.DeepEqual(t, report.Missing, []fanout.Missing{{Part: 0, Outcome: fanout.NoCapacity}})
	})
	t.Run("it says which failure domain it does not reach", func(t *testing.T) {
		fleet := newFleet(services)
		strand(fleet, "b", services)
		actions := newRun(fleet, "s00-b", "s01-c").Start(start)
		assert.Equal(t, actions[0].(fanout.Send).Target.ID, "s01-c")
		assert.DeepEqual(t, actions[1].(fanout.Report).Missing, []fanout.Missing{{Part: 0, Outcome: fanout.Unreached}})
	})
	t.Run("it refuses if it is stranded too", func(t *testing.T) {
		fleet := newStranded(services).Fleet
		assert.Assert(t, newRun(fleet, "s00-b").Start(start)[0].(fanout.Report).Refused)
		local := fanout.NewRelayRun(fanout.RelaySpec{Route: "r", Services: services, ReportAfter: time.Second}, fleet, start)
		assert.Assert(t, local.Start(start)[0].(fanout.Report).Refused)
	})
}

// TestForwardLimit guards against stranded VMs that use up the processor of the VMs that serve for them.
func TestForwardLimit(t *testing.T) {
	limit, allowed := fanout.NewForwardLimit(0.2), 0
	for now := start; now.Before(start.Add(10 * time.Second)); now = now.Add(time.Millisecond) {
		if limit.Allow(now, 20) {
			allowed += 20
		}
	}
	assert.Assert(t, allowed > 8000 && allowed < 8600, "%d calls in 10 s, half of what 0.2 cores make", allowed)
	assert.Assert(t, limit.Allow(start.Add(time.Minute), 10_000), "a large message is allowed after a pause")
}
