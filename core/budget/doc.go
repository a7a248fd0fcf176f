// Package budget limits extra load: hedges and retries as a fraction of first calls.
package budget
