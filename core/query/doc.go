// Package query runs the scatter-gather of one idempotent query at an entry VM: it selects replicas, retries and hedges calls,
// merges replies and decides when to answer.
package query
