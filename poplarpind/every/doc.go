// Package every runs a function at a fixed interval.
package every
