package target_test

import "encoding/binary"

const (
	clientPreface    = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	frameHeaderBytes = 9
)

// The types, flags and an error code of HTTP/2 frames.
const (
	dataFrame, headersFrame, resetFrame, settingsFrame, goAwayFrame, continuationFrame = 0, 1, 3, 4, 7, 9

	endStream, ack, endHeaders = 1, 1, 4

	refusedStream = 7
)

// frame returns an HTTP/2 frame of a stream.
func frame(kind, flags byte, stream uint32, payload string) string {
	header := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))[1:]
	header = append(header, kind, flags)
	return string(binary.BigEndian.AppendUint32(header, stream)) + payload
}
