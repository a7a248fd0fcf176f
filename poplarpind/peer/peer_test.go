package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

const waitLimit = 20 * time.Second // for an expected condition; no result depends on how long it takes

// handler counts notifications and lost links, and replies to notifications if replies is set.
type handler struct {
	notified    atomic.Int64
	lastMethod  atomic.Value // of a notification
	linksLost   atomic.Int64
	firstLost   atomic.Pointer[string]    // name of the peer whose link was lost first
	greeting    atomic.Pointer[rpc.Hello] // the last one
	awaitsReply atomic.Bool
	replies     bool
}

func (handler *handler) Notify(_ string, reply peer.Reply, method string, _ json.RawMessage) error {
	handler.notified.Add(1)
	handler.lastMethod.Store(method)
	if reply != nil && handler.replies {
		reply(method, struct{}{})
	}
	return nil
}

func (handler *handler) Call(context.Context, string, string, json.RawMessage) (any, error) {
	return nil, nil
}

func (handler *handler) Greeted(hello rpc.Hello) { handler.greeting.Store(&hello) }

func (handler *handler) LinkDown(name string) {
	handler.firstLost.CompareAndSwap(nil, &name)
	handler.linksLost.Add(1)
}

func (handler *handler) AwaitsReply(string) bool { return handler.awaitsReply.Load() }

// proxy forwards bytes between a mesh and a peer and counts those to the peer. While silent, it drops all bytes but keeps the
// connections open.
type proxy struct {
	listener    net.Listener
	peerAddress string
	bytesToPeer atomic.Int64
	silent      atomic.Bool
	ended       atomic.Bool // one of the connections has ended
}

func newProxy(t *testing.T, peerAddress string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	proxy := &proxy{listener: listener, peerAddress: peerAddress}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", peerAddress)
			if err != nil {
				return
			}
			go proxy.forward(client, server, true)
			go proxy.forward(server, client, false)
		}
	}()
	return proxy
}

func (proxy *proxy) forward(from, to net.Conn, counted bool) {
	data := make([]byte, 4096)
	for {
		count, err := from.Read(data)
		if err != nil {
			proxy.ended.Store(true)
			_, _ = from.Close(), to.Close()
			return
		}
		if counted {
			proxy.bytesToPeer.Add(int64(count))
		}
		if !proxy.silent.Load() {
			if _, err := to.Write(data[:count]); err != nil {
				return
			}
		}
	}
}

// newPair returns a mesh, its handler, the handler of a peer and the proxy between the two.
func newPair(t *testing.T, replies bool) (*peer.Mesh, *handler, *handler, *proxy) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	sender, receiver := &handler{}, &handler{replies: replies}
	server := peer.New(rpc.Hello{VM: "b"}, receiver, nil)
	go server.Serve(listener)
	mesh := peer.New(rpc.Hello{VM: "a"}, sender, nil)
	t.Cleanup(func() { mesh.Close(); server.Close(); _ = listener.Close() })
	return mesh, sender, receiver, newProxy(t, listener.Addr().String())
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

func notify(mesh *peer.Mesh, proxy *proxy) {
	mesh.Notify("b", proxy.listener.Addr().String(), peer.Message{Method: rpc.MethodGather, Params: struct{}{}})
}

// TestSilence guards against links that fail without being closed, as when a VM loses power: the replies awaited on them never
// come. It also checks that a link without outstanding replies carries no pings.
func TestSilence(t *testing.T) {
	t.Run("a silent link is closed while replies are awaited", func(t *testing.T) {
		mesh, sender, receiver, proxy := newPair(t, false)
		notify(mesh, proxy)
		waitFor(t, "the message", func() bool { return receiver.notified.Load() == 1 })
		proxy.silent.Store(true)
		sender.awaitsReply.Store(true)
		waitFor(t, "the end of the link", func() bool { return sender.linksLost.Load() == 1 })
	})
	t.Run("a silent link is closed after a message without any reply", func(t *testing.T) {
		mesh, sender, receiver, proxy := newPair(t, false)
		notify(mesh, proxy)
		waitFor(t, "the message", func() bool { return receiver.notified.Load() == 1 })
		proxy.silent.Store(true)
		notify(mesh, proxy)
		waitFor(t, "the end of the link", func() bool { return sender.linksLost.Load() == 1 })
	})
	t.Run("a silent link is closed although messages without a reply are sent on it all the time", func(t *testing.T) {
		mesh, sender, receiver, proxy := newPair(t, false)
		notify(mesh, proxy)
		waitFor(t, "the message", func() bool { return receiver.notified.Load() == 1 })
		proxy.silent.Store(true)
		waitFor(t, "the end of the link", func() bool {
			notify(mesh, proxy)
			return sender.linksLost.Load() > 0
		})
	})
	t.Run("a link whose messages were answered is not pinged", func(t *testing.T) {
		mesh, sender, _, proxy := newPair(t, true)
		notify(mesh, proxy)
		waitFor(t, "the reply", func() bool { return sender.notified.Load() == 1 })
		before := proxy.bytesToPeer.Load()
		time.Sleep(2 * time.Second) // long enough for a dozen pings, none of which may be sent
		assert.Equal(t, proxy.bytesToPeer.Load(), before)
		assert.Equal(t, sender.linksLost.Load(), int64(0))
	})
}

