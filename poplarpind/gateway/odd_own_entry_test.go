package gateway_test

import (
	"encoding/json"
	"expvar"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// storeCallCount returns how many calls of an operation and use the program has made.
func storeCallCount(t *testing.T, call string) int {
	t.Helper()
	var calls map[string]json.Number
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get("storeCalls").String()), &calls))
	count, _ := strconv.Atoi(calls[call].String())
	return count
}

// TestOddOwnEntry guards against a VM that writes its entry every second because another writer's stands in its place, which it leaves alone.
func TestOddOwnEntry(t *testing.T) {
	store := platformtest.NewStore(t)
	store.PutText(platform.VMsKind, "a1", "[]")
	startVM(t, "a1", "a", store)
	reads, writes := storeCallCount(t, "list.entryvms"), storeCallCount(t, "create.entryvms")
	waitFor(t, "the list of VMs is read again", func() bool { return storeCallCount(t, "list.entryvms") >= reads+4 })
	assert.Assert(t, storeCallCount(t, "create.entryvms") <= writes+1, "%d writes", storeCallCount(t, "create.entryvms")-writes)
	assert.Equal(t, string(store.Specs(platform.VMsKind)["a1"]), "[]")
}
