package peer

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// dialUnread returns a link to a listener with a small receive buffer that reads nothing, or everything.
func dialUnread(t *testing.T, reads bool) *link {
	t.Helper()
	listener := platformtest.ListenUnread(t)
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetWriteBuffer(1<<20))
	other, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = other.Close() })
	if reads {
		go func() { _, _ = io.Copy(io.Discard, other) }()
	}
	return &link{mesh: &Mesh{}, conn: conn, undeliveredFrom: allDelivered}
}

// send writes a message of some length to the link and returns its delivery.
func (link *link) send(t *testing.T, length int) Delivery {
	t.Helper()
	delivery := Delivery{link, link.writes.begun.Load()}
	_, err := countingConn{link.conn, &link.writes}.Write(make([]byte, length))
	assert.NilError(t, err)
	return delivery
}

// TestDelivery guards against messages that are taken for undelivered because this process has not read the peer's replies, so that the calls
// they ask for are made twice, and against messages that count although they did not arrive.
func TestDelivery(t *testing.T) {
	const long = 256 << 10 // more than the listener accepts without reading
	t.Run("messages that the peer's machine has acknowledged are delivered", func(t *testing.T) {
		link := dialUnread(t, true)
		first, second := link.send(t, long), link.send(t, 100)
		link.checkDelivery()
		assert.Assert(t, !first.Undelivered() && !second.Undelivered())
		assert.Assert(t, !link.send(t, 100).Undelivered(), "the check tells nothing of later messages")
	})
	t.Run("messages of which it has acknowledged nothing are not", func(t *testing.T) {
		link := dialUnread(t, false)
		first, second := link.send(t, long), link.send(t, 100)
		link.checkDelivery()
		assert.Assert(t, !first.Undelivered(), "a part has arrived")
		assert.Assert(t, second.Undelivered())
		assert.Assert(t, link.send(t, 100).Undelivered(), "it follows one that is undelivered")
	})
	t.Run("a link without a check shows nothing", func(t *testing.T) {
		link := dialUnread(t, false)
		link.send(t, long)
		assert.Assert(t, !link.send(t, 100).Undelivered())
		assert.Assert(t, !Delivery{}.Undelivered())
	})
	t.Run("nor one whose check was long ago", func(t *testing.T) {
		link := dialUnread(t, false)
		link.send(t, long)
		second := link.send(t, 100)
		link.checkDelivery()
		link.checkedAt = link.checkedAt.Add(-2 * maxCheckAge)
		assert.Assert(t, !second.Undelivered())
	})
	t.Run("a write that returns after the check has begun shows nothing", func(t *testing.T) {
		link := dialUnread(t, false)
		link.writes.begun.Add(long)
		later := Delivery{link, link.writes.begun.Load()}
		written := make(chan error, 1)
		go func() {
			time.Sleep(20 * time.Millisecond)
			_, err := link.conn.Write(make([]byte, long))
			written <- err
		}()
		link.checkDelivery()
		assert.NilError(t, <-written)
		assert.Assert(t, !later.Undelivered())
	})
	t.Run("nor one on which a reply has come since", func(t *testing.T) {
		link := dialUnread(t, false)
		link.send(t, long)
		second := link.send(t, 100)
		link.checkDelivery()
		link.markReceived()
		assert.Assert(t, !second.Undelivered())
	})
	t.Run("a link with TLS shows nothing", func(t *testing.T) {
		link := dialUnread(t, false)
		link.send(t, long)
		second := link.send(t, 100)
		link.conn = struct{ net.Conn }{link.conn}
		link.checkDelivery()
		assert.Assert(t, !second.Undelivered())
	})
}
