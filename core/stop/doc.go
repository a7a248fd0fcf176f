// Package stop decides which requests a VM still takes during a planned stop, and when it answers the last ones. It has no clock of its own.
package stop
