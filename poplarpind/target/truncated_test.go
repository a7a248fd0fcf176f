package target_test

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/target"
)

const (
	responseTimeout = 5 * time.Second
	internalError   = "\x00\x00\x00\x02"
	maxCalls        = 8 // in flight at a time; hundreds of new connections take longer to open than a call waits
)

// response returns the frames of a response to the first request of a connection: its head in two, its body in two or three.
func response(body string, withLength, endsApart bool) []string {
	head, half := "\x88", len(body)/2 // status 200
	if withLength {
		length := fmt.Sprint(len(body))
		head += "\x0f\x0d" + string(rune(len(length))) + length
	}
	frames := []string{frame(headersFrame, 0, 1, head[:len(head)/2]), frame(continuationFrame, endHeaders, 1, head[len(head)/2:]), frame(dataFrame, 0, 1, body[:half])}
	if endsApart {
		return append(frames, frame(dataFrame, 0, 1, body[half:]), frame(dataFrame, endStream, 1, ""))
	}
	return append(frames, frame(dataFrame, endStream, 1, body[half:]))
}

// serve starts a target that answers the first request of a connection with these bytes and then ends the connection; it returns its address.
func serve(t *testing.T, answer string, end func(conn *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerOnce(conn.(*net.TCPConn), answer, end)
		}
	}()
	return listener.Addr().String()
}

func answerOnce(conn *net.TCPConn, answer string, end func(conn *net.TCPConn)) {
	defer conn.Close()
	_, err := io.CopyN(io.Discard, conn, int64(len(clientPreface)))
	_, _ = io.WriteString(conn, frame(settingsFrame, 0, 0, ""))
	for ended := false; err == nil; {
		header := make([]byte, frameHeaderBytes)
		if _, err = io.ReadFull(conn, header); err != nil {
			return
		}
		_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(append([]byte{0}, header[:3]...))))
		if header[3] == settingsFrame && header[4]&ack == 0 {
			_, _ = io.WriteString(conn, frame(settingsFrame, ack, 0, ""))
		}
		if !ended && (header[3] == headersFrame || header[3] == dataFrame) && header[4]&endStream != 0 {
			ended = true
			_, _ = io.WriteString(conn, answer)
			end(conn)
		}
	}
}

// call makes a call to the target at an address and returns its outcome.
func call(t *testing.T, address string) rpc.Outcome {
	owner := target.New(target.Limits{})
	owner.Configure(&config.Configuration{Targets: map[string]config.Target{"s-1": {Name: "s-1", Address: address, Slots: 2, Connections: 120}}})
	results := make(chan rpc.Result, 1)
	owner.Run(&rpc.Batch{QueryID: "q", Timeout: config.Duration(responseTimeout), RequestID: "r", Calls: []rpc.Call{{ID: 1, Target: "s-1"}}},
		func(result rpc.Result) { results <- result })
	select {
	case result := <-results:
		return result.Outcome
	case <-time.After(20 * time.Second):
		t.Error("the call has no result")
		return ""
	}
}

// TestTruncatedResponse guards against a response that counts as complete although its connection or its stream ended before it did.
func TestTruncatedResponse(t *testing.T) {
	const body = `{"request":"r","version":1,"shards":[{"name":"a"}]}`
	closed := func(conn *net.TCPConn) { _ = conn.CloseWrite() }
	endings := []struct {
		name       string
		frame      string // sent before the end, between two frames only
		end        func(conn *net.TCPConn)
		everywhere bool
	}{
		{"closed", "", closed, true},
		{"reset", "", func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }, true},
		{"RST_STREAM", frame(resetFrame, 0, 1, internalError), func(*net.TCPConn) {}, false},
		{"GOAWAY before the request", frame(goAwayFrame, 0, 0, "\x00\x00\x00\x00"+internalError), closed, false},
		{"GOAWAY after the request", frame(goAwayFrame, 0, 0, "\x00\x00\x00\x01"+internalError), closed, false},
		{"end of stream", frame(dataFrame, endStream, 1, ""), func(*net.TCPConn) {}, false},
	}
	inFlight := make(chan struct{}, maxCalls)
	for _, ending := range endings {
		for _, shape := range []struct {
			name   string
			frames []string
		}{
			{"length", response(body, true, false)},
			{"no length", response(body, false, false)},
			{"end apart", response(body, false, true)},
		} {
			t.Run(ending.name+"/"+shape.name, func(t *testing.T) {
				t.Parallel()
				whole, boundaries := strings.Join(shape.frames, ""), map[int]bool{0: true}
				for sent := 0; len(shape.frames) > 0; shape.frames = shape.frames[1:] {
					sent += len(shape.frames[0])
					boundaries[sent] = true
				}
				var calls sync.WaitGroup
				for sent := range len(whole) {
					if !ending.everywhere && !boundaries[sent] || ending.name == "end of stream" && sent == len(whole)-frameHeaderBytes {
						continue
					}
					inFlight <- struct{}{}
					calls.Go(func() {
						defer func() { <-inFlight }()
						outcome := call(t, serve(t, whole[:sent]+ending.frame, ending.end))
						assert.Check(t, outcome == rpc.Lost, "%s after %d of %d bytes", outcome, sent, len(whole))
					})
				}
				calls.Wait()
				if ending.name == "closed" {
					assert.Equal(t, call(t, serve(t, whole, ending.end)), rpc.OK)
				}
			})
		}
	}
	t.Run("silent", func(t *testing.T) {
		whole := strings.Join(response(body, true, false), "")
		assert.Equal(t, call(t, serve(t, whole[:len(whole)-1], func(*net.TCPConn) {})), rpc.Lost)
	})
}
