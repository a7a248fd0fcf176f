// Package pause tells how long a process stood still, for decisions about what ran out meanwhile. It has no clock of its own.
package pause
