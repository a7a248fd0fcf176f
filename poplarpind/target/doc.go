// Package target calls targets on behalf of their owner, within their slots and connections.
package target
