package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

// TestHedgeDelay guards against hedges that wait for the latency of slow targets. While a tenth of the calls take ten times as long as the
// others, that is the P95 of the route, and a hedge after it is too late for the objective.
func TestHedgeDelay(t *testing.T) {
	const latency = 4 * time.Millisecond
	services := serviceNames(4)
	shared := newSharedState(services)
	shared.Fleet.ReplacePeers(start, nil)
	for i := range 200 {
		measured := latency
		if i%10 == 0 {
			measured = 10 * latency
		}
		shared.Fleet.StartAttempt(start, "s00-a", "r").AnsweredAfter(start, measured)
	}
	run := fanout.New(gatherSpec(services), shared, start)
	run.Start(start)
	due := run.Next().Sub(start)
	assert.Assert(t, due > latency && due <= 3*latency+latency/4, "hedged after %v", due)
}
