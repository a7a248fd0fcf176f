// Command standin simulates the platform and targets for tests and experiments; faults are injected over HTTP.
package main
