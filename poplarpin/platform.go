package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpin/inspect"
)

type platformCommand struct {
	File string `arg:"" type:"existingfile" help:"Configuration in JSON: the spec of the object config/main in the platform's store."`
}

type vmsCommand struct {
	Peer       []string      `required:"" help:"Peer address of an entry VM (listen_addrs.control of its settings); repeated for several."`
	MaxViewAge time.Duration `help:"Age above which a view counts as behind: config_apply_ms of the settings." default:"5s"`
	Timeout    time.Duration `help:"Time for the dumps of all VMs." default:"2s"`
}

// Run checks a configuration of the platform without contacting anything.
func (command *platformCommand) Run(globals *globals) error {
	data, err := os.ReadFile(command.File)
	if err != nil {
		return err
	}
	config, err := inspect.CheckConfig(data)
	if err != nil {
		return &exitError{exitUsage, err.Error()}
	}
	if err := globals.print(config); err != nil {
		return err
	}
	if len(config.Problems) > 0 {
		return &exitError{exitUsage, fmt.Sprintf("%s: %d problems", command.File, len(config.Problems))}
	}
	return nil
}

// Run reads the dumps of entry VMs and prints what they know of the store.
func (command *vmsCommand) Run(globals *globals) error {
	ctx, cancel := context.WithTimeout(context.Background(), command.Timeout)
	defer cancel()
	fleet := make(inspect.Fleet, len(command.Peer))
	var reads sync.WaitGroup
	for i, peer := range command.Peer {
		reads.Go(func() { fleet[i] = readVM(ctx, peer) })
	}
	reads.Wait()
	fleet.MarkBehind(command.MaxViewAge)
	if err := globals.print(fleet); err != nil {
		return err
	}
	if unread := fleet.Unread(); unread > 0 {
		return &exitError{exitFailed, fmt.Sprintf("%d of %d VMs could not be read", unread, len(fleet))}
	}
	return nil
}

// readVM reads the dump of one VM.
func readVM(ctx context.Context, peer string) inspect.VM {
	client, err := client.New("http://"+peer, client.TLS{})
	if err != nil {
		return inspect.VM{Peer: peer, Error: err.Error()}
	}
	dump, err := client.PlatformDump(ctx)
	if err != nil {
		return inspect.VM{Peer: peer, Error: err.Error()}
	}
	return inspect.ReadVM(peer, dump)
}
