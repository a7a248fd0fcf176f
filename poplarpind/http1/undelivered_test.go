package http1

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

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
			netConn, err := net.Dial("tcp", platformtest.ListenUnread(t).Addr().String())
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
