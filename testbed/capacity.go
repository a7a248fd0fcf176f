package main

import (
	"fmt"
	"os"
	"strings"

	"poplarpin.dev/testbed/capacity"
)

// The marker lines in the page that enclose the generated tables.
const (
	tablesBegin = "<!-- tables: made by make capacity -->\n"
	tablesEnd   = "<!-- end of tables -->\n"
)

// capacityCommand regenerates the tables of docs/CAPACITY.md.
type capacityCommand struct {
	Slopes string `arg:"" type:"existingfile" help:"Measured slopes in YAML."`
	Page   string `arg:"" type:"existingfile" help:"Page whose tables are replaced."`
}

// Run replaces the tables between the markers and leaves the rest of the page as it is.
func (command *capacityCommand) Run(*globals) error {
	inputs, err := capacity.Read(command.Slopes)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(command.Page)
	if err != nil {
		return err
	}
	before, rest, found := strings.Cut(string(page), tablesBegin)
	_, after, ended := strings.Cut(rest, tablesEnd)
	if !found || !ended {
		return fmt.Errorf("%s: the markers around the tables are missing", command.Page)
	}
	return os.WriteFile(command.Page, []byte(before+tablesBegin+inputs.Tables()+tablesEnd+after), 0o644)
}
