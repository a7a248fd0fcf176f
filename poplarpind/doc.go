// Command poplarpind is the process of an entry VM: it takes callers' requests, calls the targets that it owns and
// keeps the configuration in force.
package main
