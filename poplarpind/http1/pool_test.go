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

// serve starts a server that answers each request with the bytes that answer returns for it; nil closes the connection.
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

type callResult struct {
	body string
	err  error
}

func newResult(response *http1.Response, err error) callResult {
	if err != nil {
		return callResult{err: err}
	}
	return callResult{body: string(response.Body)}
}

// call makes one call and waits for its result.
func call(t *testing.T, pool *http1.Pool, address string, fresh bool) callResult {
	t.Helper()
	result := make(chan callResult, 1)
	_, err := pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", FreshConn: fresh,
		Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done: func(response *http1.Response, err error) (bool, time.Duration) {
			result <- newResult(response, err)
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

func newPool() *http1.Pool { return newPoolOf(2) }

// newPoolOf returns a pool that opens this number of connections to a target.
func newPoolOf(conns int) *http1.Pool { return http1.New(func(string) int { return conns }, 18<<20) }

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestCalls(t *testing.T) {
	t.Run("a connection is reused", func(t *testing.T) {
		address, connections := serve(t, func(int, int) []byte { return []byte(okResponse) })
		pool := newPool()
		for range 5 {
			assert.Equal(t, call(t, pool, address, true).body, "ok")
			waitIdle(t, pool)
		}
		assert.Equal(t, connections.Load(), int64(1))
	})
	t.Run("a connection to an earlier address of the target is not used", func(t *testing.T) {
		earlier, _ := serve(t, func(int, int) []byte { return []byte(okResponse) })
		address, _ := serve(t, func(int, int) []byte { return []byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew") })
		pool := newPool()
		assert.Equal(t, call(t, pool, earlier, false).body, "ok")
		waitIdle(t, pool)
		assert.Equal(t, call(t, pool, address, false).body, "new")
	})
	t.Run("a response comes with what was remembered of the one before it on the connection", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { return []byte(okResponse) })
		pool, previous := newPool(), make(chan any, 1)
		for number, want := range []any{nil, 0, 1} {
			_, result := start(t, pool, address, func(call *http1.Call) {
				done := call.Done
				call.Done = func(response *http1.Response, err error) (bool, time.Duration) {
					previous <- response.Previous
					response.Remembered = number
					return done(response, err)
				}
			})
			assert.Equal(t, <-previous, want)
			<-result
			waitIdle(t, pool)
		}
	})
	t.Run("interim responses are skipped", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { return []byte("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse) })
		assert.Equal(t, call(t, newPool(), address, false).body, "ok")
	})
	t.Run("a response without length ends with its connection", func(t *testing.T) {
		address, _ := serve(t, func(_, request int) []byte {
			if request > 1 {
				return nil
			}
			return []byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok")
		})
		result := make(chan callResult, 1)
		_, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
			Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") },
			Done: func(response *http1.Response, err error) (bool, time.Duration) {
				result <- newResult(response, err)
				return false, 0
			}})
		assert.NilError(t, err)
		assert.Equal(t, (<-result).body, "ok")
	})
	t.Run("a truncated response is reported as lost", func(t *testing.T) {
		address, _ := serve(t, func(_, request int) []byte {
			if request == 2 {
				return nil
			}
			return []byte("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok")
		})
		result := make(chan error, 1)
		_, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
			Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") },
			Done:   func(_ *http1.Response, err error) (bool, time.Duration) { result <- err; return false, 0 }})
		assert.NilError(t, err)
		assertKind(t, <-result, http1.Lost)
	})
	for name, response := range map[string]string{
		"a chunked response without its last chunk": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"a chunked response without its trailers":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
		"a response that ends in its head":          "HTTP/1.1 200 OK\r\nContent-Le",
	} {
		t.Run(name+" is no success", func(t *testing.T) {
			address, _ := serve(t, func(_, request int) []byte {
				if request == 2 {
					return nil
				}
				return []byte(response)
			})
			_, result := start(t, newPool(), address, func(call *http1.Call) {
				call.Encode = func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") }
			})
			assert.Assert(t, (<-result).err != nil)
		})
	}
	t.Run("a response without length that ends by a reset is reported as lost", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer listener.Close()
		_, result := start(t, newPool(), listener.Addr().String(), func(*http1.Call) {})
		conn, err := listener.Accept()
		assert.NilError(t, err)
		_, err = http.ReadRequest(bufio.NewReader(conn))
		assert.NilError(t, err)
		_, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nok"))
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond) // so that the bytes are read before the reset discards them
		assert.NilError(t, conn.(*net.TCPConn).SetLinger(0))
		assert.NilError(t, conn.Close())
		assertKind(t, (<-result).err, http1.Lost)
	})
	t.Run("a call past its time is not sent", func(t *testing.T) {
		var requests atomic.Int64
		address, _ := serve(t, func(int, int) []byte { requests.Add(1); return []byte(okResponse) })
		pool := newPool()
		for range 2 { // on a new connection, then on one that is kept
			_, result := start(t, pool, address, func(call *http1.Call) { call.Deadline = time.Now().Add(-time.Second) })
			assertKind(t, (<-result).err, http1.NotSent)
			assert.Equal(t, requests.Swap(0), int64(0))
			assert.Equal(t, call(t, pool, address, false).body, "ok")
			waitIdle(t, pool)
			requests.Store(0)
		}
	})
	t.Run("malformed response", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { return []byte("what is this\r\n\r\n") })
		assertKind(t, call(t, newPool(), address, false).err, http1.Malformed)
	})
	t.Run("an extra response is not taken for the next one", func(t *testing.T) {
		address, connections := serve(t, func(int, int) []byte { return []byte(okResponse + "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad") })
		pool := newPool()
		for range 3 {
			assert.Equal(t, call(t, pool, address, false).body, "ok")
		}
		assert.Equal(t, connections.Load(), int64(3))
	})
	t.Run("a connection that is not kept has left its place by the end of the call", func(t *testing.T) {
		for _, response := range []string{okResponse + "x", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"} {
			address, _ := serve(t, func(int, int) []byte { return []byte(response) })
			pool, open := newPoolOf(1), make(chan int, 1)
			_, err := pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
				Done: func(*http1.Response, error) (bool, time.Duration) {
					_, count := pool.Counts()
					open <- count
					return true, 0
				}})
			assert.NilError(t, err)
			assert.Equal(t, <-open, 0)
		}
	})
	t.Run("nothing listens at the address", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		address := listener.Addr().String()
		assert.NilError(t, listener.Close())
		assertKind(t, call(t, newPool(), address, false).err, http1.NotSent)
	})
	t.Run("a call beyond the connection limit fails at once", func(t *testing.T) {
		address, _ := serve(t, func(int, int) []byte { select {} })
		pool := newPoolOf(1)
		done := func(*http1.Response, error) (bool, time.Duration) { return false, 0 }
		first, err := pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") }, Done: done})
		assert.NilError(t, err)
		_, err = pool.Start(http1.Call{Target: "s", Address: address, Method: "GET", Encode: func() []byte { return nil }, Done: done})
		assertKind(t, err, http1.PoolExhausted)
		first.Abort()
	})
}

