package conns

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const pollInterval = 20 * time.Millisecond

// States knows the connections that a request is on, or awaited on. http.Server.Shutdown drops requests that it reads without an answer.
type States struct {
	server *http.Server
	mu     sync.Mutex // guards busy
	busy   map[net.Conn]bool
}

// Watch watches the connections of a server, which must not have been started.
func Watch(server *http.Server) *States {
	states := &States{server: server, busy: map[net.Conn]bool{}}
	server.ConnState = states.changed
	return states
}

func (states *States) changed(conn net.Conn, state http.ConnState) {
	states.mu.Lock()
	defer states.mu.Unlock()
	if state == http.StateNew || state == http.StateActive {
		states.busy[conn] = true
	} else {
		delete(states.busy, conn)
	}
}

func (states *States) anyBusy() bool {
	states.mu.Lock()
	defer states.mu.Unlock()
	return len(states.busy) > 0
}

// Drain closes the listener and the idle connections, and the other connections once they have served a request. It waits for these until the
// context ends, and returns the context's error then.
func (states *States) Drain(ctx context.Context, listener net.Listener) error {
	_ = listener.Close()
	states.server.SetKeepAlivesEnabled(false)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for states.anyBusy() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
