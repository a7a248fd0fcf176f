package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"poplarpin.dev/core/rpc"
)

// link is a connection that this VM has opened to a peer.
type link struct {
	mesh        *Mesh
	name        string
	address     string
	queue       chan Message
	peer        rpc.Hello     // set before ready is closed
	ready       chan struct{} // closed once rpc is set or opening has failed
	rpc         *jsonrpc2.Conn
	conn        net.Conn
	done        chan struct{}
	writes      writeCounts
	checking    atomic.Bool // a Delivery is being checked
	mu          sync.Mutex
	closed      bool // no message is queued and no connection is opened any more
	lastSent    time.Time
	silentSince time.Time // when the first message was sent since anything arrived; zero without one
	promptSent  bool      // one of the messages since silentSince is prompt
	lastPing    time.Time
	hasSent     bool
	// undeliveredFrom is the first of the written bytes that the peer's machine had not acknowledged at the last check, allDelivered if there was none.
	undeliveredFrom int64
	checkedAt       time.Time
}

// run opens the connection and sends the queued messages until the link is closed.
func (link *link) run() {
	defer link.failQueued()
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
			params, wanted := message.params()
			if !wanted {
				continue
			}
			if !link.peer.Can(capabilitiesFor(params)...) {
				message.unsent(Incapable)
				continue
			}
			if !link.markSent(message.Prompt) {
				message.unsent(Unreachable)
				return
			}
			sentMessages.Add(message.Method, 1)
			message.sent(Delivery{link, link.writes.begun.Load()})
			if err := link.rpc.Notify(ctx, message.Method, params); err != nil {
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
	codec := newFrameCodec()
	stream := jsonrpc2.NewBufferedStream(countingConn{conn, &link.writes}, codec)
	rpcConn := jsonrpc2.NewConn(context.Background(), stream, replyHandler{link}, discardLog)
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	var hello rpc.Hello
	if err := rpcConn.Call(ctx, rpc.MethodHello, link.mesh.self, &hello); err != nil {
		_ = rpcConn.Close()
		return err
	}
	if hello.Validate() != nil || hello.VM != link.name || !certifiedAs(conn, link.name) {
		_ = rpcConn.Close()
		return &Error{"open", Rejected, fmt.Sprintf("%s answers at the address of %s", hello.VM, link.name)}
	}
	link.mesh.handler.Greeted(hello)
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed {
		_ = rpcConn.Close()
		return &Error{"open", Unreachable, "the link to " + link.name + " was closed while it was opened"}
	}
	codec.handshakeComplete()
	link.rpc, link.conn, link.peer = rpcConn, conn, hello
	return nil
}

// enqueue queues a message and reports whether it did: not if the link is closed or the queue is full.
func (link *link) enqueue(message Message) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed {
		return false
	}
	select {
	case link.queue <- message:
		return true
	default:
		return false
	}
}

// resetOnClose makes closing the connection discard unsent data. Otherwise messages still in the send buffer, for instance after
// a network partition, would be delivered after the link has been given up.
func resetOnClose(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
}

// check closes an idle link and pings one that may have failed silently: at each check while replies are awaited on it or after a prompt message;
// otherwise once nothing has been received for probeAfter after a message, and then every probeAfter.
func (link *link) check(now time.Time) {
	select {
	case <-link.ready:
	default:
		return
	}
	awaitsReply := link.mesh.handler.AwaitsReply(link.name)
	link.mu.Lock()
	idle := now.Sub(link.lastSent) > idleTimeout
	due := awaitsReply || link.promptSent || !link.silentSince.IsZero() && min(now.Sub(link.silentSince), now.Sub(link.lastPing)) > probeAfter
	if due {
		link.lastPing = now
	}
	link.mu.Unlock()
	if idle {
		link.close()
	} else if due && link.rpc != nil {
		go link.ping()
	}
}

func (link *link) ping() {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	check := time.AfterFunc(deliveryCheckDelay, link.checkDelivery)
	defer check.Stop()
	if link.rpc.Call(ctx, rpc.MethodPing, nil, nil) != nil {
		link.close()
		return
	}
	link.markReceived()
}

// markSent records that a message is being sent, so that the handler is notified when the link is closed. It returns false if the link is
// closed already; the message must not be sent then.
func (link *link) markSent(prompt bool) bool {
	link.mu.Lock()
	defer link.mu.Unlock()
	if link.closed {
		return false
	}
	link.lastSent, link.hasSent = time.Now(), true
	if link.silentSince.IsZero() {
		link.silentSince = link.lastSent
	}
	link.promptSent = link.promptSent || prompt
	return true
}

// markReceived records that data has arrived, which shows that the link works.
func (link *link) markReceived() {
	link.mu.Lock()
	defer link.mu.Unlock()
	link.silentSince, link.promptSent = time.Time{}, false
	link.undeliveredFrom = allDelivered // messages may have arrived since the last check
}

func (link *link) idle() time.Duration {
	link.mu.Lock()
	defer link.mu.Unlock()
	return time.Since(link.lastSent)
}

// close closes the link and, if messages were sent on it, notifies the handler that they may be lost.
func (link *link) close() {
	link.mu.Lock()
	if link.closed {
		link.mu.Unlock()
		return
	}
	link.closed = true
	rpcConn, hasSent := link.rpc, link.hasSent
	link.mu.Unlock()
	close(link.done)
	link.mesh.remove(link)
	if rpcConn != nil {
		resetOnClose(link.conn)
		go func() { _ = rpcConn.Close() }()
	}
	if hasSent {
		linksLost.Add(1)
		go link.mesh.handler.LinkDown(link.name)
	}
}

// failQueued reports the messages that are still queued on a closed link as unsent.
func (link *link) failQueued() {
	for {
		select {
		case message := <-link.queue:
			message.unsent(Unreachable)
		default:
			return
		}
	}
}
