// Package latency tracks the latency and state of targets from the calls to them, ranks replicas and derives the hedge delay.
package latency
