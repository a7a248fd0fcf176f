// Package conns ends the connections of an HTTP server in a planned stop without dropping a request that was read.
package conns
