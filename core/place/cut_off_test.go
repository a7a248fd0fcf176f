package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// TestCutOffAttempts guards against a call that counts as not arrived although its failure domain has answered since.
func TestCutOffAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := place.New("a", 0.4, rand.New(rand.NewPCG(1, 1)))
	fleet.Update(now, place.Endpoint{ID: "i-1", Service: "s", FailureDomain: "b", Slots: 2, State: place.Ready})
	earlier := fleet.StartAttempt(now, "i-1", "r")
	fleet.StartAttempt(now, "i-1", "r").Answered(now)
	var later *place.Attempt
	for range 10 {
		later = fleet.StartAttempt(now, "i-1", "r")
	}
	assert.Assert(t, later.MayBeCutOff() && !later.CutOff(now))
	now = now.Add(time.Second)
	assert.Assert(t, later.CutOff(now) && !earlier.CutOff(now) && !earlier.MayBeCutOff())
	t.Run("also once the call has ended", func(t *testing.T) {
		later.ConnectionBroken(now)
		assert.Assert(t, later.CutOff(now))
	})
}
