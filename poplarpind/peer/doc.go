// Package peer links entry VMs with JSON-RPC 2.0 over TCP; each VM sends on links that it opened and listens on the others.
package peer
