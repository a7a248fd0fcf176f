// Package fleet starts entry VMs and stand-ins as processes on the loopback interface and stops all that it started.
package fleet
