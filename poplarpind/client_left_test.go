package main_test

import (
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestClientLeftBeforeItsRequestWasRead guards against calls to targets for a client that has left while its request waited in the socket, as
// on a VM that is short of processor.
func TestClientLeftBeforeItsRequestWasRead(t *testing.T) {
	store, target := platformtest.NewStore(t), platformtest.NewTarget(t, "i-1")
	store.Put("servers", "i-1", target.Spec("s", "a", "ready"))
	config := platformtest.Config(1)
	config["routes"] = append(config["routes"].([]map[string]any), platformtest.PublicRoute("p", "/p/", "s"))
	store.Put("config", "main", config)
	t.Setenv("GOMAXPROCS", "1") // as on the users' machines
	process := startProcess(t, build(t), store)
	send := func() *net.TCPConn {
		conn, err := net.Dial("tcp", strings.TrimPrefix(process.url, "http://"))
		assert.NilError(t, err)
		assert.NilError(t, platformtest.NewRequest(t, http.MethodGet, process.url+"/p/x", nil).Write(conn))
		return conn.(*net.TCPConn)
	}
	serve := func() {
		conn := send()
		defer conn.Close()
		_, err := conn.Read(make([]byte, 1))
		assert.NilError(t, err)
	}
	serve() // opens the connection to the target
	process.pause(t)
	assert.NilError(t, send().Close())
	process.signal(t, syscall.SIGCONT)
	serve()
	time.Sleep(100 * time.Millisecond) // for a call of the request before
	assert.Equal(t, target.Calls.Load(), int64(2))
}
