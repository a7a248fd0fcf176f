package http1

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"poplarpin.dev/poplarpind/every"
)

const (
	dialTimeout          = time.Second             // the longest wait for a new connection
	tcpUserTimeout       = 1500 * time.Millisecond // a connection is lost after this time without an acknowledgement of sent data
	tcpUserTimeoutOption = 18                      // TCP_USER_TIMEOUT, which package syscall does not define
	idleMargin           = 500 * time.Millisecond  // before the target closes an idle connection, during which it is not used
	maxFreshIdle         = 500 * time.Millisecond  // idle time up to which a connection counts as open for certain
	sweepInterval        = 500 * time.Millisecond  // connections that are idle or busy for too long are looked for this often
	overdueGrace         = 500 * time.Millisecond  // after the end of a call's time, when most targets report that themselves
	// An idle connection is closed after maxIdle: targets accept few connections, and VMs that lost power leave theirs open.
	maxIdle         = 1500 * time.Millisecond
	maxIdleLast     = 6 * time.Second // the same for a VM's only connection to a target
	maxInlineBytes  = 8 << 10         // calls up to this size fit into the socket's send buffer and are written at once
	rejectionPeriod = time.Second     // after a rejection, during which no more connections are opened than the target had accepted
	minConns        = 1
)

// Kind classifies an Error.
type Kind string

// The kinds of errors. Their text appears in log lines and is kept, even where it differs from the constant's name.
const (
	PoolExhausted Kind = "noRoom"      // all connections to the target are busy and no more may be opened; nothing was sent
	NotSent       Kind = "notSent"     // the connection failed; nothing was sent
	Abandoned     Kind = "dropped"     // the call was abandoned before it was sent
	Rejected      Kind = "crowded"     // the target rejected a new connection; nothing was sent
	Lost          Kind = "lost"        // the connection ended before a complete response
	Undelivered   Kind = "undelivered" // the connection was closed before the target's machine had acknowledged any of the call
	Malformed     Kind = "spoilt"      // the received data is not a response to the call
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
	connsOpened     = expvar.NewInt("serverConnectionsOpened")
	connsClosed     = expvar.NewInt("serverConnectionsClosed")
	connsRejected   = expvar.NewInt("serverConnectionsTurnedAway")
	connsUnexpected = expvar.NewInt("serverConnectionsStrange") // closed because of data that belongs to no call
)

// Call is one request to a target.
type Call struct {
	Target      string // id of the target; connections are pooled by it
	Address     string // of the target, which may have another one after a restart
	Method      string
	Encode      func() []byte             // encodes the request when it is sent, which may be later if a connection must be opened first
	FreshConn   bool                      // must not use a connection that the target may have closed in the meantime
	Avoid       func(remembered any) bool // reports whether the call must not follow a response for which Done has remembered this; nil for any
	DialTimeout time.Duration             // for a new connection; 0 for the default
	Deadline    time.Time                 // when the call's time ends; its connection is closed soon after. Zero for none
	MaxBody     int64                     // bytes of the response's body; 0 for the default
	Priority    int                       // of the request, 0 is the highest; the memory for responses goes to the highest
	// Done is called once with the response or with an Error. It returns whether the connection may be reused and how long the
	// target keeps it open while idle, 0 if unknown. It is not called after Abort.
	Done func(response *Response, err error) (reusable bool, keepAlive time.Duration)
}

// Response is a target's complete response.
type Response struct {
	*http.Response
	Body     []byte
	Previous any // what Done has set as Remembered for the response before it on the same connection; nil for none
	// Remembered is set by Done. It stays in memory while the connection is idle.
	Remembered any
}

// Pool holds the connections of one VM to all targets.
type Pool struct {
	mu        sync.Mutex
	targets   map[string]*targetConns
	conns     map[*conn]bool // all open ones
	connLimit func(target string) int
	memory    *memory
}

// targetConns holds the connections to one target.
type targetConns struct {
	open          int
	idle          []*conn   // the most recently used one last
	rejectedUntil time.Time // until then, no more connections than accepted are opened
	accepted      int       // connections that the target had accepted at its last rejection
}

// maxOpen returns how many connections may be open, at most the configured number.
func (targetConns *targetConns) maxOpen(now time.Time, configured int) int {
	if now.Before(targetConns.rejectedUntil) {
		configured = min(configured, targetConns.accepted)
	}
	return max(configured, minConns)
}

// New returns a pool without connections; connLimit returns the maximum number of connections to a target, and budgetBytes limits the
// memory for the bodies of all responses.
func New(connLimit func(target string) int, budgetBytes int64) *Pool {
	return &Pool{targets: map[string]*targetConns{}, conns: map[*conn]bool{}, connLimit: connLimit, memory: newMemory(budgetBytes)}
}

// Run closes connections that have been idle too long or whose call is past its time, until the context ends.
func (pool *Pool) Run(ctx context.Context) {
	every.Run(ctx, sweepInterval, func() { pool.sweep(time.Now()) })
}

func (pool *Pool) sweep(now time.Time) {
	pool.mu.Lock()
	var expired []*conn
	for id, targetConns := range pool.targets {
		for i, conn := range targetConns.idle {
			last := i == len(targetConns.idle)-1 && targetConns.open == len(targetConns.idle)
			if !conn.usable(now) || !last && now.Sub(conn.idleSince) >= maxIdle {
				expired = append(expired, conn)
			}
		}
		if targetConns.open == 0 {
			delete(pool.targets, id)
		}
	}
	overdue := map[*conn]*Exchange{}
	for conn := range pool.conns {
		if exchange := conn.overdue(now); exchange != nil {
			overdue[conn] = exchange
		}
	}
	pool.mu.Unlock()
	for _, conn := range expired {
		conn.close()
	}
	for conn, exchange := range overdue {
		conn.end(exchange, responseTooOld)
	}
}

