package http1

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"poplarpin.dev/poplarpind/every"
)

const (
	dialTimeout   = time.Second             // the longest that a new connection is waited for
	userTimeout   = 1500 * time.Millisecond // without an acknowledgement of sent bytes, after which a connection is dead
	userTimeoutID = 18                      // TCP_USER_TIMEOUT, which package syscall does not name
	idleSlack     = 500 * time.Millisecond  // before a server closes an idle connection, when it is not used any more
	freshFor      = 500 * time.Millisecond  // idle time up to which a connection counts as surely open
	sweepInterval = 500 * time.Millisecond  // between two looks for connections that are idle for too long
	idleFor       = 1500 * time.Millisecond // after which a connection is closed: servers take few, and VMs that lost power leave theirs behind
	idleLast      = 6 * time.Second         // the same for a VM's only connection to a server
	maxBody       = 16 << 20                // bytes of a response
	inlineBytes   = 8 << 10                 // calls up to this size are written at once; the socket's buffer takes them
	crowdedFor    = time.Second             // after a server turned a connection away, while no more are opened than it took
	minConns      = 1
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	PoolExhausted Kind = "noRoom"  // no connection may be opened; nothing was sent
	NotSent       Kind = "notSent" // no connection came about; nothing was sent
	Abandoned     Kind = "dropped" // it was abandoned before it was sent
	Rejected      Kind = "crowded" // the server turned a new connection away; nothing was sent
	Lost          Kind = "lost"    // the connection ended before a complete response
	Malformed     Kind = "spoilt"  // bytes that are no response
)

// Error reports why a call brought no response.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

var (
	opened  = expvar.NewInt("serverConnectionsOpened")
	closed  = expvar.NewInt("serverConnectionsClosed")
	crowded = expvar.NewInt("serverConnectionsTurnedAway")
	strange = expvar.NewInt("serverConnectionsStrange") // closed for bytes that belong to no call
)

// Call is one request to a server.
type Call struct {
	Target      string // its id; connections are kept for each
	Address     string
	Method      string
	Encode      func() []byte // of the request, made when it is sent, which may be later where a connection is opened first
	FreshConn   bool          // must not go on a connection that the server may have closed meanwhile
	DialTimeout time.Duration // how long a new connection may take; 0 for the longest
	// Done is called once with the response, or with an Error, and reports whether the connection may be used again and
	// how long the server keeps it; it is not called after Abort.
	Done func(response *http.Response, body []byte, err error) (reusable bool, keep time.Duration)
}

// Pool keeps the connections of one VM to all servers.
type Pool struct {
	mu      sync.Mutex
	servers map[string]*server
	limit   func(server string) int
}

// server is the connections to one server.
type server struct {
	open    int
	idle    []*conn   // the one used last at the end
	crowded time.Time // until when no more connections than room are opened
	room    int
}

// limit returns how many connections may be open, of those that are allowed at the most.
func (server *server) limit(now time.Time, most int) int {
	if now.Before(server.crowded) {
		most = min(most, server.room)
	}
	return max(most, minConns)
}

// New returns a pool without connections; limit gives the most connections to a server.
func New(limit func(server string) int) *Pool {
	return &Pool{servers: map[string]*server{}, limit: limit}
}

// Run closes connections that are idle for too long until the context ends.
func (pool *Pool) Run(ctx context.Context) {
	every.Run(ctx, sweepInterval, func() { pool.sweep(time.Now()) })
}

func (pool *Pool) sweep(now time.Time) {
	pool.mu.Lock()
	var old []*conn
	for id, server := range pool.servers {
		for i, conn := range server.idle {
			last := i == len(server.idle)-1 && server.open == len(server.idle)
			if !conn.usable(now) || !last && now.Sub(conn.used) >= idleFor {
				old = append(old, conn)
			}
		}
		if server.open == 0 {
			delete(pool.servers, id)
		}
	}
	pool.mu.Unlock()
	for _, conn := range old {
		conn.close()
	}
}

// Exchange is a call that is under way.
type Exchange struct {
	mu     sync.Mutex
	call   Call
	conn   *conn // nil until there is one
	cancel context.CancelFunc
	ended  bool
	unsent bool // it was abandoned before it was sent
}

