// Package budget limits hedges and retries to a fraction of the first calls.
package budget
