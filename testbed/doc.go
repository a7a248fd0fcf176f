// Command testbed runs a small fleet of processes on the loopback interface for the demonstration, the tests and the benchmarks.
package main
