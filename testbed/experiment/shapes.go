package experiment

import (
	"poplarpin.dev/poplarpind/settings"
)

// callPaths compares three ways to call targets: through their owners, from each VM within its part of the targets' limits, and from
// each VM without limits. It runs each at normal load, at 60% and under overload, with 1% of the calls 20 times slower.
func callPaths(bench *Bench, site Site) error {
	const name = "shapes"
	setups := []Setup{poplarpin, {Name: "split", Mode: settings.Split}, baseline}
	for _, utilization := range []float64{normalLoad, 0.6, overloadFactor} {
		for _, setup := range setups {
			result, err := bench.runArm(site, setup, bench.plan(site, utilization), slowOnePercent)
			if err != nil {
				return err
			}
			figures := site.highClassFigures(result)
			label := setup.Name + " at " + percent(utilization)
			bench.record(name, site, label+": p99, ms", seconds(figures.P99)*1000, "", true)
			bench.record(name, site, label+": whole in time", ratio(figures.InTime, figures.Sent), "", true)
			bench.record(name, site, label+": coverage", figures.Coverage, "", true)
			bench.record(name, site, label+": extra load", result.Report.ExtraLoad, "", true)
			bench.record(name, site, label+": most connections at a target", float64(result.Report.PeakOpen), "", true)
		}
	}
	return nil
}
