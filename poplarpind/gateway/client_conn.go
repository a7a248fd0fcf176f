package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"poplarpin.dev/core/fanout"
)

// clientConnKey is the context key under which a request finds its clientConn.
type clientConnKey struct{}

// clientConn counts the requests on a client's connection.
type clientConn struct {
	conn     net.Conn
	requests atomic.Int64
}

// withClientConn is the ConnContext of the server for clients.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, &clientConn{conn: conn})
}

// nextClientPath returns the network path of the next request on the connection that the context belongs to.
func nextClientPath(ctx context.Context) fanout.ClientPath {
	clientConn, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return fanout.ClientPath{}
	}
	return fanout.ClientPath{RoundTrip: roundTrip(clientConn.conn), NewConnection: clientConn.requests.Add(1) == 1}
}

// roundTrip returns the round trip that the kernel has measured on a TCP connection, 0 if it knows none.
func roundTrip(conn net.Conn) time.Duration {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0 // the connection is closed
	}
	var measured time.Duration
	_ = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			measured = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	return measured
}
