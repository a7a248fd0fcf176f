// Package stop decides what a VM still does in the time that a planned stop leaves it. It has no clock of its own.
package stop
