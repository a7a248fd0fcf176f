// Package upgrade replaces the VMs of a fleet of real processes by those of another build, one after the other and under load, and checks what
// callers and targets see of it.
package upgrade
