package conns

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"poplarpin.dev/core/evict"
)

const (
	headFactor       = 2                      // bytes of memory that a byte of a head takes up
	fieldBytes       = 256                    // the same for a header field, besides its bytes
	encryptedFactor  = 14                     // the same for an encrypted byte, as if each field had 20 bytes
	requestLineBytes = 4 << 10                // a request line may take up this much beside the limit on header fields
	maxHeadBytes     = 64 << 20               // limit of net/http, which is above that of any listener
	lingerTime       = 500 * time.Millisecond // a client whose head is refused may go on sending for this time, so that it gets to read the response
	lingerBytes      = 256 << 10
	maxLingering     = 16      // connections that do so; others are closed at once, as reading them takes up processor time
	unchargedBytes   = 4 << 10 // a write up to this size is not counted as memory
)

var past = time.Unix(1, 0) // a read deadline that ends the read

// connKey is the context key under which a request finds its connection.
type connKey struct{}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	guard *Guard
	entry *evict.Conn

	// The guard's mutex guards these fields.
	head        head
	succeeded   bool // the current answer is a success
	ended       Kind // why the guard has closed the connection; empty if it has not
	seenEntered int64
	seenAt      time.Time // when a sweep first saw the connection in its phase
}

// head is the state of a request's head that is arriving.
type head struct {
	bytes     int
	lineBytes int // of the current line
	complete  bool
}

// Of returns the guarded connection under a connection, nil for none.
func Of(conn net.Conn) *Conn {
	for {
		if guarded, ok := conn.(*Conn); ok {
			return guarded
		}
		wrapping, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		conn = wrapping.NetConn()
	}
}

// NetConn returns the connection underneath.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// Read implements net.Conn.
func (conn *Conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	kind, inHead := conn.received(buffer[:count])
	switch {
	case kind == "":
		return count, err
	case !inHead:
		return 0, &Error{"read", kind}
	case count > 0:
		conn.refuse(kind)
	}
	return 0, &net.OpError{Op: "read", Err: &Error{"read", kind}} // to which net/http writes no response of its own
}

// received counts bytes of a request. It returns why the connection must end, "" if it need not, and whether the bytes belong to a head.
func (conn *Conn) received(data []byte) (kind Kind, inHead bool) {
	guard := conn.guard
	guard.mu.Lock()
	inHead = !conn.head.complete
	if conn.ended != "" || len(data) == 0 {
		defer guard.mu.Unlock()
		return conn.ended, inHead
	}
	if conn.entry.Phase() == evict.Idle {
		guard.budget.Enter(conn.entry, evict.Receiving)
	}
	if conn.entry.Closed() || conn.entry.Phase() != evict.Receiving {
		guard.mu.Unlock()
		return "", inHead // the first byte after a request that is being served
	}
	cost := int64(len(data)) * guard.options.BodyFactor
	if !conn.head.complete {
		cost = conn.head.add(data, guard.options.Encrypted)
		if !guard.options.Encrypted && conn.head.bytes > guard.options.Requests().HeadBytes+requestLineBytes {
			guard.budget.Release(conn.entry, conn.entry.Bytes())
			guard.count(HeadTooLarge)
			guard.mu.Unlock()
			return HeadTooLarge, inHead
		}
	}
	endings := guard.end(guard.budget.Grow(conn.entry, cost), NoRoom)
	kind = conn.ended
	guard.mu.Unlock()
	for _, ending := range endings {
		if ending.conn != conn {
			ending.close()
		}
	}
	return kind, inHead
}

// add counts bytes of a head up to its end, and returns the memory that they take up.
func (head *head) add(data []byte, encrypted bool) int64 {
	if encrypted {
		head.bytes += len(data)
		return int64(len(data)) * encryptedFactor
	}
	fields := 0
	for rest := data; len(rest) > 0 && !head.complete; {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			head.bytes += len(rest)
			head.lineBytes += len(rest)
			break
		}
		line := rest[:end]
		if end > 0 && line[end-1] == '\r' {
			line = line[:end-1]
		}
		head.complete = head.lineBytes+len(line) == 0 && head.bytes > len("\r\n")
		head.bytes += end + 1
		head.lineBytes = 0
		rest = rest[end+1:]
		fields++
	}
	return int64(len(data))*headFactor + int64(fields)*fieldBytes
}

// refuse answers a request whose head is refused and closes the connection. It goes on reading for a moment if a head is too large, as the client
// would not get to read the response otherwise.
func (conn *Conn) refuse(kind Kind) {
	conn.writeRefusal(kind)
	if kind == HeadTooLarge && conn.guard.lingering.Add(1) <= maxLingering {
		_ = conn.CloseWrite()
		_ = conn.Conn.SetReadDeadline(time.Now().Add(lingerTime))
		_, _ = io.CopyN(io.Discard, conn.Conn, lingerBytes)
	}
	if kind == HeadTooLarge {
		conn.guard.lingering.Add(-1)
	}
	_ = conn.Close()
}

// writeRefusal writes the response to a refused head as far as the socket takes it at once.
func (conn *Conn) writeRefusal(kind Kind) {
	tcp, ok := conn.Conn.(syscall.Conn)
	if conn.guard.options.Refuse == nil || !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	response := conn.guard.options.Refuse(Error{"read", kind})
	_ = raw.Write(func(fd uintptr) bool {
		_, _ = unix.Write(int(fd), response)
		return true
	})
}

// reset closes the connection and drops unread bytes of its answer.
func (conn *Conn) reset() {
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = conn.Conn.Close()
}

