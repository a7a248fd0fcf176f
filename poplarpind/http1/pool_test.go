package http1_test

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpind/http1"
)

// serve answers each request on each connection with some bytes; nil closes the connection.
func serve(t *testing.T, answer func(connection, request int) []byte) (address string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go handle(conn, int(connections.Add(1)), answer)
		}
	}()
	return listener.Addr().String(), connections
}

func handle(conn net.Conn, connection int, answer func(connection, request int) []byte) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for request := 1; ; request++ {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		bytes := answer(connection, request)
		if bytes == nil {
			return
		}
		if _, err := conn.Write(bytes); err != nil {
			return
		}
	}
}

type ended struct {
	body string
	err  error
}

// call makes one call and waits for its end.
func call(t *testing.T, pool *http1.Pool, address string, fresh bool) ended {
	t.Helper()
	result := make(chan ended, 1)
	_, err := pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", FreshConn: fresh,
		Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done: func(_ *http.Response, body []byte, err error) (bool, time.Duration) {
			result <- ended{string(body), err}
			return err == nil, 0
		}})
	assert.NilError(t, err)
	return <-result
}

func assertKind(t *testing.T, err error, want http1.Kind) {
	t.Helper()
	failure, ok := err.(*http1.Error)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, failure.Kind, want)
}

func newPool() *http1.Pool { return http1.New(func(string) int { return 2 }) }

const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestCalls(t *testing.T) {
	t.Run("a connection is used again", func(t *testing.T) {
		address, connections := serve(t, func(int, int) []byte { return []byte(sound) })
		pool := newPool()
		for range 5 {
			assert.Equal(t, call(t, pool, address, true).body, "ok")
			waitIdle(t, pool)
		}
		assert.Equal(t, connections.Load(), int64(1))
	})
	t.Run("interim responses are passed over", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { return []byte("HTTP/1.1 103 Early Hints\r\n\r\n" + sound) })
		assert.Equal(t, call(t, newPool(), address, false).body, "ok")
	})
	t.Run("a response without length ends with its connection", func(t *testing.T) {
		address, _ := serve(t, func(_, request int) []byte {
			if request > 1 {
				return nil
			}
			return []byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
		})
		result := make(chan ended, 1)
		_, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
			Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") },
			Done: func(_ *http.Response, body []byte, err error) (bool, time.Duration) {
				result <- ended{string(body), err}
				return false, 0
			}})
		assert.NilError(t, err)
		assert.Equal(t, (<-result).body, "ok")
	})
	t.Run("a response that breaks off is lost", func(t *testing.T) {
		address, _ := serve(t, func(_, request int) []byte {
			if request == 2 {
				return nil
			}
			return []byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
		})
		result := make(chan error, 1)
		_, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
			Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") },
			Done:   func(_ *http.Response, _ []byte, err error) (bool, time.Duration) { result <- err; return false, 0 }})
		assert.NilError(t, err)
		assertKind(t, <-result, http1.Lost)
	})
	t.Run("bytes that are no response", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { return []byte("what is this\r\n\r\n") })
		assertKind(t, call(t, newPool(), address, false).err, http1.Malformed)
	})
	t.Run("an extra response is not taken for the next one", func(t *testing.T) {
		address, connections := serve(t, func(int, int) []byte { return []byte(sound + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad") })
		pool := newPool()
		for range 3 {
			assert.Equal(t, call(t, pool, address, false).body, "ok")
		}
		assert.Equal(t, connections.Load(), int64(3))
	})
	t.Run("a server that is not there", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		assertKind(t, call(t, newPool(), address, false).err, http1.NotSent)
	})
	t.Run("a call beyond the connections is refused at once", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { select {} })
		pool := http1.New(func(string) int { return 1 })
		done := func(*http.Response, []byte, error) (bool, time.Duration) { return false, 0 }
		first, err := pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, Done: done})
		assert.NilError(t, err)
		_, err = pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", Encode: func() []byte { return nil }, Done: done})
		assertKind(t, err, http1.PoolExhausted)
		first.Abort()
	})
}

// TestBreak checks that a call that is broken off resets its connection, so that what is under way is not delivered later.
func TestBreak(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	taken, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer)
		close(taken)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		ended <- err
	}()
	exchange, err := newPool().Start(http1.Call{Target: "s", Address: listener.Addr().String(), Method: "GET",
		Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done:   func(*http.Response, []byte, error) (bool, time.Duration) { return false, 0 }})
	assert.NilError(t, err)
	<-taken
	exchange.Abort()
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET))
}

// TestAbandonedDial checks that a call that is not needed any more when its connection comes about is not sent.
func TestAbandonedDial(t *testing.T) {
	address, _ := serve(t, func(int, int) []byte { return []byte(sound) })
	made := atomic.Int64{}
	result := make(chan error, 1)
	exchange, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
		Encode: func() []byte { made.Add(1); return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done:   func(_ *http.Response, _ []byte, err error) (bool, time.Duration) { result <- err; return false, 0 }})
	assert.NilError(t, err)
	exchange.Abandon()
	if err := <-result; err != nil { // unless it was sent before
		assertKind(t, err, http1.Abandoned)
		assert.Equal(t, made.Load(), int64(0))
	}
}

// waitIdle waits until the connection of the last call is kept.
func waitIdle(t *testing.T, pool *http1.Pool) {
	t.Helper()
	for range 1000 {
		if pool.Idle("s") > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection was not kept")
}
