// Package operator serves the HTTP API for operators: release notes, status, dump, metrics and profiles.
package operator
