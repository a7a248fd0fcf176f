// Package capacity works out from measured slopes what each role needs at the target's size, and writes it as tables.
package capacity
