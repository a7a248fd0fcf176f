package main

import (
	"github.com/alecthomas/kong"
)

// globals holds the flags that all commands share.
type globals struct {
	Bin string `help:"Folder of the programs." default:"bin" type:"path"`
}

// cli describes the command line to kong.
type cli struct {
	globals
	Demo     demoCommand     `cmd:"" help:"Show the whole path on a small fleet."`
	Control  controlCommand  `cmd:"" help:"Measure what the control side costs and how fast releases are in force."`
	Capacity capacityCommand `cmd:"" help:"Make the tables of docs/CAPACITY.md anew from measured slopes."`
	Bench    benchCommand    `cmd:"" help:"Measure against plain scatter-gather in the same run."`
	Upgrade  upgradeCommand  `cmd:"" help:"Replace the VMs of a fleet by those of another build under load, and check the promises."`
	Corpus   corpusCommand   `cmd:"" help:"Record the messages, objects and dumps of a landed build as test data."`
}

func main() {
	var cli cli
	context := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Runs a small fleet of real processes on loopback."))
	context.FatalIfErrorf(context.Run(&cli.globals))
}
