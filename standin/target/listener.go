package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener limits the connections of a target and can make them go silent.
type listener struct {
	net.Listener
	limit   int
	cost    time.Duration
	mu      sync.Mutex
	open    map[*conn]bool
	peak    int
	refused int64
	opened  int64
}

type conn struct {
	net.Conn
	listener *listener
	once     sync.Once
	closing  sync.Once
	silent   atomic.Bool
	closed   chan struct{}
}

func newListener(inner net.Listener, limit int, cost time.Duration) *listener {
	return &listener{Listener: inner, limit: limit, cost: cost, open: map[*conn]bool{}}
}

// Accept implements net.Listener; connections over the limit are closed at once.
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
	listener.peak = max(listener.peak, len(listener.open))
	return accepted
}

// silence makes a part of the open connections swallow everything.
func (listener *listener) silence(part float64) {
	listener.mu.Lock()
	defer listener.mu.Unlock()
	count := int(part*float64(len(listener.open)) + 0.999)
	for conn := range listener.open {
		if count == 0 {
			return
		}
		conn.silent.Store(true)
		count--
	}
}

// cut closes all open connections.
func (listener *listener) cut() {
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
	return listener.peak, listener.opened, listener.refused
}

// Read implements net.Conn.
func (conn *conn) Read(data []byte) (int, error) {
	conn.once.Do(func() { time.Sleep(conn.listener.cost) })
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

// Write implements net.Conn.
func (conn *conn) Write(data []byte) (int, error) {
	if conn.silent.Load() {
		return len(data), nil
	}
	return conn.Conn.Write(data)
}

// Close implements net.Conn.
func (conn *conn) Close() error {
	conn.closing.Do(func() {
		conn.listener.mu.Lock()
		delete(conn.listener.open, conn)
		conn.listener.mu.Unlock()
		close(conn.closed)
	})
	return conn.Conn.Close()
}
