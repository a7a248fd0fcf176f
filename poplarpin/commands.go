package main

import (
	"context"
	"fmt"
	"net"
	"os"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpin/client"
)

// releaseCommands holds the commands for release notes.
type releaseCommands struct {
	Apply   applyCommand   `cmd:"" help:"Submit a release note; submitting the same note again is harmless."`
	Diff    diffCommand    `cmd:"" help:"Show what a release note would change."`
	History historyCommand `cmd:"" help:"List the accepted notes, newest first."`
	Show    showCommand    `cmd:"" help:"Print the note of a release."`
}

type applyCommand struct {
	Note string `arg:"" type:"existingfile" help:"Release note in YAML."`
}

type diffCommand struct {
	Note string `arg:"" type:"existingfile" help:"Release note in YAML."`
}

type historyCommand struct{}

type showCommand struct {
	Release int64 `arg:"" help:"Number of the release."`
}

type statusCommand struct{}

type dumpCommand struct{}

// configCommands holds the commands that check files without an entry VM.
type configCommands struct {
	Check checkCommand `cmd:"" help:"Check a release note; exit code 2 names file, line and field of the first error."`
}

type checkCommand struct {
	Note string `arg:"" type:"existingfile" help:"Release note in YAML."`
}

type queryCommand struct {
	Service       string          `arg:"" help:"Search service."`
	Query         string          `arg:"" help:"What to search for."`
	Class         string          `help:"Class of the request; the service's first class if not given."`
	Deadline      config.Duration `help:"Time for the answer, such as 200ms; the service's if not given."`
	Top           int             `help:"Records wanted." default:"100"`
	LeastCoverage *float64        `help:"Coverage below which the exit code is 3."`
	ID            string          `help:"Id of the request; a new one if not given."`
	NonIdempotent bool            `help:"Run the request at most once; needs --shard and keeps --id for retries."`
	Shard         string          `help:"The one shard that a non-idempotent request runs on."`
}

func readNote(path string) (release.Note, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return release.Note{}, err
	}
	note, err := release.ParseNote(path, data)
	if err != nil {
		return note, &exitError{exitUsage, err.Error()}
	}
	return note, nil
}

// callAndPrint calls an entry VM and prints the result.
func (globals *globals) callAndPrint(call func(context.Context, *client.Client) (any, error)) error {
	client, err := globals.client()
	if err != nil {
		return err
	}
	result, err := call(context.Background(), client)
	if err != nil {
		return err
	}
	return globals.print(result)
}

// Run submits a release note and prints the accepted release.
func (command *applyCommand) Run(globals *globals) error {
	note, err := readNote(command.Note)
	if err != nil {
		return err
	}
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) { return client.Apply(ctx, note) })
}

// Run prints the changes that a release note would make.
func (command *diffCommand) Run(globals *globals) error {
	note, err := readNote(command.Note)
	if err != nil {
		return err
	}
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) { return client.Diff(ctx, note) })
}

// Run prints the accepted releases, newest first.
func (command *historyCommand) Run(globals *globals) error {
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) { return client.History(ctx) })
}

// Run prints the release note of a release.
func (command *showCommand) Run(globals *globals) error {
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) {
		return client.Show(ctx, command.Release)
	})
}

// Run prints the status of the fleet.
func (command *statusCommand) Run(globals *globals) error {
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) { return client.Status(ctx) })
}

// Run prints the internal state of the entry VM's process.
func (command *dumpCommand) Run(globals *globals) error {
	return globals.callAndPrint(func(ctx context.Context, client *client.Client) (any, error) { return client.Dump(ctx) })
}

// Run checks a release note without contacting an entry VM.
func (command *checkCommand) Run(*globals) error {
	_, err := readNote(command.Note)
	return err
}

// Run sends one request, prints the answer and derives the exit code from it.
func (command *queryCommand) Run(globals *globals) error {
	client, err := globals.client()
	if err != nil {
		return err
	}
	request := api.Request{ID: command.ID, Service: command.Service, Class: command.Class, Query: command.Query, Top: command.Top,
		Deadline: command.Deadline, NonIdempotent: command.NonIdempotent, Shard: command.Shard, MinCoverage: command.LeastCoverage}
	if request.ID == "" {
		request.ID = uuid.NewString()
	}
	if err := request.Validate(); err != nil {
		return &exitError{exitUsage, err.Error()}
	}
	answer, err := client.Query(context.Background(), request)
	if err != nil {
		return requestError(request, err)
	}
	if err := globals.print(answer); err != nil {
		return err
	}
	return outcomeError(answer)
}

// requestError returns the error of a request without an answer. A non-idempotent one may have run, unless it was refused or no entry VM was
// reached, and must not be sent again with another id.
func requestError(request api.Request, err error) error {
	var apiError *api.Error
	var operation *net.OpError
	refused := errors.As(err, &apiError) && apiError.Outcome == api.NotRun
	unsent := errors.As(err, &operation) && operation.Op == "dial"
	if !request.NonIdempotent || refused || unsent {
		return err
	}
	return &exitError{exitUnknown, fmt.Sprintf("unknown whether request %s ran, ask again with the same id: %s", request.ID, err)}
}

// outcomeError returns an error with the exit code of an unsuccessful or insufficient answer.
func outcomeError(answer api.Answer) error {
	switch {
	case answer.Outcome == api.Unknown:
		return &exitError{exitUnknown, "unknown whether the request ran"}
	case answer.Outcome == api.NotRun, answer.Outcome == api.Failed:
		return &exitError{exitFailed, fmt.Sprintf("request ended with outcome %s", answer.Outcome)}
	case answer.Outcome == api.Partial && !answer.Sufficient:
		return &exitError{exitPartial, fmt.Sprintf("coverage %.4f is below the minimum", answer.Coverage)}
	}
	return nil
}
