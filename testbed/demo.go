package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/poplarpin/output"
	"poplarpin.dev/standin/target"
	"poplarpin.dev/testbed/fleet"
)

const (
	demoRequests        = 400
	demoRequestInterval = 5 * time.Millisecond
	demoDrainWait       = time.Second
)

// demoCommand shows a complete answer, a partial answer that names the missing shard, and a planned stop.
type demoCommand struct{}

// Run starts a small fleet and prints each step and its result.
func (command *demoCommand) Run(globals *globals) error {
	folder, err := os.MkdirTemp("", "poplarpin-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: globals.Bin, Folder: folder, DrainWait: demoDrainWait, Seed: 1})
	if err != nil {
		return err
	}
	defer running.Stop()
	fmt.Printf("== %d entry VMs in %d failure domains, %d targets\n", len(running.VMs), len(running.Topology.FailureDomains), len(running.Targets))
	if err := running.ApplyTopology(); err != nil {
		return err
	}
	for _, step := range []func(*fleet.Fleet) error{showStatus, showCompleteAnswer, showPartialAnswer, showPlannedStop} {
		if err := step(running); err != nil {
			return err
		}
	}
	fmt.Println("== done; logs were in", filepath.Base(folder))
	return nil
}

func printTable(value any) error { return output.New(os.Stdout, output.Table).Print(value) }

func showStatus(running *fleet.Fleet) error {
	fmt.Println("== a release note is in force on all entry VMs")
	status, err := running.VMs[1].OperatorClient().Status(context.Background())
	if err != nil {
		return err
	}
	return printTable(status)
}

func query(vm *fleet.VM, id string) (api.Answer, error) {
	return vm.CallerClient().Query(context.Background(), api.Request{ID: id, Service: "heat", Query: "tripped"})
}

func showCompleteAnswer(running *fleet.Fleet) error {
	fmt.Println("== a query while every target is up")
	answer, err := query(running.VMs[0], "demo-whole")
	if err != nil {
		return err
	}
	if answer.Outcome != api.Complete {
		return fmt.Errorf("the answer's outcome is %q, want complete", answer.Outcome)
	}
	return printTable(answer)
}

func showPartialAnswer(running *fleet.Fleet) error {
	fmt.Println("== a query while both replicas of one shard are down")
	lostTargets := []string{"heat-03-a", "heat-03-b"}
	if err := running.SetTargets(target.Faults{Down: true}, lostTargets...); err != nil {
		return err
	}
	answer, err := query(running.VMs[0], "demo-partial")
	if err != nil {
		return err
	}
	if answer.Outcome != api.Partial || len(answer.Missing) != 1 {
		return fmt.Errorf("the answer's outcome is %q with %d shards missing, want partial with 1", answer.Outcome, len(answer.Missing))
	}
	if err := printTable(answer); err != nil {
		return err
	}
	return running.SetTargets(target.Faults{}, lostTargets...)
}

// showPlannedStop stops one entry VM under load. Requests go to it, as from a load balancer, until its health check fails.
func showPlannedStop(running *fleet.Fleet) error {
	fmt.Println("== a planned stop of one entry VM under load")
	stopping, serving := running.VMs[3], running.VMs[2]
	if err := stopping.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	answered := 0
	for i := range demoRequests {
		vm := serving
		if stopping.CallerClient().Healthy(context.Background()) {
			vm = stopping
		}
		if _, err := query(vm, fmt.Sprintf("demo-stop-%d", i)); err != nil {
			return fmt.Errorf("request %d failed during the planned stop: %w", i, err)
		}
		answered++
		time.Sleep(demoRequestInterval)
	}
	if err := stopping.Wait(); err != nil {
		return fmt.Errorf("the stopped VM did not exit cleanly: %w", err)
	}
	fmt.Printf("%d requests answered, 0 failed; %s has exited\n", answered, stopping.Name)
	return nil
}