// TestAbort guards against calls that reach a target after they were aborted: without a reset, data in the send buffer is still
// delivered once a network partition ends.
func TestAbort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	received, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		buffer := make([]byte, 1)
		_, _ = conn.Read(buffer)
		close(received)
		for err == nil {
			_, err = conn.Read(buffer)
		}
		ended <- err
	}()
	exchange, err := newPool().Start(http1.Call{Target: "s", Address: listener.Addr().String(), Method: "GET",
		Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done:   func(*http1.Response, error) (bool, time.Duration) { return false, 0 }})
	assert.NilError(t, err)
	<-received
	exchange.Abort()
	assert.Assert(t, errors.Is(<-ended, syscall.ECONNRESET))
}

// TestAbandonedDial guards against sending a call that was abandoned while its connection was being opened.
func TestAbandonedDial(t *testing.T) {
	address, _ := serve(t, func(int, int) []byte { return []byte(okResponse) })
	encoded := atomic.Int64{}
	result := make(chan error, 1)
	exchange, err := newPool().Start(http1.Call{Target: "s", Address: address, Method: "GET",
		Encode: func() []byte { encoded.Add(1); return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done:   func(_ *http1.Response, err error) (bool, time.Duration) { result <- err; return false, 0 }})
	assert.NilError(t, err)
	exchange.Abandon()
	if err := <-result; err != nil { // nil if the call was sent before Abandon
		assertKind(t, err, http1.Abandoned)
		assert.Equal(t, encoded.Load(), int64(0))
	}
}

// waitIdle waits until the connection of the last call is back in the pool.
func waitIdle(t *testing.T, pool *http1.Pool) {
	t.Helper()
	for range 1000 {
		if pool.Idle("s") > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection did not become idle")
}
