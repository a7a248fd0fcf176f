package gateway_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestClientRequestsRunOnce guards against a client's request that is handled twice: pipelined, sent after a "100 Continue", or by HTTP/1.0.
func TestClientRequestsRunOnce(t *testing.T) {
	store, targets := newDeployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	var mu sync.Mutex
	runs := map[string]int{}
	for _, id := range []string{"i-3", "i-4"} {
		targets[id].SetHandler(func(writer http.ResponseWriter, request *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			runs[platformtest.RequestID(request)]++
			platformtest.Sign(writer, "i")
		})
	}
	post := func(id, version, headers string) string {
		return "POST /o/x HTTP/" + version + "\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\n" + headers + "Content-Length: 1\r\n\r\nb"
	}
	for name, requests := range map[string][]string{
		"pipelined":          {post("p1", "1.1", ""), post("p2", "1.1", ""), post("p3", "1.1", "")},
		"after 100 Continue": {post("e1", "1.1", "Expect: 100-continue\r\n"), post("e2", "1.1", "")},
		"by HTTP/1.0":        {post("o1", "1.0", "Connection: keep-alive\r\n"), post("o2", "1.0", "")},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", strings.TrimPrefix(vm.clients.URL, "http://"))
			assert.NilError(t, err)
			defer conn.Close()
			_, err = conn.Write([]byte(strings.Join(requests, "")))
			assert.NilError(t, err)
			reader := bufio.NewReader(conn)
			for answered := 0; answered < len(requests); {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				if response.StatusCode != http.StatusContinue {
					assert.Equal(t, response.StatusCode, http.StatusOK)
					answered++
				}
				assert.NilError(t, response.Body.Close())
			}
		})
	}
	mu.Lock()
	defer mu.Unlock()
	assert.DeepEqual(t, runs, map[string]int{"p1": 1, "p2": 1, "p3": 1, "e1": 1, "e2": 1, "o1": 1, "o2": 1})
}
