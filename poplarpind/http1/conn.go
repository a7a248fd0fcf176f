package http1

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"poplarpin.dev/poplarpind/tcp"
)

// conn is a connection to a target, with a goroutine that reads from it.
type conn struct {
	pool        *Pool
	target      string
	address     string
	netConn     net.Conn
	source      *limitedReader // of reader
	reader      *bufio.Reader
	calls       int
	previous    any       // what Done remembers of the last response
	idleSince   time.Time // when it became idle
	usableUntil time.Time // shortly before the target closes it for being idle; zero if unknown

	mu         sync.Mutex
	current    *Exchange
	writeMu    sync.Mutex // held while a call is being written
	inline     bool       // the current call is short, so that its write returns at once
	written    bool       // the current call has been written completely
	writtenAt  time.Time  // when the current call was written, if written
	callBytes  int        // length of the current call, if written
	unsent     bool       // no byte of the current call has been written
	closeOnce  sync.Once
	closed     bool   // close has been called
	readerDone bool   // read has failed, so that no further call can begin
	endErr     *Error // why the pool has ended the current call; nil if it has not
	responding bool   // a part of the response to the current call has arrived
}

func newConn(pool *Pool, target, address string, netConn net.Conn) *conn {
	source := &limitedReader{netConn: netConn, remaining: maxHeadBytes}
	return &conn{pool: pool, target: target, address: address, netConn: netConn, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// usable reports whether an idle connection may carry a call: the target has certainly not closed it for being idle yet.
func (conn *conn) usable(now time.Time) bool {
	return (conn.usableUntil.IsZero() || now.Before(conn.usableUntil)) && now.Sub(conn.idleSince) < maxIdleLast
}

// reused reports whether the connection has carried a call before the current one.
func (conn *conn) reused() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.calls > 1
}

func (conn *conn) isClosed() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.closed
}

// begin sends a call on a connection without a call in flight.
func (conn *conn) begin(exchange *Exchange) {
	conn.mu.Lock()
	readerDone := conn.readerDone
	if !readerDone {
		conn.current, conn.written, conn.unsent, conn.inline, conn.responding = exchange, false, false, false, false
		conn.calls++
	}
	conn.mu.Unlock()
	if readerDone {
		exchange.end(nil, &Error{"send", NotSent, "the connection was already closed"})
		return
	}
	if !exchange.attach(conn) {
		conn.close()
		exchange.end(nil, &Error{"send", Abandoned, "the call is no longer needed"})
		return
	}
	if exchange.expired(time.Now()) {
		conn.notSent()
		return
	}
	bytes := exchange.call.Encode()
	if len(bytes) > maxInlineBytes {
		go conn.write(bytes)
		return
	}
	conn.mu.Lock()
	conn.inline = true
	conn.mu.Unlock()
	conn.write(bytes)
}

// notSent ends the current call without sending it, since its time has passed; the process may have been paused. The connection is
// closed; read then reports that nothing was sent.
func (conn *conn) notSent() {
	conn.mu.Lock()
	conn.unsent = true
	conn.mu.Unlock()
	conn.close()
}

func (conn *conn) write(bytes []byte) {
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	count, err := conn.netConn.Write(bytes)
	conn.mu.Lock()
	conn.written, conn.unsent = err == nil, err != nil && count == 0
	conn.writtenAt, conn.callBytes = time.Now(), count
	conn.mu.Unlock()
	if err != nil {
		conn.close() // read then reports the failure
	}
}

// read reads the responses to calls until the connection is closed.
func (conn *conn) read() {
	for {
		if _, err := conn.reader.Peek(1); err != nil {
			if errors.Is(err, syscall.ECONNRESET) && !conn.reused() {
				conn.pool.recordRejection(conn.target)
			}
			conn.fail(&Error{"read", Lost, err.Error()})
			return
		}
		exchange := conn.beginResponse()
		if exchange == nil {
			connsUnexpected.Add(1)
			conn.fail(&Error{"read", Malformed, "data without a call in flight"})
			return
		}
		response, body, err := conn.readResponse(exchange)
		if fits := conn.pool.memory.readingEnded(exchange, err == nil); err == nil && !fits {
			err = invalid("body", memoryUsedUp)
		}
		if err != nil {
			conn.fail(err)
			return
		}
		if !conn.finish(exchange, response, body) {
			return
		}
	}
}

