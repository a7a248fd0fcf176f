package fanout_test

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

// playAndLog plays a load and logs what clients got.
func playAndLog(t *testing.T, load fleetLoad) *fleetRun {
	t.Helper()
	run := playLoad(load)
	for _, class := range load.classes {
		t.Logf("%s: %s", class.name, run.results[class.name])
	}
	t.Logf("extra calls %.3f, most messages of a VM %d", run.extraRatio(), run.busiestMessages())
	return run
}

// assertCredit checks the mean credit of each class.
func assertCredit(t *testing.T, run *fleetRun, atLeast float64) {
	t.Helper()
	for name, result := range run.results {
		assert.Assert(t, result.meanCredit() >= atLeast, "%s: %s", name, result)
	}
}

// TestSlowTargets guards against answers with parts left out or late while targets pause or those of many shards are slow: callers must get
// 95% of the credit in each class. It fails where hedges wait for the latency of the slow calls, which is too late for the objective.
func TestSlowTargets(t *testing.T) {
	for _, test := range []struct {
		name string
		load fleetLoad
		slow slowSpan
	}{
		{"small fleet, pauses only", smallLoad(), slowSpan{}},
		{"small fleet", smallLoad(), slowSpan{share: 0.15, factor: 7, from: 2 * time.Second, until: 10 * time.Second}},
		{"grown fleet, pauses only", grownLoad(), slowSpan{}},
		{"grown fleet", grownLoad(), slowSpan{share: 0.15, factor: 8, from: 2 * time.Second, until: 10 * time.Second}},
		{"large fleet, pauses only", largeLoad(), slowSpan{}},
		{"large fleet", largeLoad(), slowSpan{share: 0.15, factor: 11, from: time.Second, until: 5 * time.Second}},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.load.slow = test.slow
			assertCredit(t, playAndLog(t, test.load), 0.95)
		})
	}
}
