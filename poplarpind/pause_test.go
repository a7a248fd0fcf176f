package main_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestPausedProcess guards against a request that is not idempotent and runs after its client's time: it waited in the socket while the
// process stood still, and its client may have sent it to another VM as a new request.
func TestPausedProcess(t *testing.T) {
	store, target := platformtest.NewStore(t), platformtest.NewTarget(t, "i-1")
	store.Put("servers", "i-1", target.Spec("one", "a", "ready"))
	store.Put("config", "main", platformtest.Config(1))
	process := startProcess(t, build(t), store)
	assert.Equal(t, post(t, process, func() {}), http.StatusOK)
	assert.Equal(t, target.Calls.Load(), int64(1))
	time.Sleep(time.Second) // some ticks, so that the pause is the only late one
	process.pause(t)
	status := post(t, process, func() {
		time.Sleep(2 * clientTimeout)
		process.signal(t, syscall.SIGCONT)
	})
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, target.Calls.Load(), int64(1))
}

const clientTimeout = time.Second

// post sends a request that is not idempotent, calls meanwhile, and returns the status of the response.
func post(t *testing.T, process *process, meanwhile func()) int {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(process.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	request := platformtest.NewRequest(t, http.MethodPost, process.url+"/o/x", []byte("b"))
	platformtest.SetTimeout(request, clientTimeout)
	assert.NilError(t, request.Write(conn))
	meanwhile()
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	assert.NilError(t, err)
	defer response.Body.Close()
	return response.StatusCode
}
