package http1

import (
	"context"
	"sync"
	"time"

	"poplarpin.dev/core/buffer"
)

// Exchange is a call in flight.
type Exchange struct {
	pool      *Pool
	mu        sync.Mutex
	call      Call
	conn      *conn // nil until the call has a connection
	cancel    context.CancelFunc
	ended     bool
	abandoned bool // abandoned before the call was sent

	buffered *buffer.Response // memory that the response holds; nil for none
	released bool             // the body of the response is not used any more
}

// Release says that the body of the response is no longer referenced.
func (exchange *Exchange) Release() { exchange.pool.memory.release(exchange) }

// closeConn ends a call in favour of others that need its memory.
func (exchange *Exchange) closeConn() {
	exchange.mu.Lock()
	conn := exchange.conn
	exchange.mu.Unlock()
	conn.end(exchange, memoryUsedUp)
}

// Abort ends a call by closing its connection, so that the target stops working on it.
func (exchange *Exchange) Abort() {
	exchange.Release()
	exchange.mu.Lock()
	exchange.ended = true
	conn, cancel := exchange.conn, exchange.cancel
	exchange.mu.Unlock()
	if conn != nil {
		conn.close()
	} else if cancel != nil {
		cancel()
	}
}

// Abandon says that the response is no longer needed. A call that has not been sent yet is not sent; the response to one that
// has been sent is still read and passed to Done.
func (exchange *Exchange) Abandon() {
	exchange.Release()
	exchange.mu.Lock()
	exchange.abandoned = exchange.conn == nil && !exchange.ended
	abandoned := exchange.abandoned
	exchange.mu.Unlock()
	if abandoned && exchange.cancel != nil {
		exchange.cancel()
	}
}

// EndUndelivered ends the call if it was written before a time and the target's machine has acknowledged none of it. The connection is reset, so
// that the call does not arrive later either.
func (exchange *Exchange) EndUndelivered(writtenBefore time.Time) {
	exchange.mu.Lock()
	conn := exchange.conn
	exchange.mu.Unlock()
	if conn != nil {
		conn.endUndelivered(exchange, writtenBefore)
	}
}

// isAbandoned reports whether the call was abandoned before it was sent.
func (exchange *Exchange) isAbandoned() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.abandoned
}

// end passes the result to Done, unless the call has already ended or was aborted.
func (exchange *Exchange) end(response *Response, err error) (bool, time.Duration) {
	exchange.mu.Lock()
	ended := exchange.ended
	exchange.ended = true
	exchange.mu.Unlock()
	if ended {
		return false, 0
	}
	return exchange.call.Done(response, err)
}

// expired reports whether the call's time has passed.
func (exchange *Exchange) expired(now time.Time) bool {
	return !exchange.call.Deadline.IsZero() && now.After(exchange.call.Deadline)
}

// attach sets the connection of the exchange and reports whether the call is still needed.
func (exchange *Exchange) attach(conn *conn) bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.conn = conn
	return !exchange.ended && !exchange.abandoned
}
