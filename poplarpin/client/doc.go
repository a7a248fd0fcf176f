// Package client speaks to entry VMs as an operator or a caller.
package client
