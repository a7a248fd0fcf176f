package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"poplarpin.dev/core/fanout"
)

// States of a TCP connection, which package unix does not name.
const (
	tcpClose     = 7 // the other end has reset it
	tcpCloseWait = 8 // the other end has closed it
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

// client is the client of a request, as its connection shows it when the request is taken up.
type client struct {
	path fanout.ClientPath
	left bool // it has closed the connection, or this VM has, as a stop closes idle ones
}

// nextClient returns the client of the next request on the connection that the context belongs to.
func nextClient(ctx context.Context) client {
	clientConn, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return client{}
	}
	info, open := tcpInfo(clientConn.conn)
	return client{
		path: fanout.ClientPath{RoundTrip: time.Duration(info.Rtt) * time.Microsecond, NewConnection: clientConn.requests.Add(1) == 1},
		left: !open || info.State == tcpCloseWait || info.State == tcpClose,
	}
}

// tcpInfo returns what the kernel knows of a TCP connection, the zero value if it knows nothing, and reports whether this process has not closed it.
func tcpInfo(conn net.Conn) (info unix.TCPInfo, open bool) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return info, true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return info, false
	}
	err = raw.Control(func(fd uintptr) { // fails only on a closed connection
		if read, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *read
		}
	})
	return info, err == nil
}
