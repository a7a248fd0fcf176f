package http1

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAbandonedWhileOpening guards against a call that is sent although it was abandoned while its connection opened.
func TestAbandonedWhileOpening(t *testing.T) {
	client, target := net.Pipe()
	assert.NilError(t, target.Close())
	pool, sent := New(func(string) int { return 1 }, 1<<20), false
	var ended []error
	exchange := &Exchange{pool: pool, cancel: func() {}, call: Call{
		Encode: func() []byte { sent = true; return nil },
		Done: func(_ *Response, err error) (bool, time.Duration) {
			ended = append(ended, err)
			return false, 0
		},
	}}
	exchange.Abandon() // the connection is open, but the exchange does not have it yet
	conn := pool.add("i-1", "", client)
	conn.begin(exchange)
	conn.read()
	assert.Assert(t, !sent)
	assert.Equal(t, len(ended), 1)
	assert.Equal(t, ended[0].(*Error).Kind, Abandoned)
}
