package main

import (
	"fmt"
	"os"
	"time"

	"poplarpin.dev/testbed/upgrade"
)

// upgradeCommand replaces the VMs of a fleet by those of another build under load, and checks the promises meanwhile.
type upgradeCommand struct {
	From       string        `help:"Commit whose build runs at first; this build if left out."`
	To         string        `help:"Commit whose build replaces it; this build if left out."`
	Rollback   bool          `help:"Half-way, put the first build back."`
	Seed       uint64        `help:"Seed of the order of VMs and of the load." default:"1"`
	Runs       int           `help:"Number of upgrades, with successive seeds." default:"1"`
	Phase      time.Duration `help:"How long the fleet runs before, amid and after the replacements." default:"3s"`
	Repository string        `help:"Repository with the commits." default:"." type:"path"`
}

// Run plays the upgrades and prints their reports; it fails if a rule was broken.
func (command *upgradeCommand) Run(globals *globals) error {
	folder, err := upgrade.NewFolder()
	if err != nil {
		return err
	}
	from, err := command.program(globals, command.From, folder)
	if err != nil {
		return err
	}
	to, err := command.program(globals, command.To, folder)
	if err != nil {
		return err
	}
	broken := 0
	for seed := command.Seed; seed < command.Seed+uint64(command.Runs); seed++ {
		fmt.Printf("== seed %d: from %s to %s, rolled back half-way: %v\n", seed, nameOf(command.From), nameOf(command.To), command.Rollback)
		report, err := upgrade.Play(upgrade.Plan{From: from, To: to, Rollback: command.Rollback, Seed: seed, Phase: command.Phase, Folder: folder})
		if err != nil {
			return fmt.Errorf("%w; logs in %s", err, folder)
		}
		if err := report.Print(os.Stdout); err != nil {
			return err
		}
		broken += len(report.Broken)
	}
	if broken > 0 {
		return &upgrade.Error{Op: "upgrade", Kind: upgrade.RuleBroken, Detail: fmt.Sprintf("%d broken rules; logs in %s", broken, folder)}
	}
	return os.RemoveAll(folder)
}

// program returns the program of a commit, or that of this build if none is named.
func (command *upgradeCommand) program(globals *globals, commit, folder string) (string, error) {
	if commit == "" {
		return globals.Bin + "/poplarpind", nil
	}
	return upgrade.Build(command.Repository, commit, folder)
}

func nameOf(commit string) string {
	if commit == "" {
		return "this build"
	}
	return commit
}

// corpusCommand records messages, objects, state and dump of a landed build, as test data of the builds that may run beside it.
type corpusCommand struct {
	Commit     string `arg:"" help:"Commit of a landed build."`
	Repository string `help:"Repository with the commit, whose test data is written." default:"." type:"path"`
}

// Run writes the test data.
func (command *corpusCommand) Run(*globals) error {
	folder, err := upgrade.NewFolder()
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	return upgrade.Record(command.Repository, command.Commit, folder)
}
