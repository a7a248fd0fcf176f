// Package member keeps the list of entry VMs by probing and gossip at a constant cost for each VM.
package member
