// Command testbed runs a small fleet of real processes on loopback for the demonstration, the tests and the benchmarks.
package main
