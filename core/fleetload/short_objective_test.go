package fleetload_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortObjectiveLoad is the load of 64 VMs, most with a fifth of a core, and 135 shards of three targets, with an objective of 50 ms for
// requests whose calls would take 84 ms of a small VM's processor.
func shortObjectiveLoad() fleetLoad {
	vms := map[string][]float64{}
	for _, domain := range []string{"a", "b", "c"} {
		vms[domain] = slices.Concat(slices.Repeat([]float64{0.8}, 2), slices.Repeat([]float64{0.192}, 19))
	}
	return fleetLoad{
		vms: vms, shards: 135, targetDomains: []string{"a", "b", "c"}, slots: 2,
		classes: []loadClass{
			{name: "check", perSecond: 25, work: 11 * time.Millisecond, objective: 150 * time.Millisecond, timeout: 600 * time.Millisecond, minCoverage: 0.95},
			{name: "screen", perSecond: 25, work: 3800 * time.Microsecond, objective: 50 * time.Millisecond, timeout: 300 * time.Millisecond, minCoverage: 0.85},
		},
		slow:  slowSpan{share: 0.15, factor: 8, from: 2 * time.Second, until: 9 * time.Second},
		pause: 120 * time.Millisecond, pauseEvery: 3 * time.Second, slack: 168, duration: 10 * time.Second,
	}
}

// TestShortObjective guards against VMs with a fraction of a core that repeat the work of a relay by themselves when it is about to report:
// the requests with an objective of 50 ms must get 85% of their credit while 15% of the targets are slow by 8.
func TestShortObjective(t *testing.T) {
	credit := playSeeds(t, shortObjectiveLoad(), 5)
	assert.Assert(t, credit["screen"] >= 0.85, "%.3f", credit["screen"])
	assert.Assert(t, credit["check"] >= 0.85, "%.3f", credit["check"])
}
