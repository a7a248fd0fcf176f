package fleetload_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRefusingTargets guards against requests that fail at once, with nearly all of their time left, because the budget of extra calls of a
// few parts is spent, while it goes to hedges and retries of requests that would succeed without them: half of the targets refuse 30% of
// their calls, which takes more retries than the budget allows.
func TestRefusingTargets(t *testing.T) { assertServed(t, smallLoad(), 5) }

// TestRefusingTargetsGrown plays the same on 72 VMs, each with a few extra calls of its own.
func TestRefusingTargetsGrown(t *testing.T) { assertServed(t, grownLoad(), 2) }

// assertServed checks that all but one in 500 requests are served while half of the targets refuse 30% of their calls.
func assertServed(t *testing.T, load fleetLoad, seeds int) {
	t.Helper()
	load.refusing = refusingSpan{share: 0.5, refused: 0.3, from: 2 * time.Second, until: 10 * time.Second}
	requests, failed, credit := 0, 0, 0.0
	for seed := range seeds {
		for name, result := range playLoad(load, uint64(seed)).results {
			t.Logf("seed %d, %s: %s", seed, name, result)
			requests, failed, credit = requests+result.requests, failed+result.failed, credit+result.credit
		}
	}
	t.Logf("failed %d of %d, credit %.4f", failed, requests, credit/float64(requests))
	assert.Assert(t, failed*500 <= requests, "%d of %d requests failed", failed, requests)
}
