package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
)

// TestRefusingTargets guards against calls that go on to targets which refuse most of them while another one is sound: of the three targets
// of a shard two refuse 60% of 15 calls a second at random, the sound one is in another failure domain.
func TestRefusingTargets(t *testing.T) {
	const (
		callsPerSecond = 15
		learn          = 2 * callsPerSecond // calls until the choice is judged
		calls          = 20 * callsPerSecond
		latency        = 10 * time.Millisecond
	)
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 3))
			fleet := place.New("a", 0, rand.New(rand.NewPCG(seed, 4)))
			now := time.Unix(1000, 0)
			for _, domain := range []string{"a", "b", "c"} {
				fleet.Update(now, place.Endpoint{ID: domain, Service: "s", FailureDomain: domain, Slots: 2, State: place.Ready})
			}
			refused := 0
			for call := range calls {
				now = now.Add(time.Second / callsPerSecond)
				target, ok := fleet.Choose(now, "s", "r", nil)
				assert.Assert(t, ok)
				attempt := fleet.StartAttempt(now, target.ID, "r")
				if target.ID != "c" && random.Float64() < 0.6 {
					attempt.Refused(now.Add(time.Millisecond))
					if call >= learn {
						refused++
					}
				} else {
					attempt.Answered(now.Add(latency))
				}
			}
			share := float64(refused) / (calls - learn)
			assert.Assert(t, share < 0.2, "%.2f of the calls refused", share) // 0.6 without learning
		})
	}
}
