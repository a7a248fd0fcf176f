package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/conns"
)

// inbound handles the messages on a link that a peer has opened.
type inbound struct {
	mesh    *Mesh
	conn    net.Conn
	codec   *frameCodec
	from    string       // the peer's name; empty until the handshake
	replies chan Message // nil until the handshake
}

// reply queues a notification to the peer. If the queue is full it closes the link, by which the peer learns of the loss.
func (inbound *inbound) reply(method string, params any) {
	select {
	case inbound.replies <- Message{Method: method, Params: params}:
	default:
		_ = inbound.conn.Close()
	}
}

// writeReplies sends the queued replies until the link is closed.
func (inbound *inbound) writeReplies(conn *jsonrpc2.Conn) {
	for {
		select {
		case message := <-inbound.replies:
			sentMessages.Add(message.Method, 1)
			if conn.Notify(context.Background(), message.Method, message.Params) != nil {
				_ = conn.Close()
				return
			}
		case <-conn.DisconnectNotify():
			return
		}
	}
}

// Handle implements jsonrpc2.Handler. It handles notifications in their order and runs calls concurrently.
func (inbound *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if inbound.from == "" {
		inbound.handshake(ctx, conn, request, params)
		return
	}
	if request.Notif {
		if err := inbound.mesh.handler.Notify(inbound.from, inbound.reply, request.Method, params); err != nil {
			_ = conn.Close()
		}
		return
	}
	if request.Method == rpc.MethodPing {
		_ = conn.Reply(ctx, request.ID, nil)
		return
	}
	go inbound.replyToCall(ctx, conn, request, params)
}

func (inbound *inbound) replyToCall(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	result, err := inbound.mesh.handler.Call(ctx, inbound.from, request.Method, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

// handshake requires the first message to state the peer's name and checks the name against the peer's certificate.
func (inbound *inbound) handshake(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var hello rpc.Hello
	if request.Method != rpc.MethodHello || json.Unmarshal(params, &hello) != nil || hello.Validate() != nil || !certifiedAs(inbound.conn, hello.VM) {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not a member"})
		_ = conn.Close()
		return
	}
	inbound.from = hello.VM
	if guarded := conns.Of(inbound.conn); guarded != nil {
		guarded.Identified()
	}
	inbound.replies = make(chan Message, queueLength)
	go inbound.writeReplies(conn)
	inbound.codec.handshakeComplete()
	_ = inbound.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	inbound.mesh.handler.Greeted(hello)
	_ = conn.Reply(ctx, request.ID, inbound.mesh.self)
}

// certifiedAs reports whether the remote certificate is issued for a VM's name; it is true without TLS.
func certifiedAs(conn net.Conn, name string) bool {
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certificates := tlsConn.ConnectionState().PeerCertificates
	return len(certificates) > 0 && slices.Contains(certificates[0].DNSNames, name)
}

// replyHandler handles the notifications that a peer sends back on a link that this VM has opened.
type replyHandler struct{ link *link }

// Handle implements jsonrpc2.Handler.
func (replyHandler replyHandler) Handle(_ context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	replyHandler.link.markReceived()
	if !request.Notif || request.Params == nil {
		return
	}
	if err := replyHandler.link.mesh.handler.Notify(replyHandler.link.name, nil, request.Method, *request.Params); err != nil {
		_ = conn.Close()
	}
}
