// Package experiment measures the query tier against plain scatter-gather in the same run, fault by fault.
package experiment
