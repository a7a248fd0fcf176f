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
	idleSpan   = 10 * time.Second
	notePause  = 300 * time.Millisecond // between two notes
	forceLimit = 20 * time.Second
	domainsOf  = 3
)

// controlCommand measures what the control side costs and how fast releases are in force, against the number of VMs.
type controlCommand struct {
	VMs   []int `name:"vms" help:"Numbers of entry VMs for each of three failure domains." default:"2,4,8"`
	Notes int   `help:"Release notes to apply at each size." default:"40"`
}

// Run prints a line for each size.
func (command *controlCommand) Run(globals *globals) error {
	fmt.Println("VMS  MESSAGES/S  BYTES/S  CPU%  RSS MB  PLATFORM CALLS/S A VM  IN FORCE P50  P99  MAX  PLATFORM CALLS A NOTE (idle ones included)")
	for _, perDomain := range command.VMs {
		if err := command.measure(globals.Bin, perDomain); err != nil {
			return err
		}
	}
	return nil
}

func (command *controlCommand) measure(bin string, perDomain int) error {
	folder, err := os.MkdirTemp("", "poplarpin-control-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	topology := fleet.Demo()
	topology.Domains = []string{"sohar", "salalah", "nizwa"}[:domainsOf]
	topology.VMsPerDomain = perDomain
	running, err := fleet.Start(topology, fleet.Options{Bin: bin, Folder: folder, Seed: 1})
	if err != nil {
		return err
	}
	defer running.Stop()
	if err := running.Prepare(); err != nil {
		return err
	}
	time.Sleep(idleSpan)
	idle, err := observe(running)
	if err != nil {
		return err
	}
	forced, calls, err := command.apply(running)
	if err != nil {
		return err
	}
	fmt.Printf("%-4d %-11.2f %-8.0f %-5.2f %-7.1f %-22.3f %-13s %-5s %-5s %.1f\n", len(running.VMs), idle.messages, idle.bytes,
		idle.cpu*100, idle.memory, idle.platform, at(forced, 50), at(forced, 99), at(forced, 100), calls)
	return nil
}

func at(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// usage is what one VM spends a second.
type usage struct {
	messages, bytes, cpu, platform float64
	memory                         float64 // MB
}

// observe watches an idle fleet for a while.
func observe(running *fleet.Fleet) (usage, error) {
	before, err := totals(running)
	if err != nil {
		return usage{}, err
	}
	cpu := running.CPU()
	time.Sleep(idleSpan)
	after, err := totals(running)
	if err != nil {
		return usage{}, err
	}
	scale := 1 / (idleSpan.Seconds() * float64(len(running.VMs)))
	return usage{
		messages: (after.messages - before.messages) * scale,
		bytes:    (after.bytes - before.bytes) * scale,
		platform: (after.platform - before.platform) * scale,
		cpu:      (running.CPU() - cpu).Seconds() * scale,
		memory:   float64(running.Memory()) / float64(len(running.VMs)) / (1 << 20),
	}, nil
}

type metrics struct {
	Messages map[string]float64 `json:"peerMessages"`
	Bytes    float64            `json:"peerBytesSent"`
	Platform map[string]float64 `json:"platformCalls"`
}

// totals adds up the counters of all VMs.
func totals(running *fleet.Fleet) (usage, error) {
	var sum usage
	for _, vm := range running.VMs {
		response, err := http.Get("http://" + vm.Operator + "/debug/vars")
		if err != nil {
			return sum, err
		}
		var found metrics
		err = json.NewDecoder(response.Body).Decode(&found)
		_ = response.Body.Close()
		if err != nil {
			return sum, err
		}
		sum.bytes += found.Bytes
		sum.messages += total(found.Messages)
		sum.platform += total(found.Platform)
	}
	return sum, nil
}

func total(counts map[string]float64) float64 {
	var sum float64
	for count := range maps.Values(counts) {
		sum += count
	}
	return sum
}

// apply submits notes one after the other and reads from each VM's dump when it had the release in force.
func (command *controlCommand) apply(running *fleet.Fleet) (*hdrhistogram.Histogram, float64, error) {
	histogram := hdrhistogram.New(1, forceLimit.Microseconds(), 3)
	before, err := totals(running)
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
		answered := time.Now()
		if err := fleet.Await(forceLimit, func() bool { return running.InForce(accepted.Release, running.VMs...) }); err != nil {
			return nil, 0, err
		}
		for _, vm := range running.VMs {
			_ = histogram.RecordValue(max(1, adopted(vm).Sub(answered).Microseconds()))
		}
		time.Sleep(notePause)
	}
	after, err := totals(running)
	if err != nil {
		return nil, 0, err
	}
	return histogram, (after.platform - before.platform) / float64(command.Notes), nil
}

// adopted returns when a VM put its release in force.
func adopted(vm *fleet.VM) time.Time {
	var dump struct{ Adopted time.Time }
	data, err := vm.Client().Dump(context.Background())
	if err == nil {
		_ = json.Unmarshal(data, &dump)
	}
	return dump.Adopted
}
