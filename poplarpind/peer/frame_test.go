package peer_test

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

const hello = `{"jsonrpc":"2.0","method":"link.hello","id":1,"params":{"vm":"b","incarnation":1}}`

// frame returns a message after a length, which need not be its own.
func frame(length uint64, message string) []byte {
	return append(binary.AppendUvarint(nil, length), message...)
}

// TestFrames guards against a peer, or anybody who opens a link, whose message takes down the process: by its length, its depth or by not
// ending.
func TestFrames(t *testing.T) {
	nested := `{"jsonrpc":"2.0","method":"gather","params":` + strings.Repeat("[", 1_000_000)
	endless := `{"jsonrpc":"` + strings.Repeat("x", 64<<10) // of which nothing more follows
	frames := []struct {
		name   string
		first  []byte // before the handshake if it is not the hello
		second []byte
	}{
		{"a length of 2 GB before the handshake", frame(2<<30, endless), nil},
		{"a length of 2 GB", frame(uint64(len(hello)), hello), frame(2<<30, endless)},
		{"the largest length", frame(uint64(len(hello)), hello), frame(1<<64-1, endless)},
		{"JSON nested a million deep", frame(uint64(len(hello)), hello), frame(uint64(len(nested)), nested)},
		{"no JSON", frame(uint64(len(hello)), hello), frame(4, "what")},
	}
	for _, test := range frames {
		t.Run(test.name, func(t *testing.T) {
			address := newServer(t)
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer conn.Close()
			_, err = conn.Write(append(test.first, test.second...))
			assert.NilError(t, err)
			assertClosed(t, conn)
			assertServes(t, address)
		})
	}
	t.Run("a link without a handshake is closed", func(t *testing.T) {
		address := newServer(t)
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		assertClosed(t, conn)
	})
}

// TestCutFrame guards against a message that takes effect although its link ended within it.
func TestCutFrame(t *testing.T) {
	const message = `{"jsonrpc":"2.0","method":"gather","params":{}}`
	t.Run("to a peer", func(t *testing.T) {
		whole := frame(uint64(len(message)), message)
		for cut := range len(whole) + 1 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			receiver := &handler{}
			server := peer.New(rpc.Hello{VM: "b"}, receiver, nil)
			go server.Serve(listener)
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			_, err = conn.Write(append(frame(uint64(len(hello)), hello), whole[:cut]...))
			assert.NilError(t, err)
			assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
			assertClosed(t, conn)
			if cut == len(whole) {
				waitFor(t, "the whole message", func() bool { return receiver.notified.Load() == 1 })
			}
			server.Close()
			_ = listener.Close()
			assert.Equal(t, receiver.notified.Load() == 1, cut == len(whole), "after %q", whole[:cut])
		}
	})
	t.Run("from a peer", func(t *testing.T) {
		const greeting, reply = `{"jsonrpc":"2.0","id":0,"result":{"vm":"b","incarnation":1}}`, `{"jsonrpc":"2.0","id":1,"result":7}`
		whole := frame(uint64(len(reply)), reply)
		for cut := range len(whole) + 1 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, answer := range [][]byte{frame(uint64(len(greeting)), greeting), whole[:cut]} {
					length, _ := binary.ReadUvarint(reader)
					_, _ = io.CopyN(io.Discard, reader, int64(length))
					_, _ = conn.Write(answer)
				}
			}()
			mesh, result := peer.New(rpc.Hello{VM: "a"}, &handler{}, nil), 0
			err = mesh.Call(t.Context(), "b", listener.Addr().String(), rpc.MethodPing, nil, &result)
			assert.Equal(t, err == nil && result == 7, cut == len(whole), "after %q: %v", whole[:cut], err)
			assert.Assert(t, err != nil || result == 7)
			mesh.Close()
			_ = listener.Close()
		}
	})
}

// FuzzFrame feeds a link with arbitrary bytes after the handshake.
func FuzzFrame(f *testing.F) {
	f.Add(frame(2, "{}"))
	f.Add(frame(9, `{"id":{}}`))
	f.Add(frame(60, `{"jsonrpc":"2.0","method":"gather","params":{"query":"q"}}  `))
	f.Fuzz(func(t *testing.T, data []byte) {
		address := newServer(t)
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		_, err = conn.Write(append(frame(uint64(len(hello)), hello), data...))
		assert.NilError(t, err)
		assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
		assertClosed(t, conn)
	})
}

// failingListener fails once with an error of the system before it accepts a connection.
type failingListener struct {
	net.Listener
	failed atomic.Bool
}

func (listener *failingListener) Accept() (net.Conn, error) {
	if !listener.failed.Swap(true) {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return listener.Listener.Accept()
}

// TestAcceptErrors guards against a VM that accepts no more links after it ran out of file descriptors once.
func TestAcceptErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.New(rpc.Hello{VM: "b"}, &handler{}, nil)
	go server.Serve(&failingListener{Listener: listener})
	t.Cleanup(func() { server.Close(); _ = listener.Close() })
	assertServes(t, listener.Addr().String())
}

func newServer(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.New(rpc.Hello{VM: "b"}, &handler{}, nil)
	go server.Serve(listener)
	t.Cleanup(func() { server.Close(); _ = listener.Close() })
	return listener.Addr().String()
}

// assertServes checks that the mesh at an address accepts another link.
func assertServes(t *testing.T, address string) {
	t.Helper()
	client := peer.New(rpc.Hello{VM: "a"}, &handler{}, nil)
	defer client.Close()
	waitFor(t, "a link", func() bool {
		return client.Call(t.Context(), "b", address, rpc.MethodPing, nil, nil) == nil
	})
}

func assertClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))
	_, err := io.Copy(io.Discard, conn)
	assert.Assert(t, !isTimeout(err), "the link was not closed")
}

func isTimeout(err error) bool {
	var network net.Error
	return errors.As(err, &network) && network.Timeout()
}
