package gateway_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// startVMs starts the VMs of a failure domain and waits until one watches the store and the others are its subscribers.
func startVMs(t *testing.T, store *platformtest.Store, names ...string) []*vm {
	t.Helper()
	vms := make([]*vm, len(names))
	for i, name := range names {
		vms[i] = startVM(t, name, "a", store)
	}
	for _, vm := range vms {
		waitFor(t, "ready", vm.gateway.Ready)
	}
	waitForWatcher(t, vms)
	waitFor(t, "the entries of the VMs", func() bool { return slices.Equal(store.Names("entryvms"), names) })
	return vms
}

// waitForEra waits until all VMs know an era.
func waitForEra(t *testing.T, vms []*vm, era int64) {
	t.Helper()
	for _, vm := range vms {
		waitFor(t, "era "+strconv.FormatInt(era, 10), func() bool { return vm.gateway.Dump().StoreEra == era })
	}
}

// waitForVersion waits until all VMs apply a version of the configuration.
func waitForVersion(t *testing.T, vms []*vm, version int64) {
	t.Helper()
	for _, vm := range vms {
		waitFor(t, "version "+strconv.FormatInt(version, 10), func() bool { return vm.gateway.Dump().ConfigVersion == version })
	}
}

// TestStoreRestored guards against VMs that go back with a store that lost what was written after a copy: the configuration, a drained
// target, a removed target, an evacuation and the VMs' own entries.
func TestStoreRestored(t *testing.T) {
	store, targets := newDeployment(t)
	targets["i-5"], targets["i-6"] = platformtest.NewTarget(t, "i-5"), platformtest.NewTarget(t, "i-6")
	store.Put("servers", "i-5", targets["i-5"].Spec("one", "a", "ready"))
	store.Put("servers", "i-6", targets["i-6"].Spec("one", "c", "ready"))
	store.SetEra(1)
	copied := store.Copy()
	vms := startVMs(t, store, "vm-a1", "vm-a2")
	store.Put("config", "main", platformtest.Config(2))
	store.Put("servers", "i-3", targets["i-3"].Spec("one", "a", "draining"))
	store.Put("servers", "i-5", nil)
	store.Put("evacuations", "c", map[string]any{})
	assertEvacuated(t, vms, "c", true)
	waitForVersion(t, vms, 2)
	for _, vm := range vms {
		waitFor(t, "the removal", func() bool { return vm.gateway.Dump().Endpoint("i-5").ID == "" })
		waitFor(t, "the drain", func() bool { return vm.gateway.Dump().Endpoint("i-3").State == "draining" })
	}
	time.Sleep(5 * time.Second) // until a subscriber reads the list of VMs every 20 s only
	store.Restore(copied)
	waitForEra(t, vms, 2)
	restored := time.Now()
	t.Run("nothing reverts", func(t *testing.T) {
		for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); {
			for _, vm := range vms {
				dump := vm.gateway.Dump()
				for _, peer := range vms {
					assert.Assert(t, peer == vm || dump.Endpoint(peer.gateway.Dump().VM).ID != "", "a peer is gone")
				}
				assert.Equal(t, dump.ConfigVersion, int64(2))
				assert.Equal(t, dump.Endpoint("i-5").ID, "")
				assert.DeepEqual(t, dump.Evacuated, []string{"c"})
			}
			for _, id := range []string{"i-3", "i-5", "i-6"} {
				assertNotCalled(t, vms, targets[id])
			}
		}
	})
	t.Run("the VMs' entries are written again soon", func(t *testing.T) {
		waitFor(t, "the entries", func() bool { return slices.Equal(store.Names("entryvms"), []string{"vm-a1", "vm-a2"}) })
		assert.Assert(t, time.Since(restored) < 4*time.Second)
	})
	t.Run("what is written again is applied", func(t *testing.T) {
		store.Put("config", "main", platformtest.Config(3))
		store.Put("servers", "i-3", targets["i-3"].Spec("one", "a", "ready"))
		waitForVersion(t, vms, 3)
		for _, vm := range vms {
			waitFor(t, "the drained target", func() bool { return vm.gateway.Dump().Endpoint("i-3").State == "ready" })
		}
	})
	t.Run("the lost evacuation ends", func(t *testing.T) { assertEvacuated(t, vms, "c", false) })
}

