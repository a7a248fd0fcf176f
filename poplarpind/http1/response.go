package http1

import (
	"bufio"
	"bytes"
	"errors"
	"expvar"
	"io"
	"math"
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"poplarpin.dev/poplarpind/tcp"
)

const (
	readBufferBytes  = 2 << 10  // most responses are smaller
	maxHeadBytes     = 16 << 10 // status lines and header fields of a response and its interim responses have at most this size
	maxBodyBytes     = 16 << 20 // the body of a response whose call sets no limit has at most this size
	initialBodyBytes = 512      // first size of the buffer for a body of unknown length
	unbudgetedBytes  = 4 << 10  // first size of the buffer for a longer body of known length; first buffers do not count in the memory budget
)

// invalidResponses counts the calls that ended because of the response, by reason.
var invalidResponses = expvar.NewMap("serverResponsesInvalid")

// Why a response is invalid, in log lines and metrics.
const (
	headTooLarge   = "head too large"
	bodyTooLarge   = "body too large"
	memoryUsedUp   = "memory for responses used up"
	responseTooOld = "not complete at the end of the call's time"

	notAcknowledged = "the target's machine has acknowledged nothing" // of a call that is undelivered
	notHTTP         = "not HTTP"
	invalidStatus   = "status that no target may give"
	unknownCoding   = "transfer coding that its HTTP version does not have"
	spaceInFraming  = "space after the name of a field that frames the body"
)

const (
	http11    = "HTTP/1.1" // the version of most responses
	maxStatus = 599        // there are no further classes of statuses
)

var errHeadTooLarge = errors.New(headTooLarge)

// limitedReader reads from a connection and fails after a number of bytes, for heads: http.ReadResponse limits neither a line nor the
// number of header fields, nor the number of interim responses.
type limitedReader struct {
	netConn   net.Conn
	remaining int64
	ended     bool   // the connection has ended
	head      []byte // what has been read of a head that is kept; nil for others
}

// Read implements io.Reader.
func (limitedReader *limitedReader) Read(buffer []byte) (int, error) {
	if limitedReader.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	if int64(len(buffer)) > limitedReader.remaining {
		buffer = buffer[:limitedReader.remaining]
	}
	count, err := limitedReader.netConn.Read(buffer)
	limitedReader.remaining -= int64(count)
	if limitedReader.head != nil {
		limitedReader.head = append(limitedReader.head, buffer[:count]...)
	}
	limitedReader.ended = limitedReader.ended || err != nil
	return count, err
}

// readResponse reads one complete response; it skips interim (1xx) responses.
func (conn *conn) readResponse(exchange *Exchange) (*http.Response, []byte, *Error) {
	defer func() { conn.source.remaining = maxHeadBytes }()
	request := &http.Request{Method: exchange.call.Method}
	for {
		response, head, err := conn.readHead(request)
		if err != nil {
			return nil, nil, conn.responseError("response", err)
		}
		if !FinalStatus(response.StatusCode) && !interimStatus(response.StatusCode) {
			return nil, nil, invalid("response", invalidStatus)
		}
		if !response.ProtoAtLeast(1, 1) && statesCoding(head) {
			return nil, nil, invalid("response", unknownCoding)
		}
		if hidesFraming(response.Header) {
			return nil, nil, invalid("response", spaceInFraming)
		}
		if interimStatus(response.StatusCode) {
			continue // its head counts towards the limit
		}
		conn.source.remaining = math.MaxInt64
		body, bodyErr := conn.readBody(exchange, response)
		if bodyErr != nil {
			return nil, nil, bodyErr
		}
		return response, body, nil
	}
}

// FinalStatus reports whether a target may end its response to a request with a status.
func FinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// interimStatus reports whether a target may give a status before the final one. Nobody asks it to switch to another protocol.
func interimStatus(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// readHead reads the head of a response, and returns its text, followed by what has arrived after it, unless it is one of HTTP/1.1.
func (conn *conn) readHead(request *http.Request) (*http.Response, []byte, error) {
	if version, _ := conn.reader.Peek(len(http11)); string(version) != http11 {
		arrived, _ := conn.reader.Peek(conn.reader.Buffered())
		conn.source.head = append([]byte{}, arrived...)
	}
	response, err := http.ReadResponse(conn.reader, request)
	head := conn.source.head
	conn.source.head = nil
	return response, head, err
}

// statesCoding reports whether a head that http.ReadResponse has read states a transfer coding. Before HTTP/1.1, http.ReadResponse drops the field
// and takes the coded body for the body itself, so that one that stopped would be complete.
func statesCoding(head []byte) bool {
	reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(head)))
	_, _ = reader.ReadLine() // the status line
	header, _ := reader.ReadMIMEHeader()
	return len(header.Values("Transfer-Encoding")) > 0
}

// hidesFraming reports whether a space follows the name of a field that frames the body. http.ReadResponse takes it for another field, and the body
// then ends with the connection.
func hidesFraming(header http.Header) bool {
	for name := range header {
		if bare := strings.TrimRight(name, " "); bare != name && (strings.EqualFold(bare, "Content-Length") || strings.EqualFold(bare, "Transfer-Encoding")) {
			return true
		}
	}
	return false
}

// readBody reads the body of a response into a buffer that grows with what has arrived, within the limit of the call and the memory
// budget.
func (conn *conn) readBody(exchange *Exchange, response *http.Response) ([]byte, *Error) {
	limit := exchange.call.MaxBody
	if limit <= 0 {
		limit = maxBodyBytes
	}
	if response.Body == http.NoBody {
		return nil, nil
	}
	if response.ContentLength > limit {
		return nil, invalid("body", bodyTooLarge)
	}
	size := int64(initialBodyBytes)
	if response.ContentLength >= 0 {
		size = min(response.ContentLength+1, unbudgetedBytes) // one more, so that the end is noticed without growing
	}
	body := make([]byte, 0, size)
	for {
		count, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == io.EOF && endsWithConn(response) && !conn.finished():
			return nil, &Error{"body", Lost, "the connection was reset"}
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, conn.responseError("body", err)
		case int64(len(body)) > limit:
			return nil, invalid("body", bodyTooLarge)
		}
		if len(body) == cap(body) {
			if !conn.pool.memory.grow(exchange, int64(cap(body))) {
				return nil, invalid("body", memoryUsedUp)
			}
			larger := make([]byte, len(body), 2*cap(body))
			copy(larger, body)
			body = larger
		}
	}
}

// finished reports whether the target has closed the connection and it has not been reset since.
func (conn *conn) finished() bool {
	info, _ := tcp.InfoOf(conn.netConn)
	return info.Finished()
}

// endsWithConn reports whether only the end of the connection shows the end of the response's body. A read alone does not tell a reset then: the
// kernel reports it once, and may have told the writer of a call that is still being sent.
func endsWithConn(response *http.Response) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0
}

// responseError distinguishes a connection that ended within a response from an invalid response. The error alone does not tell: what has arrived
// of a line is parsed as if it were the whole line.
func (conn *conn) responseError(op string, err error) *Error {
	switch {
	case errors.Is(err, errHeadTooLarge):
		return invalid(op, headTooLarge)
	case conn.source.ended:
		return &Error{op, Lost, err.Error()}
	}
	invalidResponses.Add(notHTTP, 1)
	return &Error{op, Malformed, err.Error()}
}

// invalid returns the error of a response that is given up for a reason, and counts it.
func invalid(op, reason string) *Error {
	invalidResponses.Add(reason, 1)
	return &Error{op, Malformed, reason}
}
