package http1

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listenUnread returns the address of a listener that accepts connections and reads nothing from them. Its receive buffers are small.
func listenUnread(t *testing.T) string {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		return conn.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// TestUndelivered guards against calls that are taken for undelivered because this process has not read their responses, and against calls that wait
// for machines that do not receive them.
func TestUndelivered(t *testing.T) {
	for _, test := range []struct {
		name    string
		before  int // bytes on the connection before the call; more than the listener's machine accepts leaves the call unacknowledged
		written time.Duration
		ends    bool
	}{
		{name: "a call that the target's machine has not acknowledged", before: 256 << 10, written: time.Hour, ends: true},
		{name: "a call that it has acknowledged", written: time.Hour},
		{name: "a call that was written too late to tell", before: 256 << 10, written: -time.Hour},
	} {
		t.Run(test.name, func(t *testing.T) {
			netConn, err := net.Dial("tcp", listenUnread(t))
			assert.NilError(t, err)
			defer netConn.Close()
			assert.NilError(t, netConn.(*net.TCPConn).SetWriteBuffer(1<<20))
			_, err = netConn.Write(make([]byte, test.before))
			assert.NilError(t, err)
			var ended []error
			pool := New(func(string) int { return 1 }, 1<<20)
			exchange := &Exchange{pool: pool, cancel: func() {}, call: Call{
				Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
				Done:   func(_ *Response, err error) (bool, time.Duration) { ended = append(ended, err); return false, 0 },
			}}
			conn := pool.add("i-1", "", netConn)
			conn.begin(exchange)
			time.Sleep(50 * time.Millisecond) // an acknowledgement on the same machine takes far less
			exchange.EndUndelivered(time.Now().Add(test.written))
			assert.Equal(t, conn.isClosed(), test.ends)
			conn.close()
			conn.read()
			assert.Equal(t, len(ended), 1)
			assert.Equal(t, ended[0].(*Error).Kind == Undelivered, test.ends)
		})
	}
}
