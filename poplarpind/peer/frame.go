package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/sourcegraph/jsonrpc2"
)

const (
	maxHelloBytes = 4 << 10  // a message before the handshake is this long at most, as anybody may have opened the link
	maxFrameBytes = 16 << 20 // a message is this long at most: the entries of 19,000 targets take about 6 MB
)

// frameCodec reads and writes the messages of a link, each after its length. It rejects a message over its limit before it takes up memory.
type frameCodec struct {
	jsonrpc2.VarintObjectCodec
	limit atomic.Int64 // bytes of a message that is read
}

// newFrameCodec returns a codec that accepts only short messages until the handshake is complete.
func newFrameCodec() *frameCodec {
	codec := &frameCodec{}
	codec.limit.Store(maxHelloBytes)
	return codec
}

// handshakeComplete makes the codec accept long messages.
func (frameCodec *frameCodec) handshakeComplete() { frameCodec.limit.Store(maxFrameBytes) }

// ReadObject implements jsonrpc2.ObjectCodec. The buffer grows with what has arrived, whatever length the message states.
func (frameCodec *frameCodec) ReadObject(stream *bufio.Reader, value any) error {
	length, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if length > uint64(frameCodec.limit.Load()) {
		return &Error{"read", Rejected, fmt.Sprintf("a message of %d bytes", length)}
	}
	var frame bytes.Buffer
	if _, err := io.CopyN(&frame, stream, int64(length)); err != nil {
		return err
	}
	return json.Unmarshal(frame.Bytes(), value)
}