// slowHello answers the handshake of a link only once it is released.
type slowHello struct {
	asked   chan struct{}
	release chan struct{}
}

func (slowHello slowHello) Handle(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) {
	close(slowHello.asked)
	<-slowHello.release
	_ = conn.Reply(ctx, request.ID, rpc.Hello{VM: "b"})
}

// TestLinkEnds guards against connections that outlive their link and against messages that are neither sent nor reported as unsent:
// the request that waits for them would wait until its deadline.
func TestLinkEnds(t *testing.T) {
	t.Run("a link closed while it opens closes its connection", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		mesh := peer.New(rpc.Hello{VM: "a"}, &handler{}, nil)
		mesh.Notify("b", listener.Addr().String(), peer.Message{Method: rpc.MethodGather, Params: struct{}{}})
		conn, err := listener.Accept()
		assert.NilError(t, err)
		hello := slowHello{asked: make(chan struct{}), release: make(chan struct{})}
		server := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, jsonrpc2.VarintObjectCodec{}), hello)
		<-hello.asked
		mesh.Close()
		close(hello.release)
		select {
		case <-server.DisconnectNotify():
		case <-time.After(waitLimit):
			t.Fatal("the connection stayed open")
		}
	})
	t.Run("a link to another address replaces the old one", func(t *testing.T) {
		mesh, sender, receiver, first := newPair(t, false)
		second := newProxy(t, first.peerAddress)
		notify(mesh, first)
		waitFor(t, "the first message", func() bool { return receiver.notified.Load() == 1 })
		notify(mesh, second)
		waitFor(t, "the second message", func() bool { return receiver.notified.Load() == 2 })
		waitFor(t, "the end of the old link", func() bool { return sender.linksLost.Load() == 1 })
		assert.Assert(t, mesh.Reachable("b"))
	})
	t.Run("every message to a peer that cannot be reached is reported as unsent", func(t *testing.T) {
		mesh, _, _, proxy := newPair(t, false)
		_ = proxy.listener.Close()
		const senders, messages = 20, 200
		var unsent atomic.Int64
		for range senders {
			go func() {
				for range messages {
					mesh.Notify("b", proxy.listener.Addr().String(), peer.Message{Method: rpc.MethodGather, Params: struct{}{}, OnUnsent: func(peer.Kind) { unsent.Add(1) }})
				}
			}()
		}
		waitFor(t, "the reports", func() bool { return unsent.Load() == senders*messages })
	})
}

// TestCapabilities guards against a message to a VM whose build does not understand it.
func TestCapabilities(t *testing.T) {
	named := rpc.Gather{Targets: []string{"i-1"}}
	for name, test := range map[string]struct {
		peer   []rpc.Capability
		params any
		sent   bool
	}{
		"an older build gets messages that all builds understand": {params: rpc.Gather{}, sent: true},
		"an older build does not get a newer message":             {params: named},
		"a build that understands a message gets it":              {peer: []rpc.Capability{rpc.NamedTargets}, params: named, sent: true},
		"an unknown capability does not stand for another":        {peer: []rpc.Capability{"later"}, params: named},
		"a request that runs once is a newer message":             {params: rpc.Gather{Once: true}},
		"a message without capabilities goes to all builds":       {params: struct{}{}, sent: true},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			receiver, sender := &handler{}, &handler{}
			server := peer.New(rpc.Hello{VM: "b", Capabilities: test.peer}, receiver, nil)
			go server.Serve(listener)
			client := peer.New(rpc.Hello{VM: "a", Build: "1", Capabilities: rpc.OwnCapabilities()}, sender, nil)
			t.Cleanup(func() { client.Close(); server.Close(); _ = listener.Close() })
			var unsent atomic.Pointer[peer.Kind]
			client.Notify("b", listener.Addr().String(), peer.Message{Method: rpc.MethodGather, Params: test.params,
				OnUnsent: func(kind peer.Kind) { unsent.Store(&kind) }})
			waitFor(t, "the end of the message", func() bool { return receiver.notified.Load() > 0 || unsent.Load() != nil })
			assert.Equal(t, unsent.Load() == nil, test.sent)
			if !test.sent {
				assert.Equal(t, *unsent.Load(), peer.Incapable)
			}
			assert.DeepEqual(t, sender.greeting.Load().Capabilities, test.peer)
			assert.DeepEqual(t, receiver.greeting.Load(), &rpc.Hello{VM: "a", Build: "1", Capabilities: rpc.OwnCapabilities()})
		})
	}
}