// Start starts a call. Its only error is of kind PoolExhausted.
func (pool *Pool) Start(call Call) (*Exchange, error) {
	exchange := &Exchange{pool: pool, call: call}
	now, configured := time.Now(), pool.connLimit(call.Target)
	pool.mu.Lock()
	conns, ok := pool.targets[call.Target]
	if !ok {
		conns = &targetConns{}
		pool.targets[call.Target] = conns
	}
	if conn := conns.takeIdle(now, call); conn != nil {
		pool.mu.Unlock()
		conn.begin(exchange)
		return exchange, nil
	}
	if conns.open >= conns.maxOpen(now, configured) {
		pool.mu.Unlock()
		return nil, &Error{"start", PoolExhausted, "all connections to " + call.Target + " are busy"}
	}
	conns.open++
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

// takeIdle removes and returns the most recently used idle connection that a call may use, or nil if there is none. If FreshConn is
// set, the connection must not have been idle for longer than maxFreshIdle. Connections to an earlier address of the target are closed.
func (targetConns *targetConns) takeIdle(now time.Time, call Call) *conn {
	for i := len(targetConns.idle) - 1; i >= 0; i-- {
		last := targetConns.idle[i]
		current := last.address == call.Address
		if current && call.FreshConn && now.Sub(last.idleSince) > maxFreshIdle {
			return nil
		}
		if current && call.Avoid != nil && call.Avoid(last.previous) {
			continue
		}
		targetConns.idle = slices.Delete(targetConns.idle, i, i+1)
		if current && last.usable(now) {
			return last
		}
		go last.close()
	}
	return nil
}

func (pool *Pool) dial(ctx context.Context, exchange *Exchange) {
	defer exchange.cancel()
	dialer := net.Dialer{KeepAlive: -1, Control: setTCPUserTimeout}
	connsOpened.Add(1)
	netConn, err := dialer.DialContext(ctx, "tcp", exchange.call.Address)
	if err != nil {
		kind := NotSent
		if exchange.isAbandoned() {
			kind = Abandoned
		} else if errors.Is(err, syscall.ECONNRESET) {
			kind = Rejected
			pool.recordRejection(exchange.call.Target)
		}
		pool.countClosed(exchange.call.Target)
		exchange.end(nil, &Error{"dial", kind, err.Error()})
		return
	}
	conn := pool.add(exchange.call.Target, exchange.call.Address, netConn)
	if exchange.isAbandoned() {
		conn.close()
		pool.remove(conn)
		exchange.end(nil, &Error{"dial", Abandoned, "the call is no longer needed"})
		return
	}
	conn.begin(exchange)
	conn.read()
}

func setTCPUserTimeout(_, _ string, rawConn syscall.RawConn) error {
	var optionErr error
	err := rawConn.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// add adds a new connection to an address of a target, which is already counted as open.
func (pool *Pool) add(target, address string, netConn net.Conn) *conn {
	conn := newConn(pool, target, address, netConn)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.conns[conn] = true
	return conn
}

// remove removes a closed connection.
func (pool *Pool) remove(conn *conn) {
	pool.mu.Lock()
	delete(pool.conns, conn)
	pool.mu.Unlock()
	pool.countClosed(conn.target)
}

// countClosed removes a closed connection from the count of open connections to its target.
func (pool *Pool) countClosed(id string) {
	connsClosed.Add(1)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if targetConns, ok := pool.targets[id]; ok {
		targetConns.open--
	}
}

// recordRejection records that a target rejected a new connection: it accepts no more than the others that are open now.
func (pool *Pool) recordRejection(id string) {
	connsRejected.Add(1)
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if targetConns, ok := pool.targets[id]; ok {
		targetConns.accepted = max(targetConns.open-1, minConns)
		targetConns.rejectedUntil = time.Now().Add(rejectionPeriod)
	}
}

// release returns a connection to the pool for the next call.
func (pool *Pool) release(conn *conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if targetConns, ok := pool.targets[conn.target]; ok && !conn.isClosed() {
		targetConns.idle = append(targetConns.idle, conn)
	}
}

// removeIdle removes a connection from the idle ones of its target.
func (pool *Pool) removeIdle(conn *conn) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	targetConns, ok := pool.targets[conn.target]
	if !ok {
		return
	}
	for i, idle := range targetConns.idle {
		if idle == conn {
			targetConns.idle = append(targetConns.idle[:i], targetConns.idle[i+1:]...)
			return
		}
	}
}

// Counts returns the number of targets with connections and the number of open connections.
func (pool *Pool) Counts() (targets, open int) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, targetConns := range pool.targets {
		open += targetConns.open
	}
	return len(pool.targets), open
}

// BufferedBytes returns the memory that the bodies of responses hold, apart from short ones.
func (pool *Pool) BufferedBytes() int64 { return pool.memory.held() }

// Idle returns the number of idle connections to a target.
func (pool *Pool) Idle(id string) int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if targetConns, ok := pool.targets[id]; ok {
		return len(targetConns.idle)
	}
	return 0
}
