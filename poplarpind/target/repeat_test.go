package target_test

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/target"
)

const callTimeout = 20 * time.Second

// rawTarget is a target that speaks HTTP/2 frame by frame, so that a test decides at which moment of a call its connection ends.
type rawTarget struct {
	net.Listener
	calls  atomic.Int32 // calls whose header has arrived
	answer atomic.Pointer[func(rawStream)]
}

// rawStream is a call that has arrived whole.
type rawStream struct {
	conn net.Conn
	id   uint32
}

func newRawTarget(t *testing.T) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	rawTarget := &rawTarget{Listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go rawTarget.serve(conn)
		}
	}()
	return rawTarget
}

func (rawTarget *rawTarget) serve(conn net.Conn) {
	defer conn.Close()
	if _, err := io.ReadFull(conn, make([]byte, len(clientPreface))); err != nil {
		return
	}
	writeFrame(conn, settingsFrame, 0, 0, nil)
	for header := make([]byte, frameHeaderBytes); ; {
		if _, err := io.ReadFull(conn, header); err != nil {
			return
		}
		payload := make([]byte, int(header[0])<<16|int(header[1])<<8|int(header[2]))
		if _, err := io.ReadFull(conn, payload); err != nil {
			return
		}
		kind, flags, id := header[3], header[4], binary.BigEndian.Uint32(header[5:])
		switch {
		case kind == settingsFrame && flags&ack == 0:
			writeFrame(conn, settingsFrame, ack, 0, nil)
		case kind == headersFrame:
			rawTarget.calls.Add(1)
		case kind == dataFrame && flags&endStream != 0:
			(*rawTarget.answer.Load())(rawStream{conn, id})
		}
	}
}

func writeFrame(conn net.Conn, kind, flags byte, id uint32, payload []byte) {
	_, _ = io.WriteString(conn, frame(kind, flags, id, string(payload)))
}

func (stream rawStream) header(status string) {
	writeFrame(stream.conn, headersFrame, endHeaders, stream.id, append([]byte{8, 3}, status...)) // :status, not indexed
}

func (stream rawStream) respond(status, body string) {
	stream.header(status)
	writeFrame(stream.conn, dataFrame, endStream, stream.id, []byte(body))
}

func (stream rawStream) respondInPart(status string) {
	stream.header(status)
	writeFrame(stream.conn, dataFrame, 0, stream.id, []byte(`{"sta`))
	_ = stream.conn.Close()
}

// TestCallMadeOnce guards against a call that the connection's end repeats, and against one that may have run and counts as refused.
func TestCallMadeOnce(t *testing.T) {
	for name, test := range map[string]struct {
		answer  func(rawStream)
		outcome rpc.Outcome
	}{
		"closed after the call":         {func(stream rawStream) { _ = stream.conn.Close() }, rpc.Lost},
		"closed in the answer":          {func(stream rawStream) { stream.respondInPart("200") }, rpc.Lost},
		"closed in a 503":               {func(stream rawStream) { stream.respondInPart("503") }, rpc.Lost},
		"503 that is not the target's":  {func(stream rawStream) { stream.respond("503", "upstream timed out") }, rpc.Lost},
		"503 of a target that serves":   {func(stream rawStream) { stream.respond("503", `{"state":"serving"}`) }, rpc.Lost},
		"503 of a target that sheds":    {func(stream rawStream) { stream.respond("503", `{"state":"shedding"}`) }, rpc.Shed},
		"503 of a target that is cold":  {func(stream rawStream) { stream.respond("503", `{"state":"cold"}`) }, rpc.Shed},
		"503 of a target that drains":   {func(stream rawStream) { stream.respond("503", `{"state":"draining"}`) }, rpc.Draining},
		"stream refused":                {func(stream rawStream) { stream.reset() }, rpc.Lost},
		"connection given up (GOAWAY)":  {func(stream rawStream) { stream.goAway(0) }, rpc.Lost},
		"GOAWAY that names it as taken": {func(stream rawStream) { stream.goAway(stream.id) }, rpc.Lost},
	} {
		t.Run(name, func(t *testing.T) {
			raw := newRawTarget(t)
			owner := target.New(target.Limits{Unlimited: true})
			owner.Configure(&config.Configuration{Targets: map[string]config.Target{"t": {Name: "t", Address: raw.Addr().String(), Slots: 1, Connections: 24}}})
			call := func() rpc.Outcome {
				results := make(chan rpc.Result, 2)
				owner.Run(&rpc.Batch{QueryID: "q", RequestID: "r", Timeout: config.Duration(callTimeout), NonIdempotent: true, Calls: []rpc.Call{{Target: "t"}}},
					func(result rpc.Result) { results <- result })
				return (<-results).Outcome
			}
			served := func(stream rawStream) { stream.respond("200", `{"request":"r","shards":[]}`) }
			raw.answer.Store(&served)
			assert.Equal(t, call(), rpc.OK)
			raw.answer.Store(&test.answer)
			assert.Equal(t, call(), test.outcome)
			assert.Equal(t, raw.calls.Load(), int32(2))
		})
	}
}

func (stream rawStream) reset() {
	writeFrame(stream.conn, resetFrame, 0, stream.id, binary.BigEndian.AppendUint32(nil, refusedStream))
}

func (stream rawStream) goAway(last uint32) {
	writeFrame(stream.conn, goAwayFrame, 0, 0, append(binary.BigEndian.AppendUint32(nil, last), 0, 0, 0, 0))
	_ = stream.conn.Close()
}
