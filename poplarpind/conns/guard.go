package conns

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"poplarpin.dev/core/evict"
	"poplarpin.dev/poplarpind/every"
	"poplarpin.dev/poplarpind/tcp"
)

const (
	sweepInterval = time.Second      // connections that have exceeded a time are looked for this often
	maxSweepDelay = 3 * time.Second  // after a longer time between two sweeps the process has stood still
	writeTimeout  = 30 * time.Second // a client must take this long at most to read writeBytes of an answer
	writeBytes    = 64 << 10
	refusalTime   = time.Second // a client takes this long at most to read that its body is refused
	// Sizes of a socket's buffers, for bytes that this process has not read and for bytes that the client has not acknowledged. The kernel may double them.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 32 << 10
	// ConnBytes is the memory of a connection without a request: the goroutine and buffers of net/http, and the socket's receive buffer.
	ConnBytes = 40 << 10
	// SecuredConnBytes is the same for a connection with TLS.
	SecuredConnBytes = 80 << 10
)

// counts counts connections that were closed or refused, by listener and reason.
var counts = expvar.NewMap("clientConnections")

// RequestLimits bounds one request.
type RequestLimits struct {
	HeadBytes     int           // request line and header fields
	HeaderTimeout time.Duration // for their arrival, from the first byte on; on a new connection from its opening on
	IdleTimeout   time.Duration // between two requests on a connection
}

// Options describes a listener whose connections a Guard bounds.
type Options struct {
	Name       string // in metrics and log lines
	Limits     evict.Limits
	Requests   func() RequestLimits                            // in force now
	BodyFactor int64                                           // bytes of memory that a byte of a request's body takes up
	Encrypted  bool                                            // TLS is spoken on the connections, so that heads cannot be read here
	Refuse     func(refusal Error) []byte                      // the response to a request whose head is refused; nil if the connection is only closed
	Reject     func(writer http.ResponseWriter, refusal Error) // answers a request that has arrived and has no place; it has not run
	Log        *zap.Logger
}

// Guard bounds the connections that a listener accepts: their number, and the memory of their sockets, heads, bodies and answers.
type Guard struct {
	options   Options
	lingering atomic.Int64
	mu        sync.Mutex // guards the fields below and the state of all connections
	budget    *evict.Budget
	conns     map[*evict.Conn]*Conn
	closed    map[Kind]int // connections since the last sweep
	sweptAt   time.Time
}

// New returns a guard without connections.
func New(options Options) *Guard {
	return &Guard{options: options, budget: evict.New(options.Limits), conns: map[*evict.Conn]*Conn{}, closed: map[Kind]int{}}
}

// Listen listens on an address. The kernel's buffers of the accepted connections are short.
func (guard *Guard) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) { // accepted sockets inherit them; without them they are only larger
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	return guard.Wrap(listener), nil
}

// Wrap returns a listener whose connections are bounded.
func (guard *Guard) Wrap(listener net.Listener) net.Listener {
	return &guardedListener{Listener: listener, guard: guard}
}

// guardedListener accepts connections that a guard bounds.
type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (listener *guardedListener) Accept() (net.Conn, error) {
	accepted, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return listener.guard.open(accepted), nil
}

// open counts a new connection and closes others if there are too many.
func (guard *Guard) open(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, guard: guard}
	guard.mu.Lock()
	entry, ended := guard.budget.Open()
	conn.entry = entry
	guard.conns[entry] = conn
	endings := guard.end(ended, TooMany)
	guard.mu.Unlock()
	closeAll(endings)
	return conn
}

