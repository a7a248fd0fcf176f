package output

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"poplarpin.dev/core/api"
	"poplarpin.dev/poplarpin/inspect"
)

// Format is an output format.
type Format string

// The output formats.
const (
	Table Format = "table"
	JSON  Format = "json"
)

// Printer prints results in one format.
type Printer struct {
	writer io.Writer
	format Format
}

// New returns a printer that writes to a writer in the given format.
func New(writer io.Writer, format Format) *Printer { return &Printer{writer, format} }

// Print writes a result; in the table format, types without a layout of their own are written as JSON.
func (printer *Printer) Print(value any) error {
	if printer.format == JSON {
		encoder := json.NewEncoder(printer.writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(printer.writer, 0, 4, 2, ' ', 0)
	writeRows(table, value)
	return table.Flush()
}

func writeRows(table io.Writer, value any) {
	switch value := value.(type) {
	case api.Answer:
		writeAnswer(table, value)
	case api.Status:
		writeStatus(table, value)
	case api.Release:
		fmt.Fprintf(table, "RELEASE\tNOTE\tAUTHOR\n%d\t%s\t%s\n", value.Release, value.Note, value.Author)
	case []api.Release:
		fmt.Fprintln(table, "RELEASE\tNOTE\tAUTHOR")
		for _, accepted := range value {
			fmt.Fprintf(table, "%d\t%s\t%s\n", accepted.Release, accepted.Note, accepted.Author)
		}
	case []api.Change:
		fmt.Fprintln(table, "ACTION\tKEY\tBEFORE\tAFTER")
		for _, change := range value {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", change.Action, change.Key, change.Before, change.After)
		}
	case inspect.Config:
		writeConfig(table, value)
	case inspect.Fleet:
		writeFleet(table, value)
	default:
		data, _ := json.MarshalIndent(value, "", "  ")
		fmt.Fprintf(table, "%s\n", data)
	}
}

func writeAnswer(table io.Writer, answer api.Answer) {
	fmt.Fprintf(table, "outcome\t%s\ncoverage\t%.4f (sufficient: %t)\n", answer.Outcome, answer.Coverage, answer.Sufficient)
	fmt.Fprintf(table, "snapshot\trelease %d, version %d\nspent\t%s at %s\n", answer.Snapshot.Release, answer.Snapshot.Version, answer.Elapsed, answer.VM)
	fmt.Fprintf(table, "records\t%d\n", len(answer.Records))
	for _, missing := range answer.Missing {
		fmt.Fprintf(table, "missing\t%s (%s)\n", missing.Shard, missing.Reason)
	}
	if answer.RetryAfter > 0 {
		fmt.Fprintf(table, "retry after\t%s\n", answer.RetryAfter)
	}
	if answer.Message != "" {
		fmt.Fprintf(table, "message\t%s\n", answer.Message)
	}
}

func writeStatus(table io.Writer, status api.Status) {
	fmt.Fprintf(table, "release %d in force at %s, newest known %d, platform %s\n", status.Release, status.VM, status.NewestRelease, status.Platform)
	fmt.Fprintln(table, "DOMAIN\tVMS\tIN FORCE\tBEHIND\tUNREACHABLE")
	for _, domain := range status.Domains {
		fmt.Fprintf(table, "%s\t%d\t%d\t%s\t%s\n", domain.FailureDomain, domain.VMs, domain.InForce,
			strings.Join(domain.Behind, ","), strings.Join(domain.Unreachable, ","))
	}
}
