package conns_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/evict"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/conns"
)

const answerTimeout = 20 * time.Second

var requestLimits = conns.RequestLimits{HeadBytes: 32 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}

// serveGuarded starts a server with bounded connections and returns its address. Its handler waits until release is closed, if it is not nil.
func serveGuarded(t *testing.T, limits evict.Limits, release chan struct{}) string {
	t.Helper()
	guard := conns.New(conns.Options{Name: "test", Limits: limits, Requests: func() conns.RequestLimits { return requestLimits }, BodyFactor: 2,
		Refuse: func(refusal conns.Error) []byte { return platform.RefusedHead(refusal.Status(), refusal.Reason()) },
		Reject: func(writer http.ResponseWriter, refusal conns.Error) { platform.Reject(writer, refusal.Reason()) }, Log: zap.NewNop()})
	listener, err := guard.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			panic(http.ErrAbortHandler)
		}
		if release != nil {
			<-release
		}
	})}
	guard.Attach(server)
	go func() { _ = server.Serve(listener) }()
	go conns.Run(t.Context(), guard)
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// client is a client's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	return &client{conn, bufio.NewReader(conn)}
}

// send writes a text; the server may close the connection meanwhile.
func (client *client) send(text string) { _, _ = client.Write([]byte(text)) }

// assertAnswer reads an answer and checks its status; a refusal says that the request has not run.
func (client *client) assertAnswer(t *testing.T, status int) {
	t.Helper()
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, status)
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	if status != http.StatusOK {
		assert.Assert(t, strings.HasPrefix(string(text), "not run: "), "%s", text)
	}
	if status == http.StatusServiceUnavailable {
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
}

// assertClosed checks that the server has closed the connection without a further answer.
func (client *client) assertClosed(t *testing.T) {
	t.Helper()
	count, err := client.reader.Read(make([]byte, 1))
	assert.Assert(t, count == 0 && err != nil && !strings.Contains(err.Error(), "timeout"), "%d bytes, %v", count, err)
}

var wide = evict.Limits{Conns: 100, Bytes: 10 << 20, ConnBytes: conns.ConnBytes}

func request(fields string) string { return "GET /x HTTP/1.1\r\nHost: h.example\r\n" + fields + "\r\n" }

// TestRequestLimits guards against heads beyond the limits, and against the refusal of requests inside the limits.
func TestRequestLimits(t *testing.T) {
	t.Run("a head of the largest size, with many fields, and the request after it", func(t *testing.T) {
		client := connect(t, serveGuarded(t, wide, nil))
		for range 2 {
			client.send(request(platformtest.Fields(32 << 10)))
			client.assertAnswer(t, http.StatusOK)
		}
	})
	t.Run("a larger head is refused, and the connection ends", func(t *testing.T) {
		client := connect(t, serveGuarded(t, wide, nil))
		client.send(request(platformtest.Fields(200 << 10)))
		client.assertAnswer(t, http.StatusRequestHeaderFieldsTooLarge)
		client.assertClosed(t)
	})
	t.Run("a long body is no head, also if its request was sent behind another one", func(t *testing.T) {
		client := connect(t, serveGuarded(t, wide, nil))
		client.send(request("") + request("Content-Length: 300000\r\n") + strings.Repeat("x", 300_000))
		client.assertAnswer(t, http.StatusOK)
		client.assertAnswer(t, http.StatusOK)
	})
	t.Run("a slow head is refused", func(t *testing.T) {
		client := connect(t, serveGuarded(t, wide, nil))
		client.send("GET /x HTTP/1.1\r\n")
		client.assertAnswer(t, http.StatusRequestTimeout)
		client.assertClosed(t)
	})
	t.Run("a silent connection and an idle one are closed", func(t *testing.T) {
		address := serveGuarded(t, wide, nil)
		connect(t, address).assertClosed(t)
		client := connect(t, address)
		client.send(request(""))
		client.assertAnswer(t, http.StatusOK)
		client.assertClosed(t)
	})
}

// TestNoRoom guards against requests that are neither served nor refused when others hold the memory or the places.
func TestNoRoom(t *testing.T) {
	t.Run("memory", func(t *testing.T) {
		release := make(chan struct{})
		address := serveGuarded(t, evict.Limits{Conns: 10, Bytes: 600 << 10, ConnBytes: 1}, release)
		held := connect(t, address)
		held.send(request(platformtest.Fields(16 << 10)))
		large := connect(t, address)
		large.send(request(platformtest.Fields(31 << 10)))
		large.assertAnswer(t, http.StatusServiceUnavailable)
		large.assertClosed(t)
		close(release)
		held.assertAnswer(t, http.StatusOK)
	})
	t.Run("places", func(t *testing.T) {
		release := make(chan struct{})
		address := serveGuarded(t, evict.Limits{Conns: 4, Bytes: 1 << 20, ConnBytes: 1}, release)
		first, second, third := connect(t, address), connect(t, address), connect(t, address)
		first.send(request(""))
		second.send(request(""))
		awaitRefusal(t, third)
		close(release)
		first.assertAnswer(t, http.StatusOK)
		second.assertAnswer(t, http.StatusOK)
		third.send(request(""))
		third.assertAnswer(t, http.StatusOK)
	})
}

// awaitRefusal sends a request that finds all places taken, once the requests of other connections have arrived.
func awaitRefusal(t *testing.T, client *client) {
	t.Helper()
	time.Sleep(time.Second) // until the others are being served, which does not show from outside
	client.send(request(""))
	client.assertAnswer(t, http.StatusServiceUnavailable)
}
