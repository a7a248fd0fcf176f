package peer_test

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// fates records the ends of numbered messages.
type fates struct {
	handler
	mu              sync.Mutex
	unsent, arrived map[int]int
}

// numbered is a message with its number.
type numbered struct {
	Number int `json:"number"`
}

func newFates() *fates { return &fates{unsent: map[int]int{}, arrived: map[int]int{}} }

func (fates *fates) Notify(_ string, _ peer.Reply, _ string, params json.RawMessage) error {
	var message numbered
	if err := json.Unmarshal(params, &message); err != nil {
		return err
	}
	fates.mu.Lock()
	defer fates.mu.Unlock()
	fates.arrived[message.Number]++
	return nil
}

func (fates *fates) send(mesh *peer.Mesh, address string, number int) {
	mesh.Notify("b", address, peer.Message{Method: rpc.MethodBatch, Params: numbered{number}, OnUnsent: func(peer.Kind) {
		fates.mu.Lock()
		defer fates.mu.Unlock()
		fates.unsent[number]++
	}})
}

// settled reports whether each message was unsent or has arrived, or a link was lost.
func (fates *fates) settled(sender *handler, sent int) bool {
	fates.mu.Lock()
	defer fates.mu.Unlock()
	for number := range sent {
		if fates.unsent[number]+fates.arrived[number] == 0 && sender.linksLost.Load() == 0 {
			return false
		}
	}
	return true
}

// newCut returns the address of a proxy whose connections end after some bytes to the peer, which may be within a message.
func newCut(t *testing.T, peerAddress string, bytes int64) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
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
			go copyBytes(client, server, 1<<40)
			go copyBytes(server, client, bytes)
		}
	}()
	return listener.Addr().String()
}

// copyBytes copies up to a number of bytes and closes both connections.
func copyBytes(to, from net.Conn, limit int64) {
	for data := make([]byte, 64); limit > 0; {
		count, err := from.Read(data[:min(int64(len(data)), limit)])
		if err != nil {
			break
		}
		limit -= int64(count)
		if _, err := to.Write(data[:count]); err != nil {
			break
		}
	}
	_, _ = to.Close(), from.Close()
}

// TestUnsentNeverArrives guards against a message that arrives although it was reported as unsent, so that its call is made once more by another VM, and
// against one whose end is not reported at all.
func TestUnsentNeverArrives(t *testing.T) {
	const rounds, messages = 150, 12
	random := rand.New(rand.NewPCG(1, 1))
	for range rounds {
		receiver, sender := newFates(), &handler{}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := peer.New(rpc.Hello{VM: "b"}, receiver, nil)
		go server.Serve(listener)
		mesh := peer.New(rpc.Hello{VM: "a"}, sender, nil)
		addresses := []string{newCut(t, listener.Addr().String(), 200+random.Int64N(1500)), newCut(t, listener.Addr().String(), 200+random.Int64N(1500))}
		pauses, replaced := make([]time.Duration, messages), 1+random.IntN(messages)
		for i := range pauses {
			pauses[i] = time.Duration(random.IntN(400)) * time.Microsecond
		}
		for number, pause := range pauses {
			address := addresses[0]
			if number >= replaced { // the peer has moved, the link to its former address is closed
				address = addresses[1]
			}
			receiver.send(mesh, address, number)
			time.Sleep(pause)
		}
		waitFor(t, "the fate of each message", func() bool { return receiver.settled(sender, messages) })
		mesh.Close()
		receiver.mu.Lock()
		for number := range messages {
			assert.Assert(t, receiver.unsent[number]+receiver.arrived[number] <= 1, "message %d: unsent %d times, arrived %d times", number,
				receiver.unsent[number], receiver.arrived[number])
		}
		receiver.mu.Unlock()
		server.Close()
		_ = listener.Close()
	}
}

// TestMessageOnClosingLink guards against a message whose end nobody reports, as its link is closed just before it is sent: its caller waits in vain.
func TestMessageOnClosingLink(t *testing.T) {
	mesh, sender, receiver, former := newPair(t, false)
	moved := newProxy(t, former.peerAddress)
	unsent := make(chan peer.Kind, 1)
	mesh.Notify("b", former.listener.Addr().String(), peer.Message{Method: rpc.MethodBatch, OnUnsent: func(kind peer.Kind) { unsent <- kind },
		Build: func() (any, bool) {
			notify(mesh, moved) // closes the link to the former address
			waitFor(t, "the end of the link", func() bool { return former.ended.Load() })
			return struct{}{}, true
		}})
	waitFor(t, "the end of the message", func() bool { return len(unsent) == 1 || sender.linksLost.Load() > 0 })
	waitFor(t, "the message to the other address", func() bool { return receiver.notified.Load() == 1 })
}
