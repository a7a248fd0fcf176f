// Package tally counts events by name and outcome with a bounded number of names.
package tally
