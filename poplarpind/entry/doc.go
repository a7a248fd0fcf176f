// Package entry is one entry VM: it drives the core's decisions with peers, targets, the platform and time.
package entry
