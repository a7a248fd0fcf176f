package main

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnansweredOnce guards against a non-idempotent request whose lost answer passes for a failure, and whose id is not known, so that it is sent again with another.
func TestUnansweredOnce(t *testing.T) {
	t.Run("no entry VM reached", func(t *testing.T) {
		server := httptest.NewServer(nil)
		server.Close()
		_, err := runCommand(t, "query", "heat", "crew", "--non-idempotent", "--shard", "s0", "--server", server.URL)
		assertExit(t, err, exitFailed)
	})
	for name, test := range map[string]struct {
		answer string
		code   int
	}{
		"connection closed":       {"", exitUnknown},
		"closed in the answer":    {"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{", exitUnknown},
		"answer of a proxy":       {"HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n", exitUnknown},
		"refused before any work": {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 40\r\n\r\n{\"kind\":\"overloaded\",\"outcome\":\"notRun\"}", exitFailed},
	} {
		t.Run(name, func(t *testing.T) {
			bodies := make(chan string, 10)
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
				body, _ := io.ReadAll(request.Body)
				bodies <- string(body)
				conn, _, err := http.NewResponseController(writer).Hijack()
				assert.Check(t, err)
				_, _ = conn.Write([]byte(test.answer))
				_ = conn.(*net.TCPConn).Close()
			}))
			t.Cleanup(server.Close)
			_, err := runCommand(t, "query", "heat", "crew", "--non-idempotent", "--shard", "s0", "--server", server.URL)
			assertExit(t, err, test.code)
			_, after, _ := strings.Cut(<-bodies, `"id":"`)
			id, _, _ := strings.Cut(after, `"`)
			assert.Equal(t, strings.Contains(err.Error(), id), test.code == exitUnknown, err.Error())
			assert.Equal(t, len(bodies), 0, "sent more than once")
		})
	}
}
