package target_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/target"
)

// startH2 starts a target that speaks HTTP/2 without TLS and returns its address.
func startH2(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: protocols, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: 250}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// TestEndlessResponses guards against a VM that targets take down by sending bodies without end.
func TestEndlessResponses(t *testing.T) {
	const targets, calls = 8, 16
	const bound = 192 << 20 // the memory limit of a VM's process; the heap measured here also holds the targets
	noise := bytes.Repeat([]byte("x"), 64<<10)
	endlessBody := func(writer http.ResponseWriter, request *http.Request) {
		for request.Context().Err() == nil {
			if _, err := writer.Write(noise); err != nil {
				return
			}
		}
	}
	for name, handler := range map[string]http.HandlerFunc{
		"body": endlessBody,
		"body of a refusal": func(writer http.ResponseWriter, request *http.Request) {
			writer.WriteHeader(http.StatusServiceUnavailable)
			endlessBody(writer, request)
		},
		"body that stops before its end": func(writer http.ResponseWriter, request *http.Request) {
			for range 110 { // 7 MB
				_, _ = writer.Write(noise) // a failure shows in the result
			}
			<-request.Context().Done()
		},
	} {
		t.Run(name, func(t *testing.T) {
			configuration := &config.Configuration{Targets: map[string]config.Target{}}
			for i := range targets {
				id := fmt.Sprintf("s-%d", i)
				configuration.Targets[id] = config.Target{Name: id, Address: startH2(t, handler), Slots: calls, Connections: 120}
			}
			owner := target.New(target.Limits{})
			owner.Configure(configuration)
			var results sync.WaitGroup
			for id := range configuration.Targets {
				for i := range calls {
					results.Add(1)
					owner.Run(&rpc.Batch{QueryID: "q", Timeout: config.Duration(2 * time.Second), RequestID: "r", Calls: []rpc.Call{{ID: int64(i), Target: id}}},
						func(result rpc.Result) {
							// A call for which no connection is free at once is not sent.
							assert.Check(t, result.Outcome == rpc.Lost || result.Outcome == rpc.NotSent, result.Outcome)
							results.Done()
						})
				}
			}
			var ended atomic.Bool
			go func() { results.Wait(); ended.Store(true) }()
			peak := uint64(0)
			for !ended.Load() {
				var stats runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapAlloc)
			}
			t.Logf("peak of the heap: %d MB", peak>>20)
			assert.Assert(t, peak < bound, "%d MB", peak>>20)
		})
	}
}

// TestLongHeader guards against a response whose header takes up megabytes of a VM.
func TestLongHeader(t *testing.T) {
	outcome := func(fields int) rpc.Outcome {
		return call(t, startH2(t, func(writer http.ResponseWriter, _ *http.Request) {
			for i := range fields {
				writer.Header().Add(fmt.Sprintf("X-%d", i), strings.Repeat("x", 8<<10))
			}
			_, _ = writer.Write([]byte(`{"request":"r","version":1,"shards":[{"name":"a"}]}`)) // a failure shows in the outcome
		}))
	}
	assert.Equal(t, outcome(1), rpc.OK)
	assert.Equal(t, outcome(100), rpc.Lost)
}

// TestFailureWithoutEnd guards against a call that waits for the rest of a response whose status has told its outcome.
func TestFailureWithoutEnd(t *testing.T) {
	for status, want := range map[int]rpc.Outcome{http.StatusInternalServerError: rpc.Failed, http.StatusConflict: rpc.VersionNotHeld} {
		started := time.Now()
		assert.Equal(t, call(t, startH2(t, func(writer http.ResponseWriter, request *http.Request) {
			writer.WriteHeader(status)
			_ = http.NewResponseController(writer).Flush() // a failure shows in the outcome
			<-request.Context().Done()
		})), want)
		assert.Assert(t, time.Since(started) < responseTimeout, "the call waited for the rest")
	}
}
