// Package target simulates targets (search servers) with execution slots, a connection limit, a delay for new connections and
// injected faults.
package target
