package gateway

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/poplarpind/tcp"
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
	info, open := tcp.InfoOf(clientConn.conn)
	return client{
		path: fanout.ClientPath{RoundTrip: time.Duration(info.Rtt) * time.Microsecond, NewConnection: clientConn.requests.Add(1) == 1},
		left: !open || info.Ended(),
	}
}
