// Package member maintains the list of entry VMs by probing and gossip (SWIM); the messages that a VM sends do not become more frequent as
// the number of VMs grows.
package member
