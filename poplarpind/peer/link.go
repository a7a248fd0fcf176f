package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"poplarpin.dev/core/rpc"
)

// message is one notification that waits for its link.
type message struct {
	method string
	params any
	unsent func()
}

// link is a connection that this VM opened to a peer.
type link struct {
	mesh    *Mesh
	name    string
	address string
	queue   chan message
	ready   chan struct{} // closed once rpc is set or the link has failed
	rpc     *jsonrpc2.Conn
	conn    net.Conn
	done    chan struct{}
	closing sync.Once
	mu      sync.Mutex
	used    time.Time
	heard   time.Time // when something came on it
	pinged  time.Time
	sent    bool
}

// run opens the connection and writes messages until the link ends.
func (link *link) run() {
	defer link.drain()
	if err := link.open(); err != nil {
		link.close()
		close(link.ready)
		return
	}
	close(link.ready)
	ctx := context.Background()
	for {
		select {
		case message := <-link.queue:
			link.touch()
			if err := link.rpc.Notify(ctx, message.method, message.params); err != nil {
				link.close()
				return
			}
		case <-link.rpc.DisconnectNotify():
			link.close()
			return
		case <-link.done:
			return
		}
	}
}

func (link *link) open() error {
	conn, err := link.mesh.dial(link.address)
	if err != nil {
		return err
	}
	stream := jsonrpc2.NewBufferedStream(counted{conn}, jsonrpc2.VarintObjectCodec{})
	rpcConn := jsonrpc2.NewConn(context.Background(), stream, replies{link}, quiet)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var hello rpc.Hello
	if err := rpcConn.Call(ctx, rpc.MethodHello, link.mesh.self, &hello); err != nil {
		_ = rpcConn.Close()
		return err
	}
	if hello.VM != link.name || !certified(conn, link.name) {
		_ = rpcConn.Close()
		return &Error{"open", Rejected, fmt.Sprintf("%s answers at the address of %s", hello.VM, link.name)}
	}
	link.rpc, link.conn = rpcConn, conn
	return nil
}

// reset sees to it that messages which are still under way, as after a cut, are not delivered once the link is given up.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only on a connection that has ended
	}
}

// check closes a link that is not used any more and pings one that may have gone silent: often while answers are awaited on
// it, else some time after a message to which nothing came back.
func (link *link) check(now time.Time) {
	select {
	case <-link.ready:
	default:
		return
	}
	awaited := link.mesh.handler.AwaitsReply(link.name)
	link.mu.Lock()
	unused := now.Sub(link.used) > closeAfter
	due := awaited || link.used.After(link.heard) && min(now.Sub(link.used), now.Sub(link.pinged)) > quietAfter
	if due {
		link.pinged = now
	}
	link.mu.Unlock()
	if unused {
		link.close()
	} else if due && link.rpc != nil {
		go link.ping()
	}
}

func (link *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	if link.rpc.Call(ctx, rpc.MethodPing, nil, nil) != nil {
		link.close()
		return
	}
	link.hear()
}

// touch records that a message is sent.
func (link *link) touch() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.used, link.sent = time.Now(), true
}

// hear records that something came, which shows that the link is whole.
func (link *link) hear() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.heard = time.Now()
}

func (link *link) idle() time.Duration {
	link.mu.Lock()
	defer link.mu.Unlock()
	return time.Since(link.used)
}

// close ends the link and tells the handler that messages on it may be lost.
func (link *link) close() {
	link.closing.Do(func() {
		close(link.done)
		link.mesh.remove(link)
		if link.rpc != nil {
			reset(link.conn)
			go func() { _ = link.rpc.Close() }()
		}
		link.mu.Lock()
		sent := link.sent
		link.mu.Unlock()
		if sent {
			linksLost.Add(1)
			go link.mesh.handler.LinkDown(link.name)
		}
	})
}

// drain reports the messages that were never written.
func (link *link) drain() {
	for {
		select {
		case message := <-link.queue:
			message.unsent()
		case <-time.After(pingTimeout):
			return
		}
	}
}
