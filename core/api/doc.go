// Package api defines the requests and answers that callers and operators exchange with an entry VM.
package api
