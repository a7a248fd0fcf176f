package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	dialTimeout  = 500 * time.Millisecond
	pingAfter    = 200 * time.Millisecond // without a frame, after which a connection is checked
	pingTimeout  = 250 * time.Millisecond // without an answer, after which a connection is given up
	dialPause    = 250 * time.Millisecond // between failed dials
	warmConns    = 2                      // connections that are kept to each target in use
	streamsLimit = 64                     // calls on one connection before another is opened
)

var errNoConnection = errors.New("the target's connections cannot be opened now")

// pool keeps few connections to one target; each carries many calls.
type pool struct {
	address   string
	limit     int
	transport *http.Transport
	mu        sync.Mutex
	conns     []*http.ClientConn
	dialing   int
	failed    time.Time
	last      time.Time // when the newest connection was opened
	opened    int64
	lost      int64
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2:       &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
}

func newPool(address string, limit int, transport *http.Transport) *pool {
	return &pool{address: address, limit: limit, transport: transport}
}

// take returns a connection with room for a call, opening one if there is none.
func (pool *pool) take(ctx context.Context) (*http.ClientConn, error) {
	conn := pool.idlest()
	pool.warm()
	if conn != nil {
		return conn, nil
	}
	return pool.dial(ctx)
}

// idlest returns the usable connection with the fewest calls, or nil.
func (pool *pool) idlest() *http.ClientConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.prune()
	var best *http.ClientConn
	for _, conn := range pool.conns {
		if conn.InFlight() < streamsLimit && (best == nil || conn.InFlight() < best.InFlight()) {
			best = conn
		}
	}
	if best == nil || best.Reserve() != nil {
		return nil
	}
	return best
}

// prune drops connections that have failed; the caller holds the lock.
func (pool *pool) prune() {
	kept := pool.conns[:0]
	for _, conn := range pool.conns {
		if conn.Err() == nil {
			kept = append(kept, conn)
			continue
		}
		pool.lost++
		go func() { _ = conn.Close() }()
	}
	pool.conns = kept
}

// warm opens spare connections in the background.
func (pool *pool) warm() {
	pool.mu.Lock()
	missing := min(warmConns, pool.limit) - len(pool.conns) - pool.dialing
	paused := time.Since(pool.failed) < dialPause
	pool.mu.Unlock()
	if missing <= 0 || paused {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		if conn, err := pool.dial(ctx); err == nil {
			conn.Release()
		}
	}()
}

// dial opens a connection and reserves a call on it.
func (pool *pool) dial(ctx context.Context) (*http.ClientConn, error) {
	pool.mu.Lock()
	if len(pool.conns)+pool.dialing >= pool.limit || time.Since(pool.failed) < dialPause {
		pool.mu.Unlock()
		return nil, errNoConnection
	}
	pool.dialing++
	pool.mu.Unlock()
	conn, err := pool.transport.NewClientConn(ctx, "http", pool.address)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.dialing--
	if err != nil {
		pool.failed = time.Now()
		return nil, err
	}
	pool.opened++
	pool.last = time.Now()
	pool.conns = append(pool.conns, conn)
	return conn, conn.Reserve()
}

// close closes all connections.
func (pool *pool) close() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, conn := range pool.conns {
		go func() { _ = conn.Close() }()
	}
	pool.conns = nil
}

func (pool *pool) counts() (open int, opened, lost int64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.conns), pool.opened, pool.lost
}

// newest returns when the newest connection was opened.
func (pool *pool) newest() time.Time {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.last
}
