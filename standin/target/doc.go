// Package target stands in for search servers with slots, a connection limit, a cost for new connections and faults.
package target
