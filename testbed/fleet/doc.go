// Package fleet starts entry VMs and stand-ins as processes on loopback and ends all that it started.
package fleet
