// Command poplarpind runs on each entry VM: it serves callers' requests, calls the targets that the VM owns and applies the
// configuration.
package main
