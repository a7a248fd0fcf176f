package main

import (
	"github.com/alecthomas/kong"
)

// globals holds the flags that all commands share.
type globals struct {
	Bin string `help:"Folder that holds the poplarpind and standin binaries." default:"bin" type:"path"`
}

// cli describes the command line to kong.
type cli struct {
	globals
	Demo     demoCommand     `cmd:"" help:"Demonstrate complete and partial answers and a planned stop on a small fleet."`
	Control  controlCommand  `cmd:"" help:"Measure the cost of the control plane and how long releases take to be in force."`
	Capacity capacityCommand `cmd:"" help:"Regenerate the tables of docs/CAPACITY.md from measured slopes."`
	Bench    benchCommand    `cmd:"" help:"Compare with plain scatter-gather in the same run."`
}

func main() {
	var cli cli
	context := kong.Parse(&cli, kong.Name("testbed"), kong.Description("Runs a small fleet of real processes on loopback."))
	context.FatalIfErrorf(context.Run(&cli.globals))
}
