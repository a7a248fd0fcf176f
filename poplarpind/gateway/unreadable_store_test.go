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

	"poplarpin.dev/platform/platformtest"
)

// TestUnreadableAnswers guards against a VM that asks several times a second for an answer of the store that stays unreadable.
func TestUnreadableAnswers(t *testing.T) {
	store, _ := newDeployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	reads := func() int { return storeCallCount(t, "list.servers") + storeCallCount(t, "watch.servers") }
	before := reads()
	store.PutText("servers", "odd", `{"a":[}`)
	time.Sleep(6 * time.Second)
	assert.Check(t, reads()-before <= 15, "%d reads", reads()-before)
	store.Put("servers", "odd", nil)
	store.Put("servers", "new", platformtest.NewTarget(t, "new").Spec("s1", "a", "ready"))
	mended := reads()
	waitFor(t, "the new target", func() bool { return vm.gateway.Dump().Endpoint("new").State == "ready" })
	assert.Check(t, reads()-mended <= 3, "%d reads until the new target was known", reads()-mended)
}

// TestUnreadableLists guards against a VM that does not follow the targets although it can read the watches, because it cannot read a list.
func TestUnreadableLists(t *testing.T) {
	store, _ := newDeployment(t)
	var lists, watches atomic.Bool // are unreadable
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		isWatch := request.URL.Query().Has("watch")
		if request.URL.Path == "/objects/servers" && (!isWatch && lists.Load() || isWatch && watches.Swap(false)) {
			_, _ = writer.Write([]byte(`{"items":[{"meta":`))
			return
		}
		store.ServeHTTP(writer, request)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress = strings.TrimPrefix(server.URL, "http://")
	vm := startVMWith(t, settings, zap.NewNop())
	waitFor(t, "ready", vm.gateway.Ready)
	lists.Store(true)
	watches.Store(true)
	store.Put("servers", "next", platformtest.NewTarget(t, "next").Spec("s1", "a", "ready")) // ends the watch in flight
	waitFor(t, "an unreadable watch", func() bool { return !watches.Load() })
	store.Put("servers", "new", platformtest.NewTarget(t, "new").Spec("s1", "a", "ready"))
	waitFor(t, "the new target", func() bool { return vm.gateway.Dump().Endpoint("new").State == "ready" })
}
