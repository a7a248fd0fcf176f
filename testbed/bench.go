package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"text/tabwriter"

	"poplarpin.dev/testbed/experiment"
)

// benchCommand compares the query tier with plain scatter-gather.
type benchCommand struct {
	Only    []string `help:"Names of experiments; all if none are given."`
	Site    string   `help:"sahm, association or both." default:"both" enum:"sahm,association,both"`
	Seconds int      `help:"Length of each arm." default:"10"`
	Seed    uint64   `help:"Seed of arrivals and faults." default:"1"`
	JSON    string   `help:"File for the rows." type:"path"`
}

// Run runs the experiments and prints one row per figure. A missed bound is printed in its row and does not fail the command.
func (command *benchCommand) Run(globals *globals) error {
	bench := &experiment.Bench{Bin: globals.Bin, Seconds: command.Seconds, Seed: command.Seed,
		Log: func(format string, args ...any) { fmt.Printf(format+"\n", args...) }}
	for _, site := range experiment.Sites() {
		if command.Site != "both" && command.Site != site.Name {
			continue
		}
		for _, each := range experiment.All() {
			if len(command.Only) > 0 && !slices.Contains(command.Only, each.Name) {
				continue
			}
			fmt.Printf("== %s, %s\n", each.Name, site.Name)
			if err := each.Run(bench, site); err != nil {
				return fmt.Errorf("%s, %s: %w", each.Name, site.Name, err)
			}
		}
	}
	printRows(bench.Rows)
	if command.JSON == "" {
		return nil
	}
	if err := os.MkdirAll(filepath.Dir(command.JSON), 0o755); err != nil {
		return err
	}
	data, err := json.MarshalIndent(bench.Rows, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(command.JSON, data, 0o644)
}

func printRows(rows []experiment.Row) {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "EXPERIMENT\tSITE\tFIGURE\tVALUE\tBOUND\tMET")
	for _, row := range rows {
		met := ""
		if row.Bound != "" {
			met = fmt.Sprint(row.Met)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%s\t%s\n", row.Experiment, row.Site, row.Figure, row.Value, row.Bound, met)
	}
	_ = table.Flush()
}
