package gateway

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRequestAcrossOwnClose guards against calls to targets for a request that was read while a stop closed its connection.
func TestRequestAcrossOwnClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()
	served, err := listener.Accept()
	assert.NilError(t, err)
	ctx := withClientConn(context.Background(), served)
	assert.Assert(t, !nextClient(ctx).left)
	assert.NilError(t, served.Close())
	assert.Assert(t, nextClient(ctx).left)
}
