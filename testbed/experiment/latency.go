package experiment

import (
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/testbed/fleet"
)

func seconds(duration config.Duration) float64 { return duration.Std().Seconds() }

// noFault compares medians and cost when nothing fails.
func noFault(bench *Bench, site Site) error {
	plain, err := bench.arm(site, baseline, bench.plan(site, normalLoad), nil)
	if err != nil {
		return err
	}
	full, err := bench.arm(site, poplarpin, bench.plan(site, normalLoad), nil)
	if err != nil {
		return err
	}
	const name = "noFault"
	bench.atMost(name, site, "median over baseline's", seconds(site.figures(full).P50)/seconds(site.figures(plain).P50), 1.15)
	bench.row(name, site, "p99 over baseline's", seconds(site.figures(full).P99)/seconds(site.figures(plain).P99), "", true)
	bench.row(name, site, "added CPU a call, us", float64((full.PerCall - plain.PerCall).Microseconds()), "", true)
	bench.atMost(name, site, "extra load", full.Report.ExtraLoad, 0.05)
	bench.honest(name, site, full)
	return nil
}

// slowOneInHundred adds to a plan that one call in a hundred is 20 times slower.
func slowOneInHundred(_ *fleet.Fleet, plan *load.Plan) error {
	plan.Faults = append(plan.Faults, load.Fault{Set: map[string]any{"slowPart": 0.01, "slowFactor": 20}})
	return nil
}

// slowCalls makes one call in a hundred 20 times slower.
func slowCalls(bench *Bench, site Site) error {
	plain, err := bench.arm(site, baseline, bench.plan(site, normalLoad), slowOneInHundred)
	if err != nil {
		return err
	}
	full, err := bench.arm(site, poplarpin, bench.plan(site, normalLoad), slowOneInHundred)
	if err != nil {
		return err
	}
	const name = "slowCalls"
	bench.atMost(name, site, "p99 over baseline's", seconds(site.figures(full).P99)/seconds(site.figures(plain).P99), 1.0/3)
	bench.atMost(name, site, "extra load", full.Report.ExtraLoad, 0.05)
	bench.honest(name, site, full)
	return nil
}

const slowReplicaSpan = 60 * time.Second

// slowReplica makes one replica of a tenth of the shards 20 times slower for a minute.
func slowReplica(bench *Bench, site Site) error {
	plan := bench.plan(site, normalLoad)
	calm, err := bench.arm(site, poplarpin, plan, nil)
	if err != nil {
		return err
	}
	plan.Duration = config.Duration(warmUp + slowReplicaSpan)
	slow := func(_ *fleet.Fleet, plan *load.Plan) error {
		for shard := range site.group().Shards / 10 {
			plan.Faults = append(plan.Faults, load.Fault{At: config.Duration(warmUp), Set: map[string]any{"slow": 20},
				Targets: []string{fleet.TargetName(site.Service, shard, 0)}})
		}
		return nil
	}
	plain, err := bench.arm(site, baseline, plan, slow)
	if err != nil {
		return err
	}
	full, err := bench.arm(site, poplarpin, plan, slow)
	if err != nil {
		return err
	}
	const name = "slowReplica"
	bench.atMost(name, site, "p99 over that without fault", seconds(site.figures(full).P99)/seconds(site.figures(calm).P99), 1.5)
	bench.row(name, site, "p99 over baseline's", seconds(site.figures(full).P99)/seconds(site.figures(plain).P99), "", true)
	bench.atMost(name, site, "extra load", full.Report.ExtraLoad, 0.05)
	bench.honest(name, site, full)
	return nil
}

// justInTime compares calls held at the owner until a slot is nearly free with calls sent at once.
func justInTime(bench *Bench, site Site) error {
	const name = "justInTime"
	eager, tight, near := 1000, 0, 1
	for _, part := range []float64{0.4, 0.8, 1.2} {
		for _, setup := range []Setup{
			{Name: "eager", Mode: poplarpin.Mode, Extra: &eager},
			{Name: "slots only", Mode: poplarpin.Mode, Extra: &tight},
			{Name: "slots and one", Mode: poplarpin.Mode, Extra: &near},
		} {
			result, err := bench.arm(site, setup, bench.plan(site, part), slowOneInHundred)
			if err != nil {
				return err
			}
			figures := site.figures(result)
			label := setup.Name + " at " + percent(part)
			bench.row(name, site, label+": p99, ms", seconds(figures.P99)*1000, "", true)
			bench.row(name, site, label+": in time", ratio(figures.InTime, figures.Sent), "", true)
			bench.row(name, site, label+": extra load", result.Report.ExtraLoad, "", true)
		}
	}
	return nil
}
