// Package search defines the protocol between owners and targets: JSON over HTTP/2 without TLS, POST /search.
package search