// Start makes a call; the error is of kind NoRoom.
func (pool *Pool) Start(call Call) (*Exchange, error) {
	exchange := &Exchange{call: call}
	now, most := time.Now(), pool.limit(call.Target)
	pool.mu.Lock()
	state, ok := pool.servers[call.Target]
	if !ok {
		state = &server{}
		pool.servers[call.Target] = state
	}
	if conn := state.take(now, call.FreshConn); conn != nil {
		pool.mu.Unlock()
		conn.begin(exchange)
		return exchange, nil
	}
	if state.open >= state.limit(now, most) {
		pool.mu.Unlock()
		return nil, &Error{"start", PoolExhausted, "all connections to " + call.Target + " are busy"}
	}
	state.open++
	pool.mu.Unlock()
	timeout := dialTimeout
	if call.DialTimeout > 0 {
		timeout = min(timeout, call.DialTimeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	exchange.cancel = cancel
	go pool.dial(ctx, exchange)
	return exchange, nil
}

// take returns the idle connection that was used last, nil for none that is good enough.
func (server *server) take(now time.Time, fresh bool) *conn {
	for len(server.idle) > 0 {
		last := server.idle[len(server.idle)-1]
		if fresh && now.Sub(last.used) > freshFor {
			return nil
		}
		server.idle = server.idle[:len(server.idle)-1]
		if last.usable(now) {
			return last
		}
		go last.close()
	}
	return nil
}

func (pool *Pool) dial(ctx context.Context, exchange *Exchange) {
	defer exchange.cancel()
	dialer := net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	opened.Add(1)
	raw, err := dialer.DialContext(ctx, "tcp", exchange.call.Address)
	if err != nil {
		kind := NotSent
		if exchange.dropped() {
			kind = Abandoned
		} else if errors.Is(err, syscall.ECONNRESET) {
			kind = Rejected
			pool.crowd(exchange.call.Target)
		}
		pool.forget(exchange.call.Target)
		exchange.end(nil, nil, &Error{"dial", kind, err.Error()})
		return
	}
	conn := newConn(pool, exchange.call.Target, raw)
	if exchange.dropped() {
		conn.close()
		pool.forget(exchange.call.Target)
		exchange.end(nil, nil, &Error{"dial", Abandoned, "the call was not needed any more"})
		return
	}
	conn.begin(exchange)
	conn.read()
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, userTimeoutID, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// forget takes a connection off the count of its server.
func (pool *Pool) forget(id string) {
	closed.Add(1)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server, ok := pool.servers[id]; ok {
		server.open--
	}
}

// crowd records that a server turned a new connection away: it takes no more than there are.
func (pool *Pool) crowd(id string) {
	crowded.Add(1)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server, ok := pool.servers[id]; ok {
		server.room = max(server.open-1, minConns)
		server.crowded = time.Now().Add(crowdedFor)
	}
}

// release keeps a connection for the next call.
func (pool *Pool) release(conn *conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server, ok := pool.servers[conn.server]; ok && !conn.isClosed() {
		server.idle = append(server.idle, conn)
	}
}

// withdraw takes a connection out of those that are idle.
func (pool *Pool) withdraw(conn *conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	server, ok := pool.servers[conn.server]
	if !ok {
		return
	}
	for i, idle := range server.idle {
		if idle == conn {
			server.idle = append(server.idle[:i], server.idle[i+1:]...)
			return
		}
	}
}

// Counts returns the servers with connections and the open connections.
func (pool *Pool) Counts() (servers, open int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.servers {
		open += server.open
	}
	return len(pool.servers), open
}

// Abort ends a call by closing its connection, so that the server stops working on it.
func (exchange *Exchange) Abort() {
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

// Abandon says that the response is not needed. A call that has not been sent yet is not sent; the response of one that has
// is read and handed to Done.
func (exchange *Exchange) Abandon() {
	exchange.mu.Lock()
	exchange.unsent = exchange.conn == nil && !exchange.ended
	unsent := exchange.unsent
	exchange.mu.Unlock()
	if unsent && exchange.cancel != nil {
		exchange.cancel()
	}
}

// dropped reports whether the call was abandoned before it was sent.
func (exchange *Exchange) dropped() bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	return exchange.unsent
}

// end hands the result to the caller, unless the call was broken off.
func (exchange *Exchange) end(response *http.Response, body []byte, err error) (bool, time.Duration) {
	exchange.mu.Lock()
	ended := exchange.ended
	exchange.ended = true
	exchange.mu.Unlock()
	if ended {
		return false, 0
	}
	return exchange.call.Done(response, body, err)
}

// attach gives the exchange its connection and reports whether it is still wanted.
func (exchange *Exchange) attach(conn *conn) bool {
	exchange.mu.Lock()
	defer exchange.mu.Unlock()
	exchange.conn = conn
	return !exchange.ended
}

// Idle returns the connections to a server that wait for a call.
func (pool *Pool) Idle(id string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if server, ok := pool.servers[id]; ok {
		return len(server.idle)
	}
	return 0
}
