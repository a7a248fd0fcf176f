package fanout_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// startRelayed starts a request of nine parts that relays some of them, and returns the relayed call with its parts.
func startRelayed(t *testing.T, shared fanout.SharedState) (*fanout.Run, fanout.Relay, []fanout.Send) {
	t.Helper()
	run := fanout.New(gatherSpec(serviceNames(9)), shared, start)
	var relays []fanout.Relay
	var sends []fanout.Send
	for _, action := range run.Start(start) {
		switch action := action.(type) {
		case fanout.Relay:
			relays = append(relays, action)
		case fanout.Send:
			sends = append(sends, action)
		}
	}
	assert.Equal(t, len(relays), 1)
	return run, relays[0], sends
}

func assertNothingInFlight(t *testing.T, fleet *place.Fleet) {
	t.Helper()
	for _, endpoint := range fleet.Views(start) {
		assert.Equal(t, endpoint.InFlight, 0, "%s", endpoint.ID)
	}
}

// TestAttemptsEnd guards against calls that count as in flight for ever. A relayed call counts at the targets behind the relay too; if
// it ends without those being ended, the targets seem stuck from then on, and the VM neither calls nor hedges to them.
func TestAttemptsEnd(t *testing.T) {
	services := serviceNames(9)
	t.Run("when the client leaves", func(t *testing.T) {
		shared := newSharedState(services)
		run, _, _ := startRelayed(t, shared)
		run.Abort(start.Add(time.Millisecond))
		assertNothingInFlight(t, shared.Fleet)
	})
	t.Run("when the request is refused at its start", func(t *testing.T) {
		shared := newSharedState(services)
		spec := gatherSpec(slices.Concat(services, []string{"x1", "x2", "x3", "x4"})) // services without targets
		actions := fanout.New(spec, shared, start).Start(start)
		_, refused := actions[len(actions)-1].(fanout.Finish).Response.(fanout.Refuse)
		assert.Assert(t, refused)
		assertNothingInFlight(t, shared.Fleet)
	})
	t.Run("when hedges answered what the relay still waits for", func(t *testing.T) {
		shared := newSharedState(services)
		run, relay, sends := startRelayed(t, shared)
		now := start.Add(10 * time.Millisecond)
		for _, send := range sends {
			run.Result(now, send.Call, fanout.Answered)
		}
		var hedges []fanout.Send
		for len(hedges) == 0 {
			now = run.Next()
			for _, action := range run.Tick(now) {
				if send, ok := action.(fanout.Send); ok {
					hedges = append(hedges, send)
				}
			}
		}
		run.Result(now, hedges[0].Call, fanout.Answered)
		hedged := slices.Index(services, hedges[0].Target.Service)
		answered := slices.DeleteFunc(slices.Clone(relay.Parts), func(part int) bool { return part == hedged })
		_, actions := run.RelayReport(now, relay.Call, fanout.Report{Answered: answered, Latencies: make([]time.Duration, len(answered))})
		assert.Assert(t, run.Finished())
		assert.Assert(t, slices.Contains(actions, fanout.Action(fanout.Cancel{Call: relay.Call, CloseConnection: true})))
		for _, endpoint := range shared.Fleet.Views(now) {
			assert.Assert(t, endpoint.InFlight == 0 || endpoint.FailureDomain != relay.VM.FailureDomain, "%s", endpoint.ID)
		}
	})
}

// TestRelayedLatency guards against a latency that is credited to the wrong target: a report says how long a part took, not which of
// several targets the relay called for it.
func TestRelayedLatency(t *testing.T) {
	slowest := func(replicas int) float64 {
		services := serviceNames(9)
		shared := newSharedState(services)
		shared.Fleet = place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
		shared.Fleet.Update(start, place.Endpoint{ID: "vm-b", Service: fanout.RelayService("b"), FailureDomain: "b", Slots: 16, State: place.Ready, Peer: true})
		for _, service := range services {
			for replica := range replicas {
				shared.Fleet.Update(start, place.Endpoint{ID: service + string(rune('x'+replica)), Service: service, FailureDomain: "b", Slots: 2, State: place.Ready})
			}
		}
		run, relay, _ := startRelayed(t, shared)
		latencies := slices.Repeat([]time.Duration{time.Second}, len(relay.Parts))
		run.RelayReport(start.Add(time.Second), relay.Call, fanout.Report{Answered: relay.Parts, Latencies: latencies, Final: true})
		slowness := 0.0
		for _, endpoint := range shared.Fleet.Views(start) {
			if endpoint.ID != "vm-b" {
				slowness = max(slowness, endpoint.Slowness)
			}
		}
		return slowness
	}
	t.Run("counts for the only target", func(t *testing.T) { assert.Assert(t, slowest(1) > 1) })
	t.Run("counts for none of several", func(t *testing.T) { assert.Equal(t, slowest(2), 1.0) })
}