// Attach makes a server report the state of its connections to the guard; it must be called before the server serves.
func (guard *Guard) Attach(server *http.Server) {
	server.Handler = guard.handler(server.Handler)
	changed, withConn := server.ConnState, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if guarded := Of(conn); guarded != nil {
			guarded.stateChanged(state)
		}
		if changed != nil {
			changed(conn, state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if withConn != nil {
			ctx = withConn(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, Of(conn))
	}
	server.MaxHeaderBytes = maxHeadBytes
	if guard.options.Encrypted {
		server.MaxHeaderBytes = guard.options.Requests().HeadBytes
	}
}

// Run closes connections of guards that exceed a time until the context ends.
func Run(ctx context.Context, guards ...*Guard) {
	every.Run(ctx, sweepInterval, func() {
		for _, guard := range guards {
			guard.sweep(time.Now())
		}
	})
}

// sweep closes the connections that have exceeded a time, and logs how many were closed for which reason since the last sweep.
func (guard *Guard) sweep(now time.Time) {
	var endings []ending
	guard.mu.Lock()
	limits := guard.options.Requests()
	paused := now.Sub(guard.sweptAt) > maxSweepDelay // requests may have arrived meanwhile that the process has not read
	guard.sweptAt = now
	for entry, conn := range guard.conns {
		if paused || conn.seenEntered != entry.Entered() {
			conn.seenEntered, conn.seenAt = entry.Entered(), now
			continue
		}
		if timeout := conn.timeout(limits); timeout > 0 && now.Sub(conn.seenAt) >= timeout && !tcp.HasUnread(conn.Conn) {
			guard.budget.Close(entry)
			endings = append(endings, guard.end([]*evict.Conn{entry}, TooSlow)...)
		}
	}
	closed := guard.closed
	guard.closed = map[Kind]int{}
	open, bytes := guard.budget.Len(), guard.budget.Bytes()
	guard.mu.Unlock()
	closeAll(endings)
	for kind, count := range closed {
		guard.options.Log.Info("connections of clients closed", zap.String("listener", guard.options.Name), zap.String("reason", string(kind)), zap.Int("count", count),
			zap.Int("open", open), zap.Int64("bytes", bytes))
	}
}

// end records that connections are closed for a reason; the caller holds mu and closes them afterwards.
func (guard *Guard) end(ended []*evict.Conn, kind Kind) []ending {
	var endings []ending
	for _, entry := range ended {
		conn := guard.conns[entry]
		if conn == nil {
			continue // closed meanwhile
		}
		delete(guard.conns, entry)
		guard.count(kind)
		conn.ended = kind
		endings = append(endings, ending{conn: conn, phase: entry.Phase(), headBytes: conn.head.bytes, inHead: !conn.head.complete, kind: kind})
	}
	return endings
}

// count counts a connection that is closed for a reason; the caller holds mu.
func (guard *Guard) count(kind Kind) {
	guard.closed[kind]++
	counts.Add(guard.options.Name+"."+string(kind), 1)
}

// ending is a connection that is to be closed, as it was when that was decided.
type ending struct {
	conn      *Conn
	phase     evict.Phase
	headBytes int
	inHead    bool
	kind      Kind
}

func closeAll(endings []ending) {
	for _, ending := range endings {
		ending.close()
	}
}

// close closes a connection. A client whose head is arriving is told that its request has not run, and the handler that reads a body answers itself.
func (ending ending) close() {
	switch {
	case ending.phase == evict.Receiving && !ending.inHead:
		_ = ending.conn.Conn.SetReadDeadline(past)
		_ = ending.conn.Conn.SetWriteDeadline(time.Now().Add(refusalTime))
	case ending.phase == evict.Receiving:
		if ending.headBytes > 0 {
			ending.conn.writeRefusal(ending.kind)
		}
		_ = ending.conn.Conn.Close()
	case ending.phase == evict.Idle:
		_ = ending.conn.Conn.Close()
	default:
		ending.conn.reset()
	}
}

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	HeadTooLarge Kind = "headTooLarge"
	TooSlow      Kind = "tooSlow" // the client has not sent, or not read, in time
	NoRoom       Kind = "noRoom"  // the requests of all clients hold too much memory
	TooMany      Kind = "tooMany" // connections
)

// Error reports why a request was not read.
type Error struct {
	Op   string
	Kind Kind
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) }

// NotRun reports that the request has not run, and whether it has ended for lack of room.
func (err *Error) NotRun() (noRoom bool) { return err.Kind == NoRoom || err.Kind == TooMany }

// Status returns the HTTP status of the response to a refused head.
func (err *Error) Status() int {
	switch err.Kind {
	case HeadTooLarge:
		return http.StatusRequestHeaderFieldsTooLarge
	case TooSlow:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

// Reason returns the reason for a refusal in words.
func (err *Error) Reason() string {
	switch err.Kind {
	case HeadTooLarge:
		return "the request's header is larger than the configuration allows"
	case TooSlow:
		return "the request's header did not arrive in time"
	}
	return "the requests of other clients leave no room"
}
