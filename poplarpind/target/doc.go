// Package target makes the calls to the targets that an entry VM owns, within each target's limits on slots and connections.
package target
