// Package upgrade replaces the VMs of a fleet of real processes by VMs of another build, one after the other and under load, and checks the
// promises with the eyes of callers and targets.
package upgrade
