// Package load runs load experiments: it sends requests to entry VMs in an open loop (Poisson arrivals that do not wait for earlier
// answers), injects faults on a schedule, and reports latency, coverage, extra load and violated guarantees.
package load
