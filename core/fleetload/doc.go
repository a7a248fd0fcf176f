// Package fleetload holds tests that play loads on simulated fleets of VMs with the real decision code, and check what callers get.
package fleetload
