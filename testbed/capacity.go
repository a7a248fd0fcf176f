package main

import (
	"fmt"
	"os"
	"strings"

	"poplarpin.dev/testbed/capacity"
)

// The lines of the page between which the tables stand.
const (
	tablesBegin = "<!-- tables: made by make capacity -->\n"
	tablesEnd   = "<!-- end of tables -->\n"
)

// capacityCommand makes the tables of docs/CAPACITY.md anew.
type capacityCommand struct {
	Slopes string `arg:"" type:"existingfile" help:"Measured slopes in YAML."`
	Page   string `arg:"" type:"existingfile" help:"Page whose tables are replaced."`
}

// Run replaces the tables.
func (command *capacityCommand) Run(*globals) error {
	sheet, err := capacity.Read(command.Slopes)
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
		return fmt.Errorf("%s has no place for the tables", command.Page)
	}
	return os.WriteFile(command.Page, []byte(before+tablesBegin+sheet.Tables()+tablesEnd+after), 0o644)
}
