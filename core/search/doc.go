// Package search holds the requests and replies of targets: JSON over HTTP/2 without TLS, POST /search.
package search
