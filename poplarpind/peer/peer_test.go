package peer_test

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

const patience = 20 * time.Second // for conditions that are waited for; no verdict depends on how long they take

// handler counts what it is told, and answers notifications if set.
type handler struct {
	told    atomic.Int64
	lost    atomic.Int64
	awaits  atomic.Bool
	answers bool
}

func (handler *handler) Notify(_ string, reply peer.Reply, method string, _ json.RawMessage) error {
	handler.told.Add(1)
	if reply != nil && handler.answers {
		reply(method, struct{}{})
	}
	return nil
}

func (handler *handler) Call(context.Context, string, string, json.RawMessage) (any, error) {
	return nil, nil
}

func (handler *handler) LinkDown(string) { handler.lost.Add(1) }

func (handler *handler) AwaitsReply(string) bool { return handler.awaits.Load() }

// relay passes bytes on between a mesh and a peer, counts those to the peer, and can fall silent without ending anything.
type relay struct {
	listener net.Listener
	target   string
	bytes    atomic.Int64
	silent   atomic.Bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	relay := &relay{listener: listener, target: target}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go relay.pass(client, server, true)
			go relay.pass(server, client, false)
		}
	}()
	return relay
}

func (relay *relay) pass(from, to net.Conn, counted bool) {
	data := make([]byte, 4096)
	for {
		count, err := from.Read(data)
		if err != nil {
			_, _ = from.Close(), to.Close()
			return
		}
		if counted {
			relay.bytes.Add(int64(count))
		}
		if !relay.silent.Load() {
			if _, err := to.Write(data[:count]); err != nil {
				return
			}
		}
	}
}

// pair returns a mesh, its handler, the handler of a peer and the relay between them.
func pair(t *testing.T, answers bool) (*peer.Mesh, *handler, *handler, *relay) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	asking, asked := &handler{}, &handler{answers: answers}
	server := peer.New(rpc.Hello{VM: "b"}, asked, nil)
	go server.Serve(listener)
	mesh := peer.New(rpc.Hello{VM: "a"}, asking, nil)
	t.Cleanup(func() { mesh.Close(); server.Close(); _ = listener.Close() })
	return mesh, asking, asked, newRelay(t, listener.Addr().String())
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("waited in vain: %s", what)
}

func tell(mesh *peer.Mesh, relay *relay) {
	mesh.Notify("b", relay.listener.Addr().String(), rpc.MethodGather, struct{}{}, func() {})
}

func TestSilence(t *testing.T) {
	t.Run("a link is given up while answers are awaited", func(t *testing.T) {
		mesh, asking, asked, relay := pair(t, false)
		tell(mesh, relay)
		waitFor(t, "the message", func() bool { return asked.told.Load() == 1 })
		relay.silent.Store(true)
		asking.awaits.Store(true)
		waitFor(t, "the end of the link", func() bool { return asking.lost.Load() == 1 })
	})
	t.Run("and after a message that nothing came back to", func(t *testing.T) {
		mesh, asking, asked, relay := pair(t, false)
		tell(mesh, relay)
		waitFor(t, "the message", func() bool { return asked.told.Load() == 1 })
		relay.silent.Store(true)
		tell(mesh, relay)
		waitFor(t, "the end of the link", func() bool { return asking.lost.Load() == 1 })
	})
	t.Run("a link on which all was answered costs nothing", func(t *testing.T) {
		mesh, asking, _, relay := pair(t, true)
		tell(mesh, relay)
		waitFor(t, "the answer", func() bool { return asking.told.Load() == 1 })
		before := relay.bytes.Load()
		time.Sleep(2 * time.Second) // long enough for a dozen pings, of which none may come
		assert.Equal(t, relay.bytes.Load(), before)
		assert.Equal(t, asking.lost.Load(), int64(0))
	})
}
