// Package entry runs one entry VM: it connects the core's state machines to peers, targets, the platform and the clock.
package entry
