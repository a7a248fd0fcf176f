package http1_test

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/http1"
)

const (
	maxBody     = 16 << 20         // of a response
	maxOverhead = 1 << 20          // of a response: its head, and bytes that are read ahead
	maxUnread   = 12 << 20         // the sockets hold less than this of a response that is hardly read: their buffers do not grow
	sendFor     = 64 << 20         // what a server sends at most
	waitTimeout = 10 * time.Second // no result depends on how long a condition takes
)

// TestEndless guards against targets that send bytes that are no answer until the caller closes: each such call must end as an invalid
// response on a connection that is reset after a bounded number of bytes, however large the VM's memory is.
func TestEndless(t *testing.T) {
	for _, response := range platformtest.EndlessResponses() {
		t.Run(response.Name, func(t *testing.T) {
			target := platformtest.NewEndlessTarget(t, response, 0)
			assertKind(t, call(t, newPool(), target.Address, false).err, http1.Malformed)
			assertReceived(t, target.Ended)
			assert.Assert(t, target.Sent.Load() <= maxBody+platformtest.SocketBytes(t)+maxOverhead, "%d bytes were sent", target.Sent.Load())
		})
	}
	t.Run("a body over the limit of its call", func(t *testing.T) {
		target := platformtest.NewEndlessTarget(t, platformtest.EndlessResponse{Start: "HTTP/1.1 200 OK\r\n\r\n", Repeat: "body"}, 0)
		_, result := start(t, newPool(), target.Address, func(call *http1.Call) { call.MaxBody = 64 << 10 })
		assertKind(t, (<-result).err, http1.Malformed)
		assertReceived(t, target.Ended)
		assert.Assert(t, target.Sent.Load() < maxUnread, "%d bytes were sent", target.Sent.Load())
	})
	t.Run("a stated length over the limit ends the call before the body", func(t *testing.T) {
		target := platformtest.NewEndlessTarget(t, platformtest.EndlessResponse{Start: "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n", Repeat: "b"}, time.Hour)
		_, result := start(t, newPool(), target.Address, func(call *http1.Call) { call.MaxBody = 64 << 10 })
		assertKind(t, (<-result).err, http1.Malformed)
	})
}

// TestTrickle guards against connections that stay occupied for ever by a target that sends a byte now and then: the call ends with its
// time, also if its response is no longer needed.
func TestTrickle(t *testing.T) {
	for _, response := range platformtest.EndlessResponses() {
		t.Run(response.Name, func(t *testing.T) {
			t.Parallel()
			pool := newPool()
			go pool.Run(t.Context())
			target := platformtest.NewEndlessTarget(t, response, 50*time.Millisecond)
			exchange, _ := start(t, pool, target.Address, func(call *http1.Call) { call.Deadline = time.Now().Add(100 * time.Millisecond) })
			waitFor(t, "the response", func() bool { return target.Sent.Load() > 0 })
			exchange.Abandon()
			assertReceived(t, target.Ended)
			waitFor(t, "the end of the connection", func() bool { _, open := pool.Counts(); return open == 0 })
		})
	}
}

// TestSilentTarget guards against a silent target that counts as reachable: the call ends soon after its time, as lost and not as answered
// with an invalid response, since a VM that is cut off from other failure domains would take them for reached.
func TestSilentTarget(t *testing.T) {
	pool := newPool()
	go pool.Run(t.Context())
	address, _ := serve(t, func(int, int) []byte { select {} })
	_, result := start(t, pool, address, func(call *http1.Call) { call.Deadline = time.Now().Add(100 * time.Millisecond) })
	assertKind(t, (<-result).err, http1.Lost)
}

// TestMemoryBudget guards against a VM that runs out of memory because of many responses that are each within their limit: the large
// ones are ended, and the others are answered.
func TestMemoryBudget(t *testing.T) {
	const budgetBytes = 4 << 20
	pool := http1.New(func(string) int { return 100 }, budgetBytes)
	large, _ := serve(t, func(int, int) []byte {
		return append([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000\r\n\r\n"), bytes.Repeat([]byte("b"), 3_000_000)...)
	})
	var results []chan callResult
	var exchanges []*http1.Exchange
	for range 12 {
		exchange, result := start(t, pool, large, func(*http1.Call) {})
		exchanges, results = append(exchanges, exchange), append(results, result)
	}
	small, _ := serve(t, func(int, int) []byte { return []byte(okResponse) })
	assert.Equal(t, call(t, pool, small, false).body, "ok")
	complete := 0
	for _, result := range results {
		if received := <-result; received.err == nil {
			complete++
		} else {
			assertKind(t, received.err, http1.Malformed)
		}
	}
	assert.Equal(t, complete, 1, "a second response does not fit beside a complete one")
	assert.Assert(t, pool.BufferedBytes() > 0)
	for _, exchange := range exchanges {
		exchange.Release()
	}
	assert.Equal(t, pool.BufferedBytes(), int64(0))
	assert.Equal(t, len(call(t, pool, large, false).body), 3_000_000)
}

// start makes one call that change may adapt.
func start(t *testing.T, pool *http1.Pool, address string, change func(call *http1.Call)) (*http1.Exchange, chan callResult) {
	t.Helper()
	result := make(chan callResult, 1)
	made := http1.Call{Target: "s", Address: address, Method: "GET",
		Encode: func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n") },
		Done: func(response *http1.Response, err error) (bool, time.Duration) {
			result <- newResult(response, err)
			return err == nil, 0
		}}
	change(&made)
	exchange, err := pool.Start(made)
	assert.NilError(t, err)
	return exchange, result
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", what)
}

func assertReceived(t *testing.T, ended chan struct{}) {
	t.Helper()
	select {
	case <-ended:
	case <-time.After(waitTimeout):
		t.Fatal("the connection was not closed")
	}
}

// FuzzResponse feeds the reader of responses with arbitrary bytes: each call must end, and no larger body may come back than was sent.
func FuzzResponse(f *testing.F) {
	f.Add([]byte(okResponse))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\n" + okResponse))
	for _, response := range platformtest.EndlessResponses() {
		f.Add([]byte(response.Start + response.Repeat))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		address, _ := serve(t, func(_, request int) []byte {
			if request > 1 {
				return nil
			}
			return data
		})
		_, result := start(t, newPool(), address, func(call *http1.Call) {
			call.Encode = func() []byte { return []byte("GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n") }
		})
		assert.Assert(t, len((<-result).body) <= len(data))
	})
}
