package gateway_test

import (
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// assertEvacuated waits until a failure domain is evacuated on all VMs, or is not.
func assertEvacuated(t *testing.T, vms []*vm, failureDomain string, expected bool) {
	t.Helper()
	for _, vm := range vms {
		waitFor(t, "the evacuation of "+failureDomain, func() bool { return slices.Contains(vm.gateway.Dump().Evacuated, failureDomain) == expected })
	}
}

// assertNotCalled sends requests through all VMs and checks that they succeed without calls to a target.
func assertNotCalled(t *testing.T, vms []*vm, target *platformtest.Target) {
	t.Helper()
	before := target.Calls.Load()
	for _, vm := range vms {
		for range 6 {
			assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", nil).StatusCode, 200)
		}
	}
	assert.Equal(t, target.Calls.Load(), before)
}

// waitForWatcher waits until one of the VMs of a failure domain watches the store and the others are its subscribers.
func waitForWatcher(t *testing.T, vms []*vm) {
	t.Helper()
	waitFor(t, "a single watcher", func() bool {
		count := 0
		for _, vm := range vms {
			if vm.gateway.Dump().WatchingStore {
				count++
			}
		}
		return count == 1
	})
}

// TestEvacuation guards against calls to targets of an evacuated failure domain by the VM that watches the store, by a subscriber, and by
// a VM that starts from a seed while the store is unavailable.
func TestEvacuation(t *testing.T) {
	store, targets := newDeployment(t)
	store.Put("servers", "i-3", targets["i-3"].Spec("one", "b", "ready"))
	vms := []*vm{startVM(t, "vm-a1", "a", store), startVM(t, "vm-a2", "a", store)}
	for _, vm := range vms {
		waitFor(t, "ready", vm.gateway.Ready)
	}
	waitForWatcher(t, vms)
	waitFor(t, "a watch of the kind, which has no objects", func() bool { return store.Watches("evacuations") > 0 })
	store.Put("evacuations", "a", map[string]any{})
	assertEvacuated(t, vms, "a", true)
	assertNotCalled(t, vms, targets["i-4"])
	store.SetDown(true)
	started := startVM(t, "vm-a3", "a", store, vms[0].peerAddress)
	waitFor(t, "the state from the seed", started.gateway.Ready)
	assertNotCalled(t, []*vm{started}, targets["i-4"])
	store.SetDown(false)
	store.Put("evacuations", "a", nil)
	assertEvacuated(t, append(vms, started), "a", false)
}
