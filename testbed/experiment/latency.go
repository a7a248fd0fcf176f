package experiment

import (
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/testbed/fleet"
)

func seconds(duration config.Duration) float64 { return duration.Std().Seconds() }

// noFault compares latency, CPU time per call and extra load when nothing fails.
func noFault(bench *Bench, site Site) error {
	baselineResult, err := bench.runArm(site, baseline, bench.plan(site, normalLoad), nil)
	if err != nil {
		return err
	}
	poplarpinResult, err := bench.runArm(site, poplarpin, bench.plan(site, normalLoad), nil)
	if err != nil {
		return err
	}
	const name = "noFault"
	bench.recordAtMost(name, site, "median over baseline's", seconds(site.highClassFigures(poplarpinResult).P50)/seconds(site.highClassFigures(baselineResult).P50), 1.15)
	bench.record(name, site, "p99 over baseline's", seconds(site.highClassFigures(poplarpinResult).P99)/seconds(site.highClassFigures(baselineResult).P99), "", true)
	bench.record(name, site, "added CPU a call, us", float64((poplarpinResult.PerCall - baselineResult.PerCall).Microseconds()), "", true)
	bench.recordAtMost(name, site, "extra load", poplarpinResult.Report.ExtraLoad, 0.05)
	bench.recordNoViolations(name, site, poplarpinResult)
	return nil
}

// slowOnePercent adds a fault to a load plan that makes 1% of the calls 20 times slower.
func slowOnePercent(_ *fleet.Fleet, plan *load.Plan) error {
	plan.Faults = append(plan.Faults, load.Fault{Set: map[string]any{"slowPart": 0.01, "slowFactor": 20}})
	return nil
}

// slowCalls makes 1% of the calls 20 times slower.
func slowCalls(bench *Bench, site Site) error {
	baselineResult, err := bench.runArm(site, baseline, bench.plan(site, normalLoad), slowOnePercent)
	if err != nil {
		return err
	}
	poplarpinResult, err := bench.runArm(site, poplarpin, bench.plan(site, normalLoad), slowOnePercent)
	if err != nil {
		return err
	}
	const name = "slowCalls"
	bench.recordAtMost(name, site, "p99 over baseline's", seconds(site.highClassFigures(poplarpinResult).P99)/seconds(site.highClassFigures(baselineResult).P99), 1.0/3)
	bench.recordAtMost(name, site, "extra load", poplarpinResult.Report.ExtraLoad, 0.05)
	bench.recordNoViolations(name, site, poplarpinResult)
	return nil
}

const slowReplicaDuration = 60 * time.Second

// slowReplica makes one replica of a tenth of the shards 20 times slower for a minute.
func slowReplica(bench *Bench, site Site) error {
	plan := bench.plan(site, normalLoad)
	noFaultResult, err := bench.runArm(site, poplarpin, plan, nil)
	if err != nil {
		return err
	}
	plan.Duration = config.Duration(warmUp + slowReplicaDuration)
	slowReplicas := func(_ *fleet.Fleet, plan *load.Plan) error {
		for shard := range site.group().Shards / 10 {
			plan.Faults = append(plan.Faults, load.Fault{At: config.Duration(warmUp), Set: map[string]any{"slow": 20},
				Targets: []string{fleet.TargetName(site.Service, shard, 0)}})
		}
		return nil
	}
	baselineResult, err := bench.runArm(site, baseline, plan, slowReplicas)
	if err != nil {
		return err
	}
	poplarpinResult, err := bench.runArm(site, poplarpin, plan, slowReplicas)
	if err != nil {
		return err
	}
	const name = "slowReplica"
	bench.recordAtMost(name, site, "p99 over that without fault", seconds(site.highClassFigures(poplarpinResult).P99)/seconds(site.highClassFigures(noFaultResult).P99), 1.5)
	bench.record(name, site, "p99 over baseline's", seconds(site.highClassFigures(poplarpinResult).P99)/seconds(site.highClassFigures(baselineResult).P99), "", true)
	bench.recordAtMost(name, site, "extra load", poplarpinResult.Report.ExtraLoad, 0.05)
	bench.recordNoViolations(name, site, poplarpinResult)
	return nil
}

// ownerQueueing compares owners that queue calls until the target has a free or nearly free slot with owners that send them at once.
func ownerQueueing(bench *Bench, site Site) error {
	const name = "justInTime"
	unlimited, none, one := 1000, 0, 1
	for _, utilization := range []float64{0.4, 0.8, 1.2} {
		for _, setup := range []Setup{
			{Name: "eager", Mode: poplarpin.Mode, ExtraInFlight: &unlimited},
			{Name: "slots only", Mode: poplarpin.Mode, ExtraInFlight: &none},
			{Name: "slots and one", Mode: poplarpin.Mode, ExtraInFlight: &one},
		} {
			result, err := bench.runArm(site, setup, bench.plan(site, utilization), slowOnePercent)
			if err != nil {
				return err
			}
			figures := site.highClassFigures(result)
			label := setup.Name + " at " + percent(utilization)
			bench.record(name, site, label+": p99, ms", seconds(figures.P99)*1000, "", true)
			bench.record(name, site, label+": in time", ratio(figures.InTime, figures.Sent), "", true)
			bench.record(name, site, label+": extra load", result.Report.ExtraLoad, "", true)
		}
	}
	return nil
}
