package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"expvar"
	"io"
	"log"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"poplarpin.dev/core/rpc"
)

const (
	dialTimeout  = 300 * time.Millisecond
	pingInterval = 150 * time.Millisecond // while answers are awaited
	pingTimeout  = 350 * time.Millisecond // without an answer, after which a link is given up
	quietAfter   = time.Second            // after a message that nothing was heard since, and that no answer is awaited to, the link is tried
	closeAfter   = 2 * time.Minute        // without messages, after which a link is closed
	avoidSpan    = 400 * time.Millisecond // after a failure, during which no new link is tried
	queueLength  = 8192                   // messages that wait for one link
)

// Kind classifies an Error.
type Kind string

// The kinds of errors.
const (
	Unreachable Kind = "unreachable" // no link; nothing was sent
	Broken      Kind = "broken"      // the link ended; the message may have arrived
	Rejected    Kind = "unwelcome"   // the peer may not speak with this VM
)

// Error reports why a message did not arrive or may not have.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// quiet keeps the library from printing the ends of links, which the handler is told of.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

var (
	sentMessages = expvar.NewMap("peerMessages")
	sentBytes    = expvar.NewInt("peerBytesSent")
	linksLost    = expvar.NewInt("peerLinksLost")
)

// Reply sends a notification back on the link that a message came on; it is nil for messages that are replies.
type Reply func(method string, params any)

// Handler takes the messages of peers; it must not block.
type Handler interface {
	Notify(from string, reply Reply, method string, params json.RawMessage) error
	Call(ctx context.Context, from string, method string, params json.RawMessage) (any, error)
	LinkDown(name string) // a link on which messages were sent has ended
	// AwaitsReply reports whether answers of a peer are due, so that its silence must be noticed soon.
	AwaitsReply(name string) bool
}

// Mesh keeps the links of one VM.
type Mesh struct {
	self    rpc.Hello
	handler Handler
	client  *tls.Config // nil for plain TCP
	mu      sync.Mutex
	links   map[string]*link // by peer's name
	avoided map[string]time.Time
	closed  bool
	inbound map[net.Conn]bool
}

// New returns a mesh without links; client secures the links that it opens, if set.
func New(self rpc.Hello, handler Handler, client *tls.Config) *Mesh {
	mesh := &Mesh{self: self, handler: handler, client: client, links: map[string]*link{},
		avoided: map[string]time.Time{}, inbound: map[net.Conn]bool{}}
	go mesh.watch()
	return mesh
}

// Reachable reports whether a peer may be reached as far as is known.
func (mesh *Mesh) Reachable(name string) bool {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return time.Since(mesh.avoided[name]) > avoidSpan
}

// Notify sends a message without an answer; unsent is called if it surely did not leave.
func (mesh *Mesh) Notify(name, address, method string, params any, unsent func()) {
	link := mesh.link(name, address)
	if link == nil {
		unsent()
		return
	}
	sentMessages.Add(method, 1)
	select {
	case link.queue <- message{method, params, unsent}:
	default:
		link.close()
		unsent()
	}
}

// Call sends a message and waits for its answer.
func (mesh *Mesh) Call(ctx context.Context, name, address, method string, params, result any) error {
	link := mesh.link(name, address)
	if link == nil {
		return &Error{method, Unreachable, name + " was unreachable a moment ago"}
	}
	sentMessages.Add(method, 1)
	select {
	case <-link.ready:
	case <-ctx.Done():
		return &Error{method, Unreachable, ctx.Err().Error()}
	}
	if link.rpc == nil {
		return &Error{method, Unreachable, "no link to " + name}
	}
	link.touch()
	if err := link.rpc.Call(ctx, method, params, result); err != nil {
		return &Error{method, Broken, err.Error()}
	}
	link.hear()
	return nil
}

// link returns the open link to a peer, or opens one; it is nil while the peer is avoided.
func (mesh *Mesh) link(name, address string) *link {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if found, ok := mesh.links[name]; ok && found.address == address {
		return found
	}
	if mesh.closed || time.Since(mesh.avoided[name]) <= avoidSpan {
		return nil
	}
	opened := &link{mesh: mesh, name: name, address: address, queue: make(chan message, queueLength),
		ready: make(chan struct{}), done: make(chan struct{}), used: time.Now()}
	mesh.links[name] = opened
	go opened.run()
	return opened
}

func (mesh *Mesh) dial(address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if mesh.client == nil {
		return dialer.Dial("tcp", address)
	}
	return tls.DialWithDialer(dialer, "tcp", address, mesh.client)
}

// watch checks all links until the mesh is closed.
func (mesh *Mesh) watch() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		mesh.mu.Lock()
		closed := mesh.closed
		links := slices.Collect(maps.Values(mesh.links))
		mesh.mu.Unlock()
		if closed {
			return
		}
		for _, link := range links {
			link.check(now)
		}
	}
}

func (mesh *Mesh) remove(link *link) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if mesh.links[link.name] == link {
		delete(mesh.links, link.name)
	}
	if link.idle() < closeAfter {
		mesh.avoided[link.name] = time.Now()
	}
}

// Serve takes the links that peers open until the listener ends.
func (mesh *Mesh) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		mesh.mu.Lock()
		mesh.inbound[conn] = true
		mesh.mu.Unlock()
		go mesh.serve(conn)
	}
}

func (mesh *Mesh) serve(conn net.Conn) {
	stream := jsonrpc2.NewBufferedStream(counted{conn}, jsonrpc2.VarintObjectCodec{})
	inbound := &inbound{mesh: mesh, conn: conn, replies: make(chan message, queueLength)}
	rpcConn := jsonrpc2.NewConn(context.Background(), stream, inbound, quiet)
	go inbound.write(rpcConn)
	<-rpcConn.DisconnectNotify()
	mesh.mu.Lock()
	delete(mesh.inbound, conn)
	mesh.mu.Unlock()
}

// Close ends all links.
func (mesh *Mesh) Close() {
	mesh.mu.Lock()
	mesh.closed = true
	links := make([]*link, 0, len(mesh.links))
	for _, link := range mesh.links {
		links = append(links, link)
	}
	for conn := range mesh.inbound {
		_ = conn.Close()
	}
	mesh.mu.Unlock()
	for _, link := range links {
		link.close()
	}
}

// ConnectedPeers returns the names of the peers with an open link.
func (mesh *Mesh) ConnectedPeers() []string {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	names := make([]string, 0, len(mesh.links))
	for name := range mesh.links {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
