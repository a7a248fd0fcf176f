package main

// loadCommand runs an experiment.
type loadCommand struct{}

// Run is not there yet.
func (command *loadCommand) Run(*globals) error { return &exitError{exitFailed, "not there yet"} }
