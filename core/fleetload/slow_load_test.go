package fleetload_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallLoad is the load of eight VMs and twenty shards of two targets, all in two of three failure domains.
func smallLoad() fleetLoad {
	return fleetLoad{
		vms:    map[string][]float64{"a": slices.Repeat([]float64{0.4}, 3), "b": slices.Repeat([]float64{0.4}, 3), "c": slices.Repeat([]float64{0.4}, 2)},
		shards: 20, targetDomains: []string{"a", "b"}, slots: 2,
		classes: []loadClass{
			{name: "sweep", perSecond: 67, work: 15 * time.Millisecond, objective: 120 * time.Millisecond, timeout: 2 * time.Second, minCoverage: 0.89},
			{name: "lookup", perSecond: 22, work: 5 * time.Millisecond, objective: 60 * time.Millisecond, timeout: time.Second, minCoverage: 0.75},
		},
		pause: 150 * time.Millisecond, pauseEvery: 3600 * time.Millisecond, slack: 56, duration: 12 * time.Second,
	}
}

// grownLoad is the load of 72 VMs, most with a fifth of a core, and 90 shards of three targets, one in each of three failure domains.
func grownLoad() fleetLoad {
	vms := map[string][]float64{}
	for _, domain := range []string{"a", "b", "c"} {
		vms[domain] = slices.Concat(slices.Repeat([]float64{0.8}, 2), slices.Repeat([]float64{0.192}, 22))
	}
	return fleetLoad{
		vms: vms, shards: 90, targetDomains: []string{"a", "b", "c"}, slots: 2,
		classes: []loadClass{
			{name: "sweep", perSecond: 55, work: 15 * time.Millisecond, objective: 120 * time.Millisecond, timeout: 2 * time.Second, minCoverage: 0.95},
			{name: "lookup", perSecond: 18, work: 5 * time.Millisecond, objective: 60 * time.Millisecond, timeout: time.Second, minCoverage: 0.85},
		},
		pause: 150 * time.Millisecond, pauseEvery: 3600 * time.Millisecond, slack: 184, duration: 12 * time.Second,
	}
}

// largeLoad is the load of 295 VMs, most with a fifth of a core, and 180 shards of three targets in three of five failure domains.
func largeLoad() fleetLoad {
	vms := map[string][]float64{}
	for _, domain := range []string{"a", "b", "c", "d", "e"} {
		vms[domain] = slices.Concat(slices.Repeat([]float64{0.8}, 3), slices.Repeat([]float64{0.192}, 56))
	}
	return fleetLoad{
		vms: vms, shards: 180, targetDomains: []string{"a", "b", "c"}, slots: 3,
		classes: []loadClass{
			{name: "sweep", perSecond: 36, work: 28 * time.Millisecond, objective: 200 * time.Millisecond, timeout: 2 * time.Second, minCoverage: 0.95},
			{name: "lookup", perSecond: 12, work: 9200 * time.Microsecond, objective: 80 * time.Millisecond, timeout: 800 * time.Millisecond, minCoverage: 0.85},
		},
		pause: 250 * time.Millisecond, pauseEvery: 6 * time.Second, slack: 630, duration: 6 * time.Second,
	}
}

// playSeeds plays a load with several seeds and returns the mean credit of a request by class. One seed differs from another by 0.03.
func playSeeds(t *testing.T, load fleetLoad, seeds int) map[string]float64 {
	t.Helper()
	credit := map[string]float64{}
	for seed := range seeds {
		run := playLoad(load, uint64(seed))
		for _, class := range load.classes {
			t.Logf("seed %d, %s: %s", seed, class.name, run.results[class.name])
			credit[class.name] += run.results[class.name].meanCredit() / float64(seeds)
		}
		t.Logf("extra calls %.3f, most messages of a VM %d", run.extraRatio(), run.busiestMessages())
	}
	return credit
}

// TestSlowTargets guards against answers with parts left out or late while targets pause or those of many shards are slow: callers must get
// 95% of the credit in each class. It fails where hedges wait for the latency of the slow calls, which is too late for the objective.
func TestSlowTargets(t *testing.T) {
	for _, test := range []struct {
		name  string
		load  fleetLoad
		slow  slowSpan
		seeds int
	}{
		{"small fleet, pauses only", smallLoad(), slowSpan{}, 5},
		{"small fleet", smallLoad(), slowSpan{share: 0.15, factor: 7, from: 2 * time.Second, until: 10 * time.Second}, 5},
		{"grown fleet, pauses only", grownLoad(), slowSpan{}, 5},
		{"grown fleet", grownLoad(), slowSpan{share: 0.15, factor: 8, from: 2 * time.Second, until: 10 * time.Second}, 5},
		{"large fleet", largeLoad(), slowSpan{share: 0.15, factor: 11, from: time.Second, until: 5 * time.Second}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.load.slow = test.slow
			for class, credit := range playSeeds(t, test.load, test.seeds) {
				assert.Assert(t, credit >= 0.95, "%s: %.3f", class, credit)
			}
		})
	}
}
