// Package client is an HTTP client of the operator and caller APIs of an entry VM.
package client
