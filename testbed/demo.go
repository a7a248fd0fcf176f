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
	demoRequests = 400
	demoPause    = 5 * time.Millisecond // between requests during the planned stop
	demoDrain    = time.Second
)

// demoCommand shows a whole answer, an honestly partial one and a planned stop.
type demoCommand struct{}

// Run starts a small fleet and prints what happens.
func (command *demoCommand) Run(globals *globals) error {
	folder, err := os.MkdirTemp("", "poplarpin-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: globals.Bin, Folder: folder, DrainWait: demoDrain, Seed: 1})
	if err != nil {
		return err
	}
	defer running.Stop()
	fmt.Printf("== %d entry VMs in %d failure domains, %d targets\n", len(running.VMs), len(running.Topology.Domains), len(running.Targets))
	if err := running.Prepare(); err != nil {
		return err
	}
	for _, step := range []func(*fleet.Fleet) error{showStatus, showWhole, showPartial, showStop} {
		if err := step(running); err != nil {
			return err
		}
	}
	fmt.Println("== done; logs were in", filepath.Base(folder))
	return nil
}

func show(value any) error { return output.New(os.Stdout, output.Table).Print(value) }

func showStatus(running *fleet.Fleet) error {
	fmt.Println("== a release note was applied and is in force everywhere")
	status, err := running.VMs[1].Client().Status(context.Background())
	if err != nil {
		return err
	}
	return show(status)
}

func ask(vm *fleet.VM, id string) (api.Answer, error) {
	return vm.Callers().Query(context.Background(), api.Request{ID: id, Service: "heat", Query: "tripped"})
}

func showWhole(running *fleet.Fleet) error {
	fmt.Println("== a query with every target up")
	answer, err := ask(running.VMs[0], "demo-whole")
	if err != nil {
		return err
	}
	if answer.Outcome != api.Complete {
		return fmt.Errorf("the answer is %s, not whole", answer.Outcome)
	}
	return show(answer)
}

func showPartial(running *fleet.Fleet) error {
	fmt.Println("== both replicas of one shard are lost")
	lost := []string{"heat-03-a", "heat-03-b"}
	if err := running.SetTargets(target.Faults{Down: true}, lost...); err != nil {
		return err
	}
	answer, err := ask(running.VMs[0], "demo-partial")
	if err != nil {
		return err
	}
	if answer.Outcome != api.Partial || len(answer.Missing) != 1 {
		return fmt.Errorf("the answer is %s with %d shards missing, not partial with 1", answer.Outcome, len(answer.Missing))
	}
	if err := show(answer); err != nil {
		return err
	}
	return running.SetTargets(target.Faults{}, lost...)
}

// showStop stops one entry VM under requests, which a balancer that checks health sends to it until it says no.
func showStop(running *fleet.Fleet) error {
	fmt.Println("== a planned stop of one entry VM under load")
	leaving, staying := running.VMs[3], running.VMs[2]
	if err := leaving.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	answered := 0
	for i := range demoRequests {
		vm := staying
		if leaving.Callers().Healthy(context.Background()) {
			vm = leaving
		}
		if _, err := ask(vm, fmt.Sprintf("demo-stop-%d", i)); err != nil {
			return fmt.Errorf("request %d was cut off: %w", i, err)
		}
		answered++
		time.Sleep(demoPause)
	}
	if err := leaving.Wait(); err != nil {
		return fmt.Errorf("the stopped VM ended with %w", err)
	}
	fmt.Printf("%d requests answered, 0 cut off; %s has exited\n", answered, leaving.Name)
	return nil
}
