// Package merge merges the records of several parts into one answer.
package merge
