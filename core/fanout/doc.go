// Package fanout runs one scatter-gather request: it chooses targets, retries and hedges calls, and decides when to respond to the client.
package fanout
