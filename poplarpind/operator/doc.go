// Package operator serves operators: release notes, status, dump and metrics over HTTP.
package operator
