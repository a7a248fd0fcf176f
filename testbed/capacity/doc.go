// Package capacity extrapolates from measured slopes what each role needs at the intended fleet size and formats it as Markdown tables.
package capacity
