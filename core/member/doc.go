// Package member maintains the list of entry VMs by probing and gossip (SWIM), at a cost per VM that does not grow with their number.
package member
