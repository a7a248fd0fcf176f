package tcp_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/tcp"
)

// TestUnacknowledged guards against bytes that count as received by the other machine although it has no room for them, and the other way round.
func TestUnacknowledged(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	other, err := listener.Accept()
	assert.NilError(t, err)
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 32<<20)) // more than both machines buffer
		written <- err
	}()
	assertUnacknowledged(t, conn, func(bytes int) bool { return bytes > 0 })
	go func() { _, _ = io.Copy(io.Discard, other) }()
	assert.NilError(t, <-written)
	assertUnacknowledged(t, conn, func(bytes int) bool { return bytes == 0 })
	pipe, _ := net.Pipe()
	_, known := tcp.Unacknowledged(pipe)
	assert.Assert(t, !known)
}

// assertUnacknowledged waits until a condition on the unacknowledged bytes of a connection holds.
func assertUnacknowledged(t *testing.T, conn net.Conn, holds func(bytes int) bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if bytes, known := tcp.Unacknowledged(conn); known && holds(bytes) {
			return
		}
	}
	t.Fatal("the condition does not hold")
}

// TestLoopback guards against round trips that never end or cannot be repeated.
func TestLoopback(t *testing.T) {
	var loopback tcp.Loopback
	for range 3 {
		assert.NilError(t, loopback.RoundTrip())
	}
}
