package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"

	"poplarpin.dev/core/api"
	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpin/output"
)

// version is set by the build.
var version = "unset"

// Exit codes of the process.
const (
	exitFailed   = 1 // the command or the request failed or was refused
	exitUsage    = 2 // the command line or an input file is invalid
	exitPartial  = 3 // the answer is partial and its coverage is below the minimum
	exitUnknown  = 4 // it is unknown whether the request or the release note took effect
	exitConflict = 5 // another release note was accepted first
)

// globals holds the flags that all commands share.
type globals struct {
	Server      string        `help:"URL of an entry VM: its operator address, or its caller address for query." env:"POPLARPIN_SERVER" default:"http://127.0.0.1:7301"`
	Output      output.Format `help:"How to print: table or json." enum:"table,json" default:"table" short:"o"`
	Certificate string        `help:"Certificate of the operator." type:"path"`
	Key         string        `help:"Key of the certificate." type:"path"`
	Authority   string        `help:"Certificate that signs those of entry VMs; empty for plain HTTP." type:"path"`
}

// cli declares the commands and flags.
type cli struct {
	globals
	Release releaseCommands  `cmd:"" help:"Apply, compare and list release notes."`
	Status  statusCommand    `cmd:"" help:"Show for each failure domain which release is in force."`
	Query   queryCommand     `cmd:"" help:"Send one request to a search service."`
	Dump    dumpCommand      `cmd:"" help:"Print the state of an entry VM's process."`
	Config  configCommands   `cmd:"" help:"Check files without applying them."`
	VMs     vmsCommand       `cmd:"" name:"vms" help:"Show of entry VMs on the platform who watches the store, and whose view is behind."`
	Check   platformCommand  `cmd:"" name:"check-config" help:"Check a configuration of the platform; exit code 2 if it has problems."`
	Load    loadCommand      `cmd:"" help:"Run an experiment with load and faults and check every answer."`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

const description = `Command line of operators and callers.

Exit codes: 0 done; 1 failed or refused; 2 wrong usage or input file; 3 answer below the least coverage;
4 unknown whether it took effect; 5 conflict with another release note.

Examples:
  poplarpin release diff note.yaml
  poplarpin release apply note.yaml --server https://10.0.0.4:7301
  poplarpin status -o json
  poplarpin query heat "shed 14" --server http://10.0.0.4:7201 --class alarm --deadline 200ms
  poplarpin check-config main.json
  poplarpin vms --peer 10.0.0.4:8106 --peer 10.0.0.5:8106
  poplarpin load examples/sahm.yaml`

func main() {
	var cli cli
	context := kong.Parse(&cli, kong.Name("poplarpin"), kong.Description(description),
		kong.Vars{"version": version}, kong.UsageOnError(),
		kong.Exit(func(code int) {
			if code != 0 { // kong exits with another code only if the command line is invalid
				code = exitUsage
			}
			os.Exit(code)
		}))
	if err := context.Run(&cli.globals); err != nil {
		fmt.Fprintln(os.Stderr, "poplarpin:", err)
		os.Exit(exitCode(err))
	}
}

func (globals *globals) client() (*client.Client, error) {
	return client.New(globals.Server, client.TLS{Certificate: globals.Certificate, Key: globals.Key, Authority: globals.Authority})
}

func (globals *globals) print(value any) error {
	return output.New(os.Stdout, globals.Output).Print(value)
}

// exitError is an error that sets the exit code of the process.
type exitError struct {
	code    int
	message string
}

// Error implements error.
func (err *exitError) Error() string { return err.message }

func exitCode(err error) int {
	var exit *exitError
	var apiError *api.Error
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &apiError) && apiError.Kind == api.ConflictKind:
		return exitConflict
	case errors.As(err, &apiError) && apiError.Kind == api.UnknownKind:
		return exitUnknown
	}
	return exitFailed
}
