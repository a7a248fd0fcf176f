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
	plannedStopCount    = 20
	replacementDuration = 4 * time.Second // estimate for one planned stop and start
	stopDrainWait       = time.Second
	readyTimeout        = 30 * time.Second
)

// plannedStops stops and restarts entry VMs one after the other under load and counts the requests that fail.
func plannedStops(bench *Bench, site Site) error {
	folder, err := os.MkdirTemp("", "poplarpin-bench-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(site.Topology, fleet.Options{Bin: bench.Bin, Folder: folder, DrainWait: stopDrainWait, Seed: bench.Seed})
	if err != nil {
		return err
	}
	defer running.Stop()
	if err := running.ApplyTopology(); err != nil {
		return err
	}
	plan := bench.plan(site, normalLoad)
	plan.Duration = config.Duration(plannedStopCount * replacementDuration)
	if err := fillPlan(running, &plan); err != nil {
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
	bench.recordStops(site, report)
	return nil
}

// replaceAll stops the entry VMs in turn, plannedStopCount times in all, and waits after each restart until the VM is healthy.
func replaceAll(running *fleet.Fleet) error {
	time.Sleep(warmUp)
	for i := range plannedStopCount {
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
		if err := fleet.Await(readyTimeout, func() bool { return vm.CallerClient().Healthy(context.Background()) }); err != nil {
			return err
		}
	}
	return nil
}

func (bench *Bench) recordStops(site Site, report *load.Report) {
	const name = "stops"
	figures := report.Streams[site.Service+"/"+site.HighClass]
	unanswered := 0
	for _, count := range figures.Errors {
		unanswered += count
	}
	bench.record(name, site, "requests", float64(figures.Sent), "", true)
	bench.recordAtMost(name, site, "requests cut off or refused", float64(unanswered), 0)
	bench.record(name, site, "partial answers", float64(figures.Outcomes[api.Partial]), "", true)
	bench.record(name, site, "p99, ms", seconds(figures.P99)*1000, "", true)
	bench.recordAtMost(name, site, "broken promises", float64(report.Broken), 0)
}
