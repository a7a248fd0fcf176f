// Package admin serves the HTTP interface that injects faults into the simulated platform and targets and reads their counters.
package admin