// TestPromptMessage guards against a message that lies on a silent link until its reason is gone, and is then delivered: nobody awaits the reply
// any more, so that the silence counts for little.
func TestPromptMessage(t *testing.T) {
	sender := &handler{}
	mesh := peer.New(rpc.Hello{VM: "a"}, sender, nil)
	t.Cleanup(mesh.Close)
	for _, name := range []string{"b", "c"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		receiver := &handler{}
		server := peer.New(rpc.Hello{VM: name}, receiver, nil)
		go server.Serve(listener)
		t.Cleanup(func() { server.Close(); _ = listener.Close() })
		proxy := newProxy(t, listener.Addr().String())
		message := peer.Message{Method: rpc.MethodGather, Params: struct{}{}, Prompt: name == "c"}
		mesh.Notify(name, proxy.listener.Addr().String(), message)
		waitFor(t, "the message", func() bool { return receiver.notified.Load() == 1 })
		proxy.silent.Store(true)
		mesh.Notify(name, proxy.listener.Addr().String(), message)
		time.Sleep(300 * time.Millisecond) // by which the link to b falls silent first
	}
	waitFor(t, "the end of a link", func() bool { return sender.linksLost.Load() > 0 })
	assert.Equal(t, *sender.firstLost.Load(), "c")
}

// TestWithdrawnWhileOpening guards against a message that waits for its link to open and is sent although its sender has given it up.
func TestWithdrawnWhileOpening(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	receiver := &handler{}
	server := peer.New(rpc.Hello{VM: "b"}, receiver, nil)
	mesh := peer.New(rpc.Hello{VM: "a"}, &handler{}, nil)
	t.Cleanup(func() { mesh.Close(); server.Close(); _ = listener.Close() })
	var withdrawn atomic.Bool
	var ended atomic.Int64 // messages that were certainly not sent
	notify := func(method string, build func() (any, bool)) {
		mesh.Notify("b", listener.Addr().String(), peer.Message{Method: method, Build: build, OnUnsent: func(peer.Kind) { ended.Add(1) }})
	}
	notify(rpc.MethodGather, func() (any, bool) { return struct{}{}, !withdrawn.Load() })
	notify(rpc.MethodGatherCancel, func() (any, bool) { return struct{}{}, true })
	withdrawn.Store(true)
	go server.Serve(listener) // until now the link could not open
	waitFor(t, "the end of the second message", func() bool { return receiver.lastMethod.Load() == rpc.MethodGatherCancel || ended.Load() > 0 })
	assert.Assert(t, receiver.notified.Load() <= 1)
}

// TestClosedBeforeSending guards against a message that nobody hears of again, as its link closes after it has left the queue and before it is sent.
func TestClosedBeforeSending(t *testing.T) {
	mesh, handler, receiver, proxy := newPair(t, false)
	var unsent atomic.Int64
	mesh.Notify("b", proxy.listener.Addr().String(), peer.Message{
		Method: rpc.MethodGather,
		Build: func() (any, bool) {
			mesh.Close()
			return struct{}{}, true
		},
		OnUnsent: func(peer.Kind) { unsent.Add(1) },
	})
	waitFor(t, "the end of the message", func() bool { return unsent.Load()+handler.linksLost.Load() > 0 })
	assert.Equal(t, unsent.Load(), int64(1))
	assert.Equal(t, handler.linksLost.Load(), int64(0), "no message was sent on the link")
	assert.Equal(t, receiver.notified.Load(), int64(0))
}
