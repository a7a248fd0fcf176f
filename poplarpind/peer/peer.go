package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
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
	"poplarpin.dev/poplarpind/tcp"
)

const (
	dialTimeout  = 300 * time.Millisecond // opening a link takes this time at most
	pingInterval = 150 * time.Millisecond // all links are checked this often; links with awaited replies or prompt messages are pinged at each check
	pingTimeout  = 350 * time.Millisecond // a link is given up if a ping or a write takes longer
	probeAfter   = time.Second            // a link is pinged this long after a message if nothing was received since, even without awaited replies
	idleTimeout  = 2 * time.Minute        // a link without messages is closed after this time
	// A peer says its name as soon as the link is open, but a VM with a fraction of a core may be slow at it after its start.
	handshakeTimeout = 2 * time.Second
	acceptBackoff    = 50 * time.Millisecond  // no link is accepted for this time after a failure, for instance for lack of file descriptors
	redialBackoff    = 400 * time.Millisecond // no link to a peer is opened for this time after a failure
	queueLength      = 8192                   // at most this many messages wait for one link
)

// Kind classifies an Error.
type Kind string

// The kinds of errors. Their text appears in log lines and is kept, even where it differs from the constant's name.
const (
	Unreachable Kind = "unreachable" // no link; nothing was sent
	Incapable   Kind = "incapable"   // the peer's build lacks the capability that the message needs; nothing was sent
	Broken      Kind = "broken"      // the link was lost; the message may have arrived
	Rejected    Kind = "unwelcome"   // the peer or its message is not accepted
)

// Error reports why a message was not delivered, or may not have been.
type Error struct {
	Op     string
	Kind   Kind
	Detail string
}

// Error implements error.
func (err *Error) Error() string { return err.Op + ": " + string(err.Kind) + ": " + err.Detail }

// discardLog suppresses the library's log of closed links, which are reported to the handler.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

var (
	sentMessages = expvar.NewMap("peerMessages")
	sentBytes    = expvar.NewInt("peerBytesSent")
	linksLost    = expvar.NewInt("peerLinksLost")
	acceptErrors = expvar.NewInt("peerAcceptErrors")
)

// Reply sends a notification back on the link on which a message arrived. It is nil for messages that are replies themselves.
type Reply func(method string, params any)

// Handler handles the messages of peers; it must not block.
type Handler interface {
	Greeted(hello rpc.Hello) // a peer has named its capabilities, on a link that either side has opened
	Notify(from string, reply Reply, method string, params json.RawMessage) error
	Call(ctx context.Context, from string, method string, params json.RawMessage) (any, error)
	LinkDown(name string) // a link on which messages were sent has been closed
	// AwaitsReply reports whether replies of a peer are outstanding, so that its silence must be detected soon.
	AwaitsReply(name string) bool
}

// Mesh holds the links of one VM.
type Mesh struct {
	self     rpc.Hello
	handler  Handler
	client   *tls.Config // nil for plain TCP
	mu       sync.Mutex
	links    map[string]*link     // by peer name
	failedAt map[string]time.Time // by peer name; when its last link failed
	closed   bool
	inbound  map[net.Conn]bool
	loopback tcp.Loopback // for checks of links
}

// New returns a mesh without links. If client is set, links are opened with TLS.
func New(self rpc.Hello, handler Handler, client *tls.Config) *Mesh {
	mesh := &Mesh{self: self, handler: handler, client: client, links: map[string]*link{},
		failedAt: map[string]time.Time{}, inbound: map[net.Conn]bool{}}
	go mesh.checkLinks()
	return mesh
}

// Reachable reports whether no link to a peer has failed within the redial backoff.
func (mesh *Mesh) Reachable(name string) bool {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	return time.Since(mesh.failedAt[name]) > redialBackoff
}

// Message is a notification to a peer. Params that need capabilities have a method Needs, and go only to peers that have them.
type Message struct {
	Method   string
	Params   any
	Build    func() (params any, wanted bool) // called instead of Params when the message is about to be sent; nil if Params does not age
	Prompt   bool                             // it must arrive soon or not at all, so that the silence of the link is to be noticed soon after it
	OnSend   func(Delivery)                   // called before the message is sent; nil if that does not matter
	OnUnsent func(Kind)                       // called if the message was certainly not sent, with the reason; nil if that does not matter
}

