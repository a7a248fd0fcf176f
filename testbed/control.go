package main

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
	"poplarpin.dev/testbed/fleet"
)

const (
	idleWindow      = 10 * time.Second
	noteInterval    = 300 * time.Millisecond
	adoptionTimeout = 20 * time.Second
	failureDomains  = 3
)

// controlCommand measures, for several fleet sizes, the cost of the control plane and how long releases take to be in force.
type controlCommand struct {
	VMs   []int `name:"vms" help:"Numbers of entry VMs for each of three failure domains." default:"2,4,8"`
	Notes int   `help:"Release notes to apply at each size." default:"40"`
}

// Run prints one line per fleet size.
func (command *controlCommand) Run(globals *globals) error {
	fmt.Println("VMS  MESSAGES/S  BYTES/S  CPU%  RSS MB  PLATFORM CALLS/S PER VM  IN FORCE P50  P99  MAX  PLATFORM CALLS PER NOTE (with idle calls)")
	for _, perDomain := range command.VMs {
		if err := command.measure(globals.Bin, perDomain); err != nil {
			return err
		}
	}
	return nil
}

func (command *controlCommand) measure(binFolder string, perDomain int) error {
	folder, err := os.MkdirTemp("", "poplarpin-control-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	topology := fleet.Demo()
	topology.FailureDomains = []string{"sohar", "salalah", "nizwa"}[:failureDomains]
	topology.VMsPerFailureDomain = perDomain
	running, err := fleet.Start(topology, fleet.Options{Bin: binFolder, Folder: folder, Seed: 1})
	if err != nil {
		return err
	}
	defer running.Stop()
	if err := running.ApplyTopology(); err != nil {
		return err
	}
	time.Sleep(idleWindow)
	idle, err := measureIdle(running)
	if err != nil {
		return err
	}
	latencies, callsPerNote, err := command.measureAdoption(running)
	if err != nil {
		return err
	}
	fmt.Printf("%-4d %-11.2f %-8.0f %-5.2f %-7.1f %-24.3f %-13s %-5s %-5s %.1f\n", len(running.VMs), idle.messages, idle.bytes,
		idle.cpu*100, idle.memory, idle.platform, percentile(latencies, 50), percentile(latencies, 99), percentile(latencies, 100), callsPerNote)
	return nil
}

func percentile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// usage holds counter totals of a fleet, or what one VM uses per second.
type usage struct {
	messages, bytes, cpu, platform float64
	memory                         float64 // in MB
}

// measureIdle returns what one VM of an idle fleet uses per second, averaged over all VMs and idleWindow.
func measureIdle(running *fleet.Fleet) (usage, error) {
	before, err := sumCounters(running)
	if err != nil {
		return usage{}, err
	}
	cpu := running.CPUTime()
	time.Sleep(idleWindow)
	after, err := sumCounters(running)
	if err != nil {
		return usage{}, err
	}
	scale := 1 / (idleWindow.Seconds() * float64(len(running.VMs)))
	return usage{
		messages: (after.messages - before.messages) * scale,
		bytes:    (after.bytes - before.bytes) * scale,
		platform: (after.platform - before.platform) * scale,
		cpu:      (running.CPUTime() - cpu).Seconds() * scale,
		memory:   float64(running.ResidentBytes()) / float64(len(running.VMs)) / (1 << 20),
	}, nil
}

// metrics is the part of a VM's /debug/vars that is read here.
type metrics struct {
	Messages map[string]float64 `json:"peerMessages"`
	Bytes    float64            `json:"peerBytesSent"`
	Platform map[string]float64 `json:"platformCalls"`
}

// sumCounters adds up the message, byte and platform call counters of all VMs.
func sumCounters(running *fleet.Fleet) (usage, error) {
	var sum usage
	for _, vm := range running.VMs {
		response, err := http.Get("http://" + vm.OperatorAddress + "/debug/vars")
		if err != nil {
			return sum, err
		}
		var counters metrics
		err = json.NewDecoder(response.Body).Decode(&counters)
		_ = response.Body.Close()
		if err != nil {
			return sum, err
		}
		sum.bytes += counters.Bytes
		sum.messages += sumCounts(counters.Messages)
		sum.platform += sumCounts(counters.Platform)
	}
	return sum, nil
}

func sumCounts(counts map[string]float64) float64 {
	var sum float64
	for count := range maps.Values(counts) {
		sum += count
	}
	return sum
}

// measureAdoption applies notes one after the other. It returns the time from each acceptance until each VM, by its own dump, had
// the release in force, and the platform calls per note.
func (command *controlCommand) measureAdoption(running *fleet.Fleet) (*hdrhistogram.Histogram, float64, error) {
	histogram := hdrhistogram.New(1, adoptionTimeout.Microseconds(), 3)
	before, err := sumCounters(running)
	if err != nil {
		return nil, 0, err
	}
	for i := range command.Notes {
		note := release.Note{ID: fmt.Sprintf("control-%d", i), Base: int64(i + 1),
			Add: release.Objects{Classes: []config.Class{{Name: fmt.Sprintf("control-%d", i)}}}}
		vm := running.VMs[i%len(running.VMs)]
		accepted, err := running.Apply(vm, note)
		if err != nil {
			return nil, 0, err
		}
		acceptedAt := time.Now()
		if err := fleet.Await(adoptionTimeout, func() bool { return running.InForce(accepted.Release, running.VMs...) }); err != nil {
			return nil, 0, err
		}
		for _, vm := range running.VMs {
			_ = histogram.RecordValue(max(1, adoptionTime(vm).Sub(acceptedAt).Microseconds()))
		}
		time.Sleep(noteInterval)
	}
	after, err := sumCounters(running)
	if err != nil {
		return nil, 0, err
	}
	return histogram, (after.platform - before.platform) / float64(command.Notes), nil
}

// adoptionTime returns when a VM put its current release in force, the zero time if its dump cannot be read.
func adoptionTime(vm *fleet.VM) time.Time {
	var dump struct{ Adopted time.Time }
	data, err := vm.OperatorClient().Dump(context.Background())
	if err == nil {
		_ = json.Unmarshal(data, &dump)
	}
	return dump.Adopted
}
