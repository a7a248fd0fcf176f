// Package conns bounds the resources that connections of HTTP servers hold together, and ends them in a planned stop without dropping a request that was read.
package conns
