// Package experiment compares the query tier with plain scatter-gather in the same run, one kind of fault at a time.
package experiment
