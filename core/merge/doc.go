// Package merge merges the fixed-size records that several targets or relays return into one answer.
package merge
