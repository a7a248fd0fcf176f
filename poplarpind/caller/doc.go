// Package caller serves the callers of search services: JSON over HTTP.
package caller
