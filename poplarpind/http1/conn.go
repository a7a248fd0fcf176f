package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const readBuffer = 2 << 10 // bytes; most responses are smaller

// conn is one connection to a server, with a goroutine that reads it.
type conn struct {
	pool   *Pool
	server string
	raw    net.Conn
	reader *bufio.Reader
	calls  int
	used   time.Time // when it became idle
	until  time.Time // when the server closes it; zero for not said

	mu      sync.Mutex
	current *Exchange
	writing sync.Mutex // held while a call is written
	inline  bool       // the current call is short: its writing ends at once
	written bool       // the current call has left whole
	unsent  bool       // nothing of the current call has left
	closing sync.Once
	dead    bool // it is closed
	gone    bool // its reader has ended
}

func newConn(pool *Pool, server string, raw net.Conn) *conn {
	return &conn{pool: pool, server: server, raw: raw, reader: bufio.NewReaderSize(raw, readBuffer)}
}

// usable reports whether an idle connection is surely not yet closed by the server for being idle.
func (conn *conn) usable(now time.Time) bool {
	return (conn.until.IsZero() || now.Before(conn.until)) && now.Sub(conn.used) < idleLast
}

// reused reports whether the call under way is not the connection's first.
func (conn *conn) reused() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.calls > 1
}

func (conn *conn) isClosed() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.dead
}

// begin sends a call on a connection that has none under way.
func (conn *conn) begin(exchange *Exchange) {
	conn.mu.Lock()
	gone := conn.gone
	if !gone {
		conn.current, conn.written, conn.unsent, conn.inline = exchange, false, false, false
		conn.calls++
	}
	conn.mu.Unlock()
	if gone {
		exchange.end(nil, nil, &Error{"send", NotSent, "the connection had ended"})
		return
	}
	if !exchange.attach(conn) {
		conn.close()
		return
	}
	bytes := exchange.call.Encode()
	if len(bytes) > inlineBytes {
		go conn.write(bytes)
		return
	}
	conn.mu.Lock()
	conn.inline = true
	conn.mu.Unlock()
	conn.write(bytes)
}

func (conn *conn) write(bytes []byte) {
	conn.writing.Lock()
	defer conn.writing.Unlock()
	count, err := conn.raw.Write(bytes)
	conn.mu.Lock()
	conn.written, conn.unsent = err == nil, err != nil && count == 0
	conn.mu.Unlock()
	if err != nil {
		conn.close() // the reader reports it
	}
}

// read takes the responses of the calls until the connection ends.
func (conn *conn) read() {
	for {
		if _, err := conn.reader.Peek(1); err != nil {
			if errors.Is(err, syscall.ECONNRESET) && !conn.reused() {
				conn.pool.crowd(conn.server)
			}
			conn.lose(&Error{"read", Lost, err.Error()})
			return
		}
		exchange := conn.pending()
		if exchange == nil {
			strange.Add(1)
			conn.lose(&Error{"read", Malformed, "bytes without a call"})
			return
		}
		response, body, err := conn.response(exchange.call.Method)
		if err != nil {
			conn.lose(err)
			return
		}
		if !conn.finish(exchange, response, body) {
			conn.close()
			conn.pool.forget(conn.server)
			return
		}
	}
}

func (conn *conn) pending() *Exchange {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.current
}

// response reads one response whole; interim ones are passed over.
func (conn *conn) response(method string) (*http.Response, []byte, *Error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(conn.reader, request)
		if err != nil {
			return nil, nil, &Error{"response", kindOf(err), err.Error()}
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
		if err != nil {
			return nil, nil, &Error{"body", kindOf(err), err.Error()}
		}
		if len(body) > maxBody {
			return nil, nil, &Error{"body", Malformed, "it is larger than any response"}
		}
		if response.StatusCode >= http.StatusOK {
			return response, body, nil
		}
	}
}

// kindOf tells a connection that ended from bytes that are no response.
func kindOf(err error) Kind {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network) {
		return Lost
	}
	return Malformed
}

// whole reports whether the current call has left whole. It waits for the end of writing a short call, whose response can be
// there before its writer has run on.
func (conn *conn) whole() bool {
	conn.mu.Lock()
	inline, written := conn.inline, conn.written
	conn.mu.Unlock()
	if !inline {
		return written
	}
	conn.writing.Lock()
	defer conn.writing.Unlock()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.written
}

// finish ends a call with its response and reports whether the connection is kept.
func (conn *conn) finish(exchange *Exchange, response *http.Response, body []byte) bool {
	whole := conn.whole()
	conn.mu.Lock()
	conn.current = nil
	clean := whole && conn.reader.Buffered() == 0 && !conn.dead
	conn.used = time.Now()
	conn.until = time.Time{}
	conn.mu.Unlock()
	reusable, keep := exchange.end(response, body, nil)
	if !reusable || !clean || response.Close {
		return false
	}
	if keep > 0 {
		conn.until = conn.used.Add(max(keep-idleSlack, keep/2))
	}
	conn.pool.release(conn)
	return true
}

// lose ends the connection and the call on it.
func (conn *conn) lose(err *Error) {
	conn.close()
	conn.pool.withdraw(conn)
	conn.pool.forget(conn.server)
	conn.mu.Lock()
	exchange := conn.current
	conn.current, conn.gone = nil, true
	if conn.unsent {
		err.Kind = NotSent
	}
	conn.mu.Unlock()
	if exchange != nil {
		exchange.end(nil, nil, err)
	}
}

// close ends the connection; its reader does the rest. Bytes that are still under way, as after a cut, are not delivered any
// more, so that no server runs a call that nobody waits for.
func (conn *conn) close() {
	conn.closing.Do(func() {
		conn.mu.Lock()
		conn.dead = true
		conn.mu.Unlock()
		if tcp, ok := conn.raw.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // it fails only on a connection that has ended
		}
		_ = conn.raw.Close()
	})
}