// params returns the params to be sent, and reports whether the message is still wanted.
func (message Message) params() (any, bool) {
	if message.Build == nil {
		return message.Params, true
	}
	return message.Build()
}

// capabilitiesFor returns the capabilities that a receiver of the params needs.
func capabilitiesFor(params any) []rpc.Capability {
	if demanding, ok := params.(interface{ Needs() []rpc.Capability }); ok {
		return demanding.Needs()
	}
	return nil
}

func (message Message) sent(delivery Delivery) {
	if message.OnSend != nil {
		message.OnSend(delivery)
	}
}

func (message Message) unsent(kind Kind) {
	if message.OnUnsent != nil {
		message.OnUnsent(kind)
	}
}

// Notify sends a notification.
func (mesh *Mesh) Notify(name, address string, message Message) {
	link := mesh.link(name, address)
	if link == nil {
		message.unsent(Unreachable)
		return
	}
	if !link.enqueue(message) {
		link.close()
		message.unsent(Unreachable)
	}
}

// Call sends a request and waits for its response.
func (mesh *Mesh) Call(ctx context.Context, name, address, method string, params, result any) error {
	link := mesh.link(name, address)
	if link == nil {
		return &Error{method, Unreachable, name + " is in redial backoff after a failed link"}
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
	if !link.markSent(false) {
		return &Error{method, Unreachable, "the link to " + name + " was closed"}
	}
	if err := link.rpc.Call(ctx, method, params, result); err != nil {
		return &Error{method, Broken, err.Error()}
	}
	link.markReceived()
	return nil
}

// link returns the link to a peer at an address and opens one if there is none; a link to another address of the peer is closed. It
// returns nil during the redial backoff and once the mesh is closed.
func (mesh *Mesh) link(name, address string) *link {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if existing, ok := mesh.links[name]; ok && existing.address == address {
		return existing
	}
	if mesh.closed || time.Since(mesh.failedAt[name]) <= redialBackoff {
		return nil
	}
	created := &link{mesh: mesh, name: name, address: address, queue: make(chan Message, queueLength),
		ready: make(chan struct{}), done: make(chan struct{}), lastSent: time.Now(), undeliveredFrom: allDelivered}
	if existing := mesh.links[name]; existing != nil {
		go existing.close() // which locks the mesh
	}
	mesh.links[name] = created
	go created.run()
	return created
}

func (mesh *Mesh) dial(address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if mesh.client == nil {
		return dialer.Dial("tcp", address)
	}
	return tls.DialWithDialer(dialer, "tcp", address, mesh.client)
}

// checkLinks checks all links at each pingInterval until the mesh is closed.
func (mesh *Mesh) checkLinks() {
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

// remove removes a closed link and starts the redial backoff, unless the link was idle or another has replaced it.
func (mesh *Mesh) remove(link *link) {
	mesh.mu.Lock()
	defer mesh.mu.Unlock()
	if mesh.links[link.name] != link {
		return
	}
	delete(mesh.links, link.name)
	if link.idle() < idleTimeout {
		mesh.failedAt[link.name] = time.Now()
	}
}

// Serve accepts the links that peers open until the listener is closed.
func (mesh *Mesh) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			acceptErrors.Add(1)
			time.Sleep(acceptBackoff)
			continue
		}
		mesh.mu.Lock()
		mesh.inbound[conn] = true
		mesh.mu.Unlock()
		go mesh.serve(conn)
	}
}

func (mesh *Mesh) serve(conn net.Conn) {
	codec := newFrameCodec()
	stream := jsonrpc2.NewBufferedStream(countingConn{conn, new(writeCounts)}, codec)
	_ = conn.SetReadDeadline(time.Now().Add(handshakeTimeout)) // fails only on a closed connection
	inbound := &inbound{mesh: mesh, conn: conn, codec: codec}
	rpcConn := jsonrpc2.NewConn(context.Background(), stream, inbound, discardLog)
	<-rpcConn.DisconnectNotify()
	mesh.mu.Lock()
	delete(mesh.inbound, conn)
	mesh.mu.Unlock()
}

// Close closes all links.
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

// ConnectedPeers returns the names of the peers with a link, including links that are still being opened.
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
