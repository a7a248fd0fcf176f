// Package check verifies answers against the records that the simulated targets hold: it detects records of other requests or other
// index versions, duplicates, missing records and wrongly reported coverage.
package check