// TestTargetLostByRestore guards against a target that is dropped at once because the restored store lacks its entry.
func TestTargetLostByRestore(t *testing.T) {
	store, targets := newDeployment(t)
	store.SetEra(1)
	copied := store.Copy()
	vms := startVMs(t, store, "vm-a1", "vm-a2")
	targets["i-5"] = platformtest.NewTarget(t, "i-5")
	store.Put("servers", "i-5", targets["i-5"].Spec("one", "a", "ready"))
	for _, vm := range vms {
		waitFor(t, "the new target", func() bool { return vm.gateway.Dump().Endpoint("i-5").ID != "" })
	}
	store.Restore(copied)
	for _, vm := range vms {
		waitFor(t, "the lapsed entry", func() bool { return vm.gateway.Dump().Endpoint("i-5").Missing })
	}
	for _, vm := range vms {
		waitFor(t, "its removal", func() bool { return vm.gateway.Dump().Endpoint("i-5").ID == "" })
	}
	store.Put("servers", "i-5", targets["i-5"].Spec("one", "a", "ready"))
	for _, vm := range vms {
		waitFor(t, "the target that wrote again", func() bool { return vm.gateway.Dump().Endpoint("i-5").ID != "" })
	}
}

// TestEraHeaders guards against VMs that miss a restore, or stop following the store, when only some answers carry the era or carry a
// malformed or lower one.
func TestEraHeaders(t *testing.T) {
	only := func(carries func(*http.Request) bool) func(*http.Request, int64) string {
		return func(request *http.Request, era int64) string {
			if carries(request) {
				return strconv.FormatInt(era, 10)
			}
			return ""
		}
	}
	store, _ := newDeployment(t)
	copied := store.Copy()
	vms := startVMs(t, store, "vm-a1", "vm-a2")
	version, era := 1, int64(0)
	// writeAgain writes the next version and checks that all VMs follow the store, at revisions that were issued before.
	writeAgain := func(t *testing.T) {
		t.Helper()
		version++
		store.Put("config", "main", platformtest.Config(version))
		waitForVersion(t, vms, int64(version))
	}
	restore := func(t *testing.T) {
		t.Helper()
		writeAgain(t)
		store.Restore(copied)
		era++
		waitForEra(t, vms, era)
		writeAgain(t)
	}
	t.Run("in all answers, after a store without eras", restore)
	t.Run("only in stale reads", func(t *testing.T) {
		store.SetEraHeader(only(func(request *http.Request) bool { return request.URL.Query().Has("stale_ok") }))
		restore(t)
	})
	t.Run("only in answers to the watcher", func(t *testing.T) {
		store.SetEraHeader(only(func(request *http.Request) bool { return !strings.Contains(request.URL.Path, "entryvms") }))
		restore(t)
	})
	t.Run("only in errors", func(t *testing.T) {
		store.SetEraHeader(only(func(*http.Request) bool { return true }))
		store.SetDown(true)
		store.Restore(copied)
		era++
		waitForEra(t, vms[:1], era)
		store.SetEraHeader(only(func(*http.Request) bool { return false }))
		store.SetDown(false)
		writeAgain(t)
	})
	t.Run("malformed", func(t *testing.T) {
		store.SetEraHeader(func(*http.Request, int64) string { return "soon" })
		writeAgain(t)
		waitForEra(t, vms, era)
	})
	t.Run("falling", func(t *testing.T) {
		store.SetEraHeader(func(_ *http.Request, era int64) string { return strconv.FormatInt(era-1, 10) })
		store.Put("config", "main", platformtest.Config(version+1))
		time.Sleep(500 * time.Millisecond)
		waitForVersion(t, vms, int64(version))
		store.SetEraHeader(nil)
		waitForVersion(t, vms, int64(version+1))
	})
}

// TestSourceOfLowerEra guards against a VM that relies on another one whose store was replaced: the other VM does not know of the new era.
func TestSourceOfLowerEra(t *testing.T) {
	store, _ := newDeployment(t)
	store.SetEra(1)
	newer := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Store-Era", "2")
		store.ServeHTTP(keepEra{writer}, request)
	}))
	t.Cleanup(newer.Close)
	watcher, subscriber := newSettings(t, "vm-a1", "a", store), newSettings(t, "vm-a2", "a", store)
	watcher.Cores, subscriber.Cores, subscriber.StoreAddress = 2, 1, strings.TrimPrefix(newer.URL, "http://")
	vms := []*vm{startVMWith(t, watcher, zap.NewNop()), startVMWith(t, subscriber, zap.NewNop())}
	for _, vm := range vms {
		waitFor(t, "ready", vm.gateway.Ready)
	}
	time.Sleep(2 * time.Second) // until a VM that relies on the other would have stopped its own watch
	assert.Assert(t, vms[1].gateway.Dump().WatchingStore)
	assert.Equal(t, vms[1].gateway.Dump().StoreEra, int64(2))
	store.Put("config", "main", platformtest.Config(2))
	waitForVersion(t, vms, 2)
}

// keepEra is an answer whose era is already set.
type keepEra struct{ http.ResponseWriter }

// Header returns a copy, so that the era stays.
func (answer keepEra) Header() http.Header { return answer.ResponseWriter.Header().Clone() }
