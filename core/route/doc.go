// Package route holds the routing table of a configuration version and matches requests to routes.
package route
