package experiment

import (
	"fmt"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/testbed/fleet"
)

func percent(part float64) string { return fmt.Sprintf("%.0f%%", part*100) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

const (
	overloadFactor = 2
	highShare      = 0.3 // part of the arrivals under overload
	highWeight     = 10
)

// overload sends twice the load that the targets can serve, 70% of it in the low class.
func overload(bench *Bench, site Site) error {
	plan := bench.plan(site, overloadFactor)
	plan.Streams[0].Share, plan.Streams[0].Weight = highShare, highWeight
	low := plan.Streams[0]
	low.Class, low.Share, low.Weight = site.LowClass, 1-highShare, 1
	plan.Streams = append(plan.Streams, low)
	plan.Calls = 0
	baselineResult, err := bench.runArm(site, baseline, plan, nil)
	if err != nil {
		return err
	}
	poplarpinResult, err := bench.runArm(site, poplarpin, plan, nil)
	if err != nil {
		return err
	}
	const name = "overload"
	high := site.highClassFigures(poplarpinResult)
	bench.recordAtLeast(name, site, "high class whole in time", ratio(high.InTime, high.Sent), 0.99)
	bench.recordAtLeast(name, site, "goodput over twice baseline's", poplarpinResult.Report.Goodput-overloadFactor*baselineResult.Report.Goodput, 0)
	bench.record(name, site, "goodput, weighted/s", poplarpinResult.Report.Goodput, "", true)
	bench.record(name, site, "baseline's goodput, weighted/s", baselineResult.Report.Goodput, "", true)
	bench.recordNoViolations(name, site, poplarpinResult)
	return nil
}

const (
	faultAt              = warmUp + time.Second
	recoveryBoundSeconds = 2.0
)

// targetLosses kills a target, makes a target hang, and makes a fifth of the open connections go silent, each in an arm of its own.
func targetLosses(bench *Bench, site Site) error {
	lostTarget := fleet.TargetName(site.Service, 2, 0)
	faults := []struct {
		name  string
		fault load.Fault
	}{
		{"server killed", load.Fault{At: config.Duration(faultAt), Targets: []string{lostTarget}, Set: map[string]any{"down": true}}},
		{"server silent", load.Fault{At: config.Duration(faultAt), Targets: []string{lostTarget}, Set: map[string]any{"hung": true}}},
		{"a fifth of connections silent", load.Fault{At: config.Duration(faultAt), Set: map[string]any{"silent": 0.2}}},
	}
	for _, loss := range faults {
		for _, setup := range []Setup{baseline, poplarpin} {
			result, err := bench.runArm(site, setup, bench.plan(site, normalLoad), func(_ *fleet.Fleet, plan *load.Plan) error {
				plan.Faults = append(plan.Faults, loss.fault)
				return nil
			})
			if err != nil {
				return err
			}
			bench.recordTargetLoss(site, loss.name, setup, result)
		}
	}
	return nil
}

func (bench *Bench) recordTargetLoss(site Site, fault string, setup Setup, result Result) {
	const name = "losses"
	figures := site.highClassFigures(result)
	label := fault + ", " + setup.Name
	if setup.Name == baseline.Name {
		bench.record(name, site, label+": partial answers", float64(figures.Outcomes[api.Partial]), "", true)
		return
	}
	bench.recordAtMost(name, site, label+": seconds to whole coverage", seconds(result.Report.RecoveredIn), recoveryBoundSeconds)
	bench.record(name, site, label+": partial answers", float64(figures.Outcomes[api.Partial]), "", true)
	bench.record(name, site, label+": p99, ms", seconds(figures.P99)*1000, "", true)
	bench.recordAtMost(name, site, label+": extra load", result.Report.ExtraLoad, 0.05)
	bench.recordNoViolations(name, site, result)
}

// indexVersions publishes an index version each second with a different number of shards, while targets load new versions late and drop
// old ones.
func indexVersions(bench *Bench, site Site) error {
	poplarpinResult, err := bench.runArm(site, poplarpin, bench.plan(site, normalLoad), func(running *fleet.Fleet, plan *load.Plan) error {
		plan.Calls = 0
		return bench.scheduleIndexVersions(site, running, plan)
	})
	if err != nil {
		return err
	}
	const name = "versions"
	figures := site.highClassFigures(poplarpinResult)
	bench.recordAtLeast(name, site, "whole answers", ratio(figures.Outcomes[api.Complete], figures.Sent), 0.99)
	bench.recordNoViolations(name, site, poplarpinResult)
	bench.record(name, site, "p99, ms", seconds(figures.P99)*1000, "", true)
	return nil
}

// scheduleIndexVersions schedules one release note per second. Every other index version has a quarter fewer shards, and versions older
// than the last three are withdrawn.
func (bench *Bench) scheduleIndexVersions(site Site, running *fleet.Fleet, plan *load.Plan) error {
	group := site.group()
	for second := 1; second < bench.Seconds; second++ {
		version := int64(second + 1)
		shards := group.Shards
		if version%2 == 0 {
			shards = group.Shards * 3 / 4
		}
		note := release.Note{ID: fmt.Sprintf("%s-v%d", site.Service, version), Base: int64(second),
			Add: release.Objects{Indexes: []config.Index{group.Index(version, shards)}}}
		if version > 3 {
			note.Withdraw = []config.Key{config.IndexKey(site.Service, version-3)}
		}
		path, err := running.WriteNote(note)
		if err != nil {
			return err
		}
		at := warmUp + time.Duration(second)*time.Second
		plan.Notes = append(plan.Notes, path)
		plan.Faults = append(plan.Faults,
			load.Fault{At: config.Duration(at), Note: path},
			load.Fault{At: config.Duration(at + dropVersionDelay), Set: map[string]any{"oldestHeld": version - 2, "newestHeld": version}},
			load.Fault{At: config.Duration(at + time.Second - earlyDropLead), Set: map[string]any{"oldestHeld": version - 1, "newestHeld": version},
				Targets: []string{fleet.TargetName(site.Service, 1, 0)}})
	}
	return nil
}

const (
	dropVersionDelay = 300 * time.Millisecond // after a note, until targets load its version and drop old ones
	earlyDropLead    = 100 * time.Millisecond // before the next note, when one target drops the oldest version that it holds
)

// entryVMFaults freezes an entry VM for 10 s, kills another and lets the platform drop answers of writes, while a tenth of the requests
// are non-idempotent.
func entryVMFaults(bench *Bench, site Site) error {
	plan := bench.plan(site, normalLoad)
	plan.Calls = 0
	plan.Duration = config.Duration(warmUp + 20*time.Second)
	plan.Streams[0].Share = 0.9
	once := plan.Streams[0]
	once.Share, once.NonIdempotent, once.Twice, once.Shard, once.Class = 0.1, true, 0.3, "v1-s05", site.LowClass
	plan.Streams = append(plan.Streams, once)
	poplarpinResult, err := bench.runArm(site, poplarpin, plan, func(running *fleet.Fleet, plan *load.Plan) error {
		frozen, killed := running.VMs[1].PID(), running.VMs[2].PID()
		plan.Faults = append(plan.Faults,
			load.Fault{At: config.Duration(faultAt), PID: frozen, Signal: "STOP"},
			load.Fault{At: config.Duration(faultAt + 10*time.Second), PID: frozen, Signal: "CONT"},
			load.Fault{At: config.Duration(faultAt + 13*time.Second), PID: killed, Signal: "KILL"},
			load.Fault{At: config.Duration(faultAt + 15*time.Second), Platform: map[string]any{"loseWrite": 0.3}})
		return nil
	})
	if err != nil {
		return err
	}
	const name = "entryVMs"
	bench.recordNoViolations(name, site, poplarpinResult)
	figures := site.highClassFigures(poplarpinResult)
	bench.record(name, site, "whole in time", ratio(figures.InTime, figures.Sent), "", true)
	bench.record(name, site, "partial answers", float64(figures.Outcomes[api.Partial]), "", true)
	for outcome, count := range poplarpinResult.Report.Streams[site.Service+"/"+site.LowClass].Outcomes {
		bench.record(name, site, "non-idempotent "+string(outcome), float64(count), "", true)
	}
	return nil
}
