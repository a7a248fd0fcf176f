// Package caller serves the HTTP API for callers of search services.
package caller
