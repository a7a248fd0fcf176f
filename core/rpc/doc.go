// Package rpc holds the messages that entry VMs exchange over JSON-RPC 2.0.
package rpc
