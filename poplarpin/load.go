package main

import (
	"context"
	"fmt"
	"os"

	"poplarpin.dev/poplarpin/load"
	"poplarpin.dev/poplarpin/output"
)

// loadCommand runs a load experiment.
type loadCommand struct {
	Plan string `arg:"" type:"existingfile" help:"Plan of the experiment in YAML."`
	Plot string `help:"SVG or PNG file for the latency over time." type:"path"`
}

// Run runs the experiment, prints and plots the report, and returns an error if a guarantee was violated.
func (command *loadCommand) Run(globals *globals) error {
	plan, err := load.Read(command.Plan)
	if err != nil {
		return &exitError{exitUsage, err.Error()}
	}
	experiment, err := load.New(plan)
	if err != nil {
		return err
	}
	report, err := experiment.Run(context.Background())
	if err != nil {
		return err
	}
	if globals.Output == output.JSON {
		err = globals.print(report)
	} else {
		report.Table(os.Stdout)
	}
	if err == nil && command.Plot != "" {
		err = report.Plot(command.Plot, command.Plan)
	}
	if err == nil && report.Broken > 0 {
		err = &exitError{exitFailed, fmt.Sprintf("%d guarantees were violated", report.Broken)}
	}
	return err
}
