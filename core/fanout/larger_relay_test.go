package fanout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// TestHedgesByLargerVMs guards against a VM with a fifth of a core that answers late because of its own hedges: a relay reports that 12 of 30
// parts take long, and a call for each, mostly on a new connection, takes the VM longer than the rest of the objective.
func TestHedgesByLargerVMs(t *testing.T) {
	const slowParts = 12
	services := serviceNames(30)
	hedges := func(cores, elsewhere float64, connected bool) (relays []fanout.Relay, sends int) {
		shared := newSharedState(services)
		shared.Fleet = place.New("a", cores, rand.New(rand.NewPCG(1, 1)))
		shared.Fleet.SetConnected(func(string) bool { return connected })
		for domain, relayCores := range map[string]float64{"b": 0.8, "c": elsewhere} {
			shared.Fleet.Update(start, place.Endpoint{ID: "vm-" + domain, Service: fanout.RelayService(domain), FailureDomain: domain, Slots: 16,
				State: place.Ready, Cores: relayCores, Peer: true})
		}
		for _, service := range services {
			shared.Fleet.Update(start, place.Endpoint{ID: service + "-b", Service: service, FailureDomain: "b", Slots: 2, State: place.Ready})
		}
		run := fanout.New(gatherSpec(services), shared, start)
		first, ok := run.Start(start)[0].(fanout.Relay)
		assert.Assert(t, ok)
		assert.Equal(t, len(first.Parts), len(services))
		for _, service := range services {
			shared.Fleet.Update(start, place.Endpoint{ID: service + "-c", Service: service, FailureDomain: "c", Slots: 2, State: place.Ready})
		}
		report := fanout.Report{Answered: first.Parts[slowParts:], Early: true}
		for range report.Answered {
			report.Latencies = append(report.Latencies, 5*time.Millisecond)
		}
		_, actions := run.RelayReport(start.Add(20*time.Millisecond), first.Call, report)
		for _, action := range actions {
			switch action := action.(type) {
			case fanout.Relay:
				relays = append(relays, action)
			case fanout.Send:
				sends++
			}
		}
		return relays, sends
	}
	t.Run("one message to a larger VM next to the other targets", func(t *testing.T) {
		relays, sends := hedges(0.2, 0.8, false)
		assert.Equal(t, sends, 0)
		assert.Equal(t, len(relays), 1)
		assert.Equal(t, relays[0].VM.ID, "vm-c")
		assert.Equal(t, relays[0].Reason, fanout.ConnectionNeeded)
		assert.Equal(t, len(relays[0].Targets), slowParts)
		for i, part := range relays[0].Parts {
			assert.Equal(t, relays[0].Targets[i], fmt.Sprintf("%s-c", services[part]))
		}
		assert.Assert(t, relays[0].ReportAfter < gatherSpec(services).Objective-20*time.Millisecond, "the report must come before the objective")
	})
	t.Run("own calls on connections that are open", func(t *testing.T) {
		relays, sends := hedges(0.2, 0.8, true)
		assert.Equal(t, len(relays), 0)
		assert.Equal(t, sends, slowParts)
	})
	t.Run("own calls of a VM that is as large", func(t *testing.T) {
		relays, sends := hedges(0.8, 0.8, false)
		assert.Equal(t, len(relays), 0)
		assert.Equal(t, sends, slowParts)
	})
}
