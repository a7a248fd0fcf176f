package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"

	"github.com/sourcegraph/jsonrpc2"

	"poplarpin.dev/core/rpc"
)

// inbound handles the messages of one link that a peer opened.
type inbound struct {
	mesh    *Mesh
	conn    net.Conn
	from    string
	replies chan message
}

// reply sends a notification back on the link; one that does not fit any more ends the link, which tells the peer.
func (inbound *inbound) reply(method string, params any) {
	select {
	case inbound.replies <- message{method: method, params: params}:
	default:
		_ = inbound.conn.Close()
	}
}

// write sends the replies until the link ends.
func (inbound *inbound) write(conn *jsonrpc2.Conn) {
	for {
		select {
		case message := <-inbound.replies:
			sentMessages.Add(message.method, 1)
			if conn.Notify(context.Background(), message.method, message.params) != nil {
				_ = conn.Close()
				return
			}
		case <-conn.DisconnectNotify():
			return
		}
	}
}

// Handle implements jsonrpc2.Handler; messages of one link are handled in their order.
func (inbound *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if inbound.from == "" {
		inbound.greet(ctx, conn, request, params)
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
	go inbound.answer(ctx, conn, request, params)
}

func (inbound *inbound) answer(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	result, err := inbound.mesh.handler.Call(ctx, inbound.from, request.Method, params)
	if err != nil {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
		return
	}
	_ = conn.Reply(ctx, request.ID, result)
}

// greet expects the peer's name first and checks it against its certificate.
func (inbound *inbound) greet(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request, params json.RawMessage) {
	var hello rpc.Hello
	if request.Method != rpc.MethodHello || json.Unmarshal(params, &hello) != nil || hello.VM == "" || !certified(inbound.conn, hello.VM) {
		_ = conn.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "not a member"})
		_ = conn.Close()
		return
	}
	inbound.from = hello.VM
	_ = conn.Reply(ctx, request.ID, inbound.mesh.self)
}

// certified reports whether the certificate at the other end carries a VM's name; connections without TLS have none.
func certified(conn net.Conn, name string) bool {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return true
	}
	certificates := secured.ConnectionState().PeerCertificates
	return len(certificates) > 0 && slices.Contains(certificates[0].DNSNames, name)
}

// replies handles what a peer sends back on a link that this VM opened.
type replies struct{ link *link }

// Handle implements jsonrpc2.Handler.
func (replies replies) Handle(_ context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	replies.link.hear()
	if !request.Notif || request.Params == nil {
		return
	}
	if err := replies.link.mesh.handler.Notify(replies.link.name, nil, request.Method, *request.Params); err != nil {
		_ = conn.Close()
	}
}
