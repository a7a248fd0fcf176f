// Package http1 is a pool of HTTP/1.1 connections to targets that carries one call at a time on each connection.
package http1
