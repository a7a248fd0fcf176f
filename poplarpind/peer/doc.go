// Package peer connects entry VMs by JSON-RPC 2.0 over TCP. Each VM sends its messages on the links that it has opened and
// receives messages on the links that its peers have opened; a reply returns on the link of the message.
package peer
