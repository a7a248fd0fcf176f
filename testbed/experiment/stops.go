package experiment

import (
	"context"
	"os"
	"syscall"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/testbed/fleet"
)

const (
	plannedStops = 20
	stopSpan     = 4 * time.Second // about what one stop and start takes
	stopDrain    = time.Second
	readyLimit   = 30 * time.Second
)

// stops replaces entry VMs one after the other by planned stops under load and counts the requests that are cut off.
func stops(bench *Bench, site Site) error {
	folder, err := os.MkdirTemp("", "poplarpin-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(site.Topology, fleet.Options{Bin: bench.Bin, Folder: folder, DrainWait: stopDrain, Seed: bench.Seed})
	if err != nil {
		return err
	}
	defer running.Stop()
	if err := running.Prepare(); err != nil {
		return err
	}
	plan := bench.plan(site, normalLoad)
	plan.Duration = config.Duration(plannedStops * stopSpan)
	if err := complete(running, &plan); err != nil {
		return err
	}
	experiment, err := load.New(plan)
	if err != nil {
		return err
	}
	replaced := make(chan error, 1)
	go func() { replaced <- replaceAll(running) }()
	report, err := experiment.Run(context.Background())
	if err != nil {
		return err
	}
	if err := <-replaced; err != nil {
		return err
	}
	bench.stopRows(site, report)
	return nil
}

// replaceAll stops and starts entry VMs in turn.
func replaceAll(running *fleet.Fleet) error {
	time.Sleep(warmUp)
	for i := range plannedStops {
		vm := running.VMs[i%len(running.VMs)]
		if err := vm.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		if err := vm.Wait(); err != nil {
			return err
		}
		if err := running.Launch(vm); err != nil {
			return err
		}
		if err := fleet.Await(readyLimit, func() bool { return vm.Callers().Healthy(context.Background()) }); err != nil {
			return err
		}
	}
	return nil
}

func (bench *Bench) stopRows(site Site, report *load.Report) {
	const name = "stops"
	figures := report.Streams[site.Service+"/"+site.High]
	unanswered := 0
	for _, count := range figures.Errors {
		unanswered += count
	}
	bench.row(name, site, "requests", float64(figures.Sent), "", true)
	bench.atMost(name, site, "requests cut off or refused", float64(unanswered), 0)
	bench.row(name, site, "partial answers", float64(figures.Outcomes[api.Partial]), "", true)
	bench.row(name, site, "p99, ms", seconds(figures.P99)*1000, "", true)
	bench.atMost(name, site, "broken promises", float64(report.Broken), 0)
}
