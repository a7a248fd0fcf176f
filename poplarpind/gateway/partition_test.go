package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
)

// partition stands between a VM and the store. Calls that it interrupts never end, as on connections that lost their packets.
type partition struct {
	store http.Handler
	cut   atomic.Bool
	cuts  atomic.Int64
}

// ServeHTTP implements http.Handler.
func (partition *partition) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	cuts, answer := partition.cuts.Load(), httptest.NewRecorder()
	if !partition.cut.Load() {
		partition.store.ServeHTTP(answer, request)
	}
	if partition.cut.Load() || partition.cuts.Load() != cuts {
		<-request.Context().Done()
		return
	}
	writer.WriteHeader(answer.Code)
	_, _ = writer.Write(answer.Body.Bytes())
}

// TestKeyAfterPartition guards against a watch on a connection from before a partition: it brought the configuration only after its
// timeout, while pings made the view count as current, so that a new key got 401.
func TestKeyAfterPartition(t *testing.T) {
	store, _ := newDeployment(t)
	store.Put("config", "main", accountConfig(2, account("alpha", "k-1")))
	between := &partition{store: store}
	server := httptest.NewServer(between)
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress, settings.Bounds.MaxConfigDelay = strings.TrimPrefix(server.URL, "http://"), testMaxViewAge
	vm := startVMWith(t, settings, zap.NewNop())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	waitFor(t, "ready", vm.gateway.Ready)
	waitFor(t, "a current view", func() bool { return vm.doWith(t, "/o/x", bearer("k-2")).StatusCode == 401 })
	between.cuts.Add(1)
	between.cut.Store(true)
	store.Put("config", "main", accountConfig(3, account("alpha", "k-2")))
	time.Sleep(2 * testMaxViewAge)
	vm.assertStatus(t, "k-2", 503)
	between.cut.Store(false)
	started := time.Now()
	waitFor(t, "the new key", func() bool {
		status := vm.doWith(t, "/o/x", bearer("k-2")).StatusCode
		assert.Assert(t, status != 401, "after %s", time.Since(started))
		return status == 200
	})
	assert.Assert(t, time.Since(started) < 5*time.Second, "a configuration must be in force 5 s after the end of a partition")
}
