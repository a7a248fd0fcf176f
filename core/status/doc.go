// Package status counts for one failure domain which release its entry VMs have in force.
package status
