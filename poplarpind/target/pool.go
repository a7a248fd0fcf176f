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
	dialTimeout     = 500 * time.Millisecond
	pingIdle        = 200 * time.Millisecond // a connection is checked by a ping after this time without a frame received
	pingTimeout     = 250 * time.Millisecond // a connection is closed after this time without an answer to the ping
	dialBackoff     = 250 * time.Millisecond // after a failed dial, during which none is tried
	minConns        = 2                      // connections kept open to each target in use
	maxCallsPerConn = 64                     // calls in flight on one connection before another is opened
)

var errNoConnection = errors.New("no connection available: connection limit reached or last dial failed recently")

// pool manages the few HTTP/2 connections to one target, each of which carries many concurrent calls.
type pool struct {
	address      string
	limit        int
	transport    *http.Transport
	mu           sync.Mutex
	conns        []*http.ClientConn
	dialing      int
	dialFailedAt time.Time
	lastOpenedAt time.Time // when the most recent connection was opened
	opened       int64
	lost         int64
}

func newTransport() *http.Transport {
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	return &http.Transport{
		Protocols:   protocols,
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext,
		HTTP2: &http.HTTP2Config{SendPingTimeout: pingIdle, PingTimeout: pingTimeout,
			MaxReceiveBufferPerStream: maxStreamBuffer, MaxReceiveBufferPerConnection: maxConnBuffer},
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func newPool(address string, limit int, transport *http.Transport) *pool {
	return &pool{address: address, limit: limit, transport: transport}
}

// acquire reserves a call on a connection, and dials a new one if none has capacity.
func (pool *pool) acquire(ctx context.Context) (*http.ClientConn, error) {
	conn := pool.leastLoaded()
	pool.ensureMinConns()
	if conn != nil {
		return conn, nil
	}
	return pool.dial(ctx)
}

// leastLoaded reserves a call on the usable connection with the fewest calls in flight; it returns nil if none has capacity.
func (pool *pool) leastLoaded() *http.ClientConn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.prune()
	var best *http.ClientConn
	for _, conn := range pool.conns {
		if conn.InFlight() < maxCallsPerConn && (best == nil || conn.InFlight() < best.InFlight()) {
			best = conn
		}
	}
	if best == nil || best.Reserve() != nil {
		return nil
	}
	return best
}

// prune removes failed connections; the caller holds the lock.
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

// ensureMinConns dials a connection in the background if there are fewer than minConns.
func (pool *pool) ensureMinConns() {
	pool.mu.Lock()
	missing := min(minConns, pool.limit) - len(pool.conns) - pool.dialing
	backingOff := time.Since(pool.dialFailedAt) < dialBackoff
	pool.mu.Unlock()
	if missing <= 0 || backingOff {
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

// dial opens a connection, within the limit and the dial backoff, and reserves a call on it.
func (pool *pool) dial(ctx context.Context) (*http.ClientConn, error) {
	pool.mu.Lock()
	if len(pool.conns)+pool.dialing >= pool.limit || time.Since(pool.dialFailedAt) < dialBackoff {
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
		pool.dialFailedAt = time.Now()
		return nil, err
	}
	pool.opened++
	pool.lastOpenedAt = time.Now()
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

// stats returns the number of open connections and how many have been opened and lost so far.
func (pool *pool) stats() (open int, opened, lost int64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return len(pool.conns), pool.opened, pool.lost
}

// lastOpened returns when the most recent connection was opened.
func (pool *pool) lastOpened() time.Time {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.lastOpenedAt
}
