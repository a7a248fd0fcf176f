// Package load sends requests to entry VMs at random times that do not wait for answers, brings about faults on a
// schedule, and reports latency, coverage, extra load and broken promises.
package load
