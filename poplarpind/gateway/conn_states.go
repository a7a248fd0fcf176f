package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// connStates knows the connections of clients that a request is on, or awaited on, as http.Server.Shutdown drops requests that it reads without
// an answer.
type connStates struct {
	server *http.Server
	mu     sync.Mutex // guards busy
	busy   map[net.Conn]bool
}

// newConnStates watches the connections of a server, which must not have been started.
func newConnStates(server *http.Server) *connStates {
	states := &connStates{server: server, busy: map[net.Conn]bool{}}
	server.ConnState = states.changed
	return states
}

func (states *connStates) changed(conn net.Conn, state http.ConnState) {
	states.mu.Lock()
	defer states.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		states.busy[conn] = true
	} else {
		delete(states.busy, conn)
	}
}

func (states *connStates) anyBusy() bool {
	states.mu.Lock()
	defer states.mu.Unlock()
	return len(states.busy) > 0
}

// drain closes the idle connections, and the others once they have served a request; it waits for these.
func (states *connStates) drain(ctx context.Context) {
	states.server.SetKeepAlivesEnabled(false)
	for states.anyBusy() && ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
	}
}
