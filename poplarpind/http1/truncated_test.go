package http1_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/http1"
)

// TestTruncatedResponse guards against a response that counts as complete although its connection ended within its head or its body.
func TestTruncatedResponse(t *testing.T) {
	for _, ending := range []platformtest.Ending{platformtest.Closed, platformtest.Reset, platformtest.Silent} {
		for _, shape := range platformtest.ResponseShapes("0123456789abcdef") {
			t.Run(string(ending)+"/"+shape.Name, func(t *testing.T) {
				t.Parallel()
				var calls sync.WaitGroup
				for sent := range len(shape.Bytes()) + 1 {
					calls.Go(func() { checkTruncated(t, shape, sent, ending) })
				}
				calls.Wait()
			})
		}
	}
}

// opening bounds the connections that are opened at a time; hundreds take longer than a call waits for one.
var opening = make(chan struct{}, 8)

// checkTruncated makes a call whose response ends after some bytes; its connection must not be kept unless the response is complete.
func checkTruncated(t *testing.T, shape platformtest.ResponseShape, sent int, ending platformtest.Ending) {
	opening <- struct{}{}
	opened := sync.OnceFunc(func() { <-opening })
	defer opened()
	target := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
		opened()
		return platformtest.Truncated{Bytes: shape.Bytes()[:sent], Ending: ending}
	})
	pool := newPool()
	go pool.Run(t.Context())
	complete := shape.IsComplete(sent, ending)
	_, result := start(t, pool, target.Address, func(call *http1.Call) {
		method := max(shape.Method, http.MethodGet)
		call.Method, call.Encode = method, func() []byte { return []byte(method + " / HTTP/1.1\r\nHost: h\r\n\r\n") }
		if ending == platformtest.Silent && !complete {
			call.Deadline = time.Now().Add(time.Second)
		}
	})
	received := <-result
	what := fmt.Sprintf("after %q: %v", shape.Bytes()[:sent], received.err)
	assert.Check(t, (received.err == nil) == complete, what)
	if complete {
		want := shape.Content
		if shape.ToClose {
			want = want[:sent-len(shape.Head)]
		}
		assert.Check(t, received.body == want, what)
		return
	}
	if failure, ok := received.err.(*http1.Error); ok && ending != platformtest.Silent && !shape.Invalid {
		assert.Check(t, failure.Kind == http1.Lost, what)
	}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, open := pool.Counts(); open == 0 {
			return
		}
	}
	assert.Check(t, false, "%s, and the connection is kept", what)
}

// TestResetWhileSending guards against a response without length that counts as complete although its connection was reset: the writer of a
// long call is told of the reset as well, and the reader then sees the end of the connection only.
func TestResetWhileSending(t *testing.T) {
	const calls = 100
	target := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
		return platformtest.Truncated{Bytes: "HTTP/1.1 200 OK\r\n" + platformtest.StampField("stamp-1") + "\r\n01234567", Ending: platformtest.Reset}
	})
	long := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 16777216\r\n\r\n" + strings.Repeat("b", 16<<20)
	complete := 0
	for range calls {
		_, result := start(t, newPool(), target.Address, func(call *http1.Call) {
			call.Method, call.Encode = http.MethodPost, func() []byte { return []byte(long) }
		})
		if (<-result).err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "of %d responses", calls)
}