// SetReadDeadline implements net.Conn. The reads of a connection that the guard has ended stay ended.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.guard.mu.Lock()
	defer conn.guard.mu.Unlock()
	if conn.ended != "" {
		deadline = past
	}
	return conn.Conn.SetReadDeadline(deadline)
}

// Write implements net.Conn. The bytes count as memory until the socket has taken them.
func (conn *Conn) Write(data []byte) (int, error) {
	if !conn.beginAnswer(data) {
		return 0, &net.OpError{Op: "write", Err: &Error{"write", NoRoom}}
	}
	written := 0
	for {
		part := data[written:min(written+writeBytes, len(data))]
		count, err := conn.Conn.Write(part)
		written += count
		if err != nil || written == len(data) {
			conn.endAnswer(len(data))
			return written, err
		}
		conn.guard.mu.Lock()
		conn.guard.budget.Progress(conn.entry)
		conn.guard.mu.Unlock()
	}
}

// beginAnswer counts the bytes of an answer and reports whether they may be written.
func (conn *Conn) beginAnswer(data []byte) bool {
	guard := conn.guard
	guard.mu.Lock()
	if conn.entry.Phase() == evict.Serving {
		guard.budget.Enter(conn.entry, evict.Answering)
	}
	if guard.options.Encrypted || isSuccess(data) {
		conn.succeeded = true
	}
	var endings []ending
	if len(data) > unchargedBytes && !conn.entry.Closed() {
		endings = guard.end(guard.budget.Grow(conn.entry, int64(len(data))), NoRoom)
	}
	guard.mu.Unlock()
	fits := true
	for _, ending := range endings {
		ending.close()
		fits = fits && ending.conn != conn
	}
	return fits
}

func (conn *Conn) endAnswer(bytes int) {
	guard := conn.guard
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if conn.entry.Phase() == evict.Answering {
		guard.budget.Enter(conn.entry, evict.Serving)
	}
	if bytes > unchargedBytes {
		guard.budget.Release(conn.entry, int64(bytes))
	}
}

// isSuccess reports whether bytes begin an HTTP response with a 2xx status.
func isSuccess(data []byte) bool {
	const before = len("HTTP/1.1 ")
	return len(data) > before && data[before] == '2' && bytes.HasPrefix(data, []byte("HTTP/1."))
}

// Close implements net.Conn.
func (conn *Conn) Close() error {
	conn.Identified()
	return conn.Conn.Close()
}

// CloseWrite closes the sending side, as net/http does before it closes a connection on which bytes may still arrive.
func (conn *Conn) CloseWrite() error {
	if closer, ok := conn.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}

// Identified ends the count of a connection: it is closed, or belongs to another VM.
func (conn *Conn) Identified() {
	guard := conn.guard
	guard.mu.Lock()
	defer guard.mu.Unlock()
	guard.budget.Close(conn.entry)
	delete(guard.conns, conn.entry)
}

// stateChanged follows the connection through its requests.
func (conn *Conn) stateChanged(state http.ConnState) {
	guard := conn.guard
	guard.mu.Lock()
	defer guard.mu.Unlock()
	switch state {
	case http.StateActive: // the head has been read
		conn.head.complete = true
		guard.budget.Enter(conn.entry, evict.Receiving)
	case http.StateIdle:
		if conn.succeeded {
			guard.budget.Answered(conn.entry)
		}
		conn.head, conn.succeeded = head{}, false
		guard.budget.Enter(conn.entry, evict.Idle)
	}
}

// timeout returns how long the connection may stay as it is, 0 if there is no limit here; the caller holds the guard's mutex.
func (conn *Conn) timeout(limits RequestLimits) time.Duration {
	switch conn.entry.Phase() {
	case evict.Receiving:
		if !conn.head.complete {
			return limits.HeaderTimeout
		}
	case evict.Answering:
		return writeTimeout
	case evict.Idle:
		return limits.IdleTimeout
	}
	return 0
}

// handler tells the guard when requests have arrived completely.
func (guard *Guard) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, _ := request.Context().Value(connKey{}).(*Conn)
		switch {
		case conn == nil:
		case request.Body == http.NoBody:
			if !conn.serve() {
				guard.options.Reject(writer, Error{"serve", TooMany})
				return
			}
		default:
			request.Body = &body{ReadCloser: request.Body, conn: conn}
		}
		next.ServeHTTP(writer, request)
	})
}

// serve records that a request has arrived completely, and reports whether it may be served.
func (conn *Conn) serve() bool {
	conn.guard.mu.Lock()
	defer conn.guard.mu.Unlock()
	ok := conn.guard.budget.Serve(conn.entry)
	if !ok {
		conn.guard.count(TooMany)
	}
	return ok
}

// body is a request's body. The guard learns when it has been read.
type body struct {
	io.ReadCloser
	conn     *Conn
	complete bool
}

// Read implements io.Reader.
func (body *body) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == io.EOF && !body.complete {
		body.complete = true
		if !body.conn.serve() {
			return 0, &Error{"read", TooMany}
		}
	}
	return count, err
}

// Hold counts memory that a request takes up while it is served, and reports whether there is room for it.
func Hold(ctx context.Context, bytes int64) bool {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	if conn == nil {
		return true
	}
	return conn.guard.hold(conn, bytes)
}

// hold is Hold for one connection.
func (guard *Guard) hold(conn *Conn, bytes int64) bool {
	guard.mu.Lock()
	ended, ok := guard.budget.Reserve(conn.entry, bytes)
	endings := guard.end(ended, NoRoom)
	guard.mu.Unlock()
	closeAll(endings)
	return ok
}
