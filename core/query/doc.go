// Package query runs one idempotent query at an entry VM: which replica is called when, what is merged, and when to answer.
package query