// beginResponse records that a response arrives and returns the call in flight, nil for none.
func (conn *conn) beginResponse() *Exchange {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.responding = true
	return conn.current
}

// isWritten reports whether the current call has been written completely. The response to a short call can arrive before its
// writer has recorded that, so isWritten waits for the writer of a short call.
func (conn *conn) isWritten() bool {
	conn.mu.Lock()
	inline, written := conn.inline, conn.written
	conn.mu.Unlock()
	if !inline {
		return written
	}
	conn.writeMu.Lock()
	defer conn.writeMu.Unlock()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.written
}

// finish completes a call with its response and reports whether the connection is kept. One that cannot be kept is given up before Done is called, so
// that the next call finds its place free.
func (conn *conn) finish(exchange *Exchange, response *http.Response, body []byte) bool {
	written := conn.isWritten()
	conn.mu.Lock()
	conn.current = nil
	clean := written && conn.reader.Buffered() == 0 && !conn.closed
	conn.idleSince = time.Now()
	conn.usableUntil = time.Time{}
	conn.mu.Unlock()
	keepable := clean && !response.Close
	if !keepable {
		conn.giveUp()
	}
	complete := &Response{Response: response, Body: body, Previous: conn.previous}
	reusable, keepAlive := exchange.end(complete, nil)
	conn.previous = complete.Remembered
	if !keepable {
		return false
	}
	if !reusable {
		conn.giveUp()
		return false
	}
	if keepAlive > 0 {
		conn.usableUntil = conn.idleSince.Add(max(keepAlive-idleMargin, keepAlive/2))
	}
	conn.pool.release(conn)
	return true
}

// giveUp closes the connection and frees its place in the pool.
func (conn *conn) giveUp() {
	conn.close()
	conn.pool.remove(conn)
}

// fail closes the connection and fails the call on it.
func (conn *conn) fail(err *Error) {
	conn.close()
	conn.pool.removeIdle(conn)
	conn.pool.remove(conn)
	conn.mu.Lock()
	exchange := conn.current
	conn.current, conn.readerDone = nil, true
	if conn.unsent {
		err.Kind = NotSent
	} else if conn.endErr != nil && conn.responding {
		err = invalid("response", conn.endErr.Detail)
	} else if conn.endErr != nil {
		err = conn.endErr
	}
	conn.mu.Unlock()
	if exchange != nil {
		exchange.end(nil, err)
	}
}

// end closes the connection to end a call for a reason, unless the call has ended meanwhile; read then reports the response as invalid, or
// as lost if none has begun.
func (conn *conn) end(exchange *Exchange, reason string) {
	conn.endIf(exchange, &Error{"response", Lost, reason}, func() bool { return true }) // silence does not show that the target can be reached
}

// endIf is end with the error that is reported if no response has begun, for a call that meets a condition.
func (conn *conn) endIf(exchange *Exchange, err *Error, condition func() bool) {
	conn.mu.Lock()
	ends := conn.current == exchange && !conn.closed && condition()
	if ends {
		conn.endErr, conn.closed = err, true // so that the connection is not used for another call
	}
	conn.mu.Unlock()
	if ends {
		conn.close()
	}
}

// endUndelivered ends a call that was written before a time if the target's machine has acknowledged none of its bytes.
func (conn *conn) endUndelivered(exchange *Exchange, writtenBefore time.Time) {
	conn.endIf(exchange, &Error{"send", Undelivered, notAcknowledged}, func() bool {
		if !conn.written || !conn.writtenAt.Before(writtenBefore) || conn.responding {
			return false
		}
		unacknowledged, known := tcp.Unacknowledged(conn.netConn)
		return known && unacknowledged >= conn.callBytes
	})
}

// overdue returns the current call if it has not ended although its time has passed, else nil.
func (conn *conn) overdue(now time.Time) *Exchange {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.current == nil || !conn.current.expired(now.Add(-overdueGrace)) {
		return nil
	}
	return conn.current
}

// close closes the connection; read then cleans up. The connection is reset: data still in the send buffer, for instance after a
// network partition, is discarded, so that no target runs a call that nobody waits for.
func (conn *conn) close() {
	conn.closeOnce.Do(func() {
		conn.mu.Lock()
		conn.closed = true
		conn.mu.Unlock()
		if tcpConn, ok := conn.netConn.(*net.TCPConn); ok {
			_ = tcpConn.SetLinger(0) // fails only on a closed connection
		}
		_ = conn.netConn.Close()
	})
}
