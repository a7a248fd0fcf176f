// Package budget limits extra load: it allows hedges, retries and probes up to a fraction of the first calls.
package budget
