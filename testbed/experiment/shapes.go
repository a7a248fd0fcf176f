package experiment

import (
	"poplarpin.dev/poplarpind/settings"
)

// shapes compares calls through owners with direct calls within split limits, at normal load and under overload, with
// one call in a hundred 20 times slower.
func shapes(bench *Bench, site Site) error {
	const name = "shapes"
	setups := []Setup{poplarpin, {Name: "split", Mode: settings.Split}, baseline}
	for _, part := range []float64{normalLoad, 0.6, overloadFactor} {
		for _, setup := range setups {
			result, err := bench.arm(site, setup, bench.plan(site, part), slowOneInHundred)
			if err != nil {
				return err
			}
			figures := site.figures(result)
			label := setup.Name + " at " + percent(part)
			bench.row(name, site, label+": p99, ms", seconds(figures.P99)*1000, "", true)
			bench.row(name, site, label+": whole in time", ratio(figures.InTime, figures.Sent), "", true)
			bench.row(name, site, label+": coverage", figures.Coverage, "", true)
			bench.row(name, site, label+": extra load", result.Report.ExtraLoad, "", true)
			bench.row(name, site, label+": most connections at a target", float64(result.Report.PeakOpen), "", true)
		}
	}
	return nil
}
