package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the number of open connections of a target and can make connections silent.
type listener struct {
	net.Listener
	limit          int
	connectionCost time.Duration
	mu             sync.Mutex
	open           map[*conn]bool
	peakOpen       int
	refused        int64
	opened         int64
}

// conn is an accepted connection. While it is silent, it discards what it reads and what is written, as a network that drops
// packets does.
type conn struct {
	net.Conn
	listener  *listener
	firstRead sync.Once
	closeOnce sync.Once
	silent    atomic.Bool
	closed    chan struct{}
}

func newListener(inner net.Listener, limit int, connectionCost time.Duration) *listener {
	return &listener{Listener: inner, limit: limit, connectionCost: connectionCost, open: map[*conn]bool{}}
}

// Accept implements net.Listener; it closes connections over the limit at once.
func (listener *listener) Accept() (net.Conn, error) {
	for {
		inner, err := listener.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if accepted := listener.admit(inner); accepted != nil {
			return accepted, nil
		}
		_ = inner.Close()
	}
}

// admit registers a connection; it returns nil if the limit is reached.
func (listener *listener) admit(inner net.Conn) *conn {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	if len(listener.open) >= listener.limit {
		listener.refused++
		return nil
	}
	accepted := &conn{Conn: inner, listener: listener, closed: make(chan struct{})}
	listener.open[accepted] = true
	listener.opened++
	listener.peakOpen = max(listener.peakOpen, len(listener.open))
	return accepted
}

// silenceConnections makes a fraction of the open connections silent, rounded up; they stay silent until they are closed.
func (listener *listener) silenceConnections(fraction float64) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	count := int(fraction*float64(len(listener.open)) + 0.999)
	for conn := range listener.open {
		if count == 0 {
			return
		}
		conn.silent.Store(true)
		count--
	}
}

// closeAll closes all open connections.
func (listener *listener) closeAll() {
	listener.mu.Lock()
	open := make([]*conn, 0, len(listener.open))
	for conn := range listener.open {
		open = append(open, conn)
	}
	listener.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

func (listener *listener) counts() (peak int, opened, refused int64) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	return listener.peakOpen, listener.opened, listener.refused
}

// Read implements net.Conn. The first read is delayed by the connection cost. A silent connection returns neither data nor the peer's
// close; the read ends when the connection is closed here.
func (conn *conn) Read(data []byte) (int, error) {
	conn.firstRead.Do(func() { time.Sleep(conn.listener.connectionCost) })
	for {
		count, err := conn.Conn.Read(data)
		if !conn.silent.Load() {
			return count, err
		}
		if err != nil {
			<-conn.closed
			return 0, net.ErrClosed
		}
	}
}

// Write implements net.Conn; a silent connection discards the data and reports success.
func (conn *conn) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Close implements net.Conn; it may be called more than once.
func (conn *conn) Close() error {
	conn.closeOnce.Do(func() {
		conn.listener.mu.Lock()
		delete(conn.listener.open, conn)
		conn.listener.mu.Unlock()
		close(conn.closed)
	})
	return conn.Conn.Close()
}
