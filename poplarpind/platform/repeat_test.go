package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/object"
	"poplarpin.dev/poplarpind/platform"
)

// TestWriteMadeOnce guards against a write of a claim that the end of a kept connection repeats, or that counts as not made although it may have been.
func TestWriteMadeOnce(t *testing.T) {
	for name, answer := range map[string]string{"closed after the write": "", "closed in the answer": "HTTP/1.1 204 No Content\r\nObject-Ver"} {
		for way, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+", "+way, func(t *testing.T) {
				var writes atomic.Int32
				server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
					if request.Method == http.MethodGet {
						writer.Header().Set(object.VersionHeader, "1")
						return
					}
					writes.Add(1)
					conn, _, err := http.NewResponseController(writer).Hijack()
					assert.Check(t, err)
					_, _ = conn.Write([]byte(answer))
					if reset {
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					_ = conn.Close()
				}))
				t.Cleanup(server.Close)
				client := platform.New(server.URL, "d")
				_, err := client.GetClaim(context.Background(), "claims/s/r")
				assert.NilError(t, err)
				_, err = client.PutClaim(context.Background(), "claims/s/r", 0, []byte("{}"))
				assert.Equal(t, platform.KindOf(err), platform.Lost)
				assert.Equal(t, writes.Load(), int32(1))
			})
		}
	}
}
