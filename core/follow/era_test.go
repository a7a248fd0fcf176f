package follow_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/rpc"
)

// entry returns a target's entry that it wrote as its seq-th.
func entry(name string, era, revision int64, state string, seq int) rpc.StoreObject {
	return rpc.StoreObject{Name: name, Era: era, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(`{"state":%q,"born":7,"seq":%d}`, state, seq))}
}

func deleted(name string, era, revision int64) rpc.StoreObject {
	return rpc.StoreObject{Name: name, Era: era, Revision: revision, Deleted: true}
}

func configOf(era, revision int64, version int) rpc.StoreObject {
	return rpc.StoreObject{Name: "main", Era: era, Revision: revision, Spec: json.RawMessage(fmt.Sprintf(`{"version":%d}`, version))}
}

// listOf returns the full list of an era.
func listOf(era, revision int64, entries ...rpc.StoreObject) rpc.StoreUpdate {
	return rpc.StoreUpdate{Era: era, Through: revision, Full: true, Servers: entries}
}

// cacheOf returns a cache of era 1 at revision 90 that has seen a target drain, one being deleted and one serve.
func cacheOf() *follow.StoreCache {
	storeCache := follow.NewStoreCache(testContents{})
	storeCache.Apply(listOf(1, 80, entry("drained", 1, 10, "ready", 3), entry("removed", 1, 11, "ready", 3), entry("serving", 1, 12, "ready", 3)))
	storeCache.Apply(rpc.StoreUpdate{Era: 1, Since: 80, Through: 90, Servers: []rpc.StoreObject{entry("drained", 1, 85, "draining", 4), deleted("removed", 1, 86)}})
	return storeCache
}

// restored is the first list of era 2, from a copy before the changes that cacheOf has seen.
func restored() rpc.StoreUpdate {
	return listOf(2, 80, entry("drained", 2, 10, "ready", 3), entry("removed", 2, 11, "ready", 3), entry("serving", 2, 12, "ready", 3))
}

// assertStates checks the states of the targets that a cache holds.
func assertStates(t *testing.T, storeCache *follow.StoreCache, expected map[string]string) {
	t.Helper()
	states := map[string]string{}
	for _, object := range storeCache.UpdateSince(rpc.StoreRevisions{}, true).Servers {
		var spec struct{ State string }
		if !object.Deleted {
			assert.NilError(t, json.Unmarshal(object.Spec, &spec))
			states[object.Name] = spec.State
		}
	}
	assert.DeepEqual(t, states, expected)
}

var beforeRestore = map[string]string{"drained": "draining", "serving": "ready"}

// TestFirstListOfEra guards against targets that were seen draining or deleted and return with the list of a restored store.
func TestFirstListOfEra(t *testing.T) {
	t.Run("seen states stay", func(t *testing.T) {
		storeCache := cacheOf()
		_, changes := storeCache.Apply(restored())
		assert.Equal(t, len(changes), 0)
		assertStates(t, storeCache, beforeRestore)
		_, changes = storeCache.Apply(restored()) // listed again, for instance after an outage
		assert.Equal(t, len(changes), 0)
		assertStates(t, storeCache, beforeRestore)
	})
	t.Run("targets return when they write again", func(t *testing.T) {
		storeCache := cacheOf()
		storeCache.Apply(restored())
		storeCache.Apply(rpc.StoreUpdate{Era: 2, Since: 80, Through: 83, Servers: []rpc.StoreObject{entry("drained", 2, 82, "ready", 3), entry("removed", 2, 83, "ready", 3)}})
		assertStates(t, storeCache, map[string]string{"drained": "ready", "removed": "ready", "serving": "ready"})
	})
	t.Run("a target that wrote before the first list returns with it", func(t *testing.T) {
		storeCache := cacheOf()
		storeCache.Apply(listOf(2, 84, entry("drained", 2, 10, "ready", 3), entry("removed", 2, 83, "ready", 5), entry("serving", 2, 12, "ready", 3)))
		assertStates(t, storeCache, map[string]string{"drained": "draining", "removed": "ready", "serving": "ready"})
	})
	t.Run("a state that shows no sequence stays", func(t *testing.T) {
		storeCache := follow.NewStoreCache(testContents{})
		storeCache.Apply(listOf(1, 80, entry("drained", 1, 70, "draining", 3)))
		storeCache.Apply(listOf(2, 60, entry("drained", 2, 10, "ready", 3)))
		assertStates(t, storeCache, map[string]string{"drained": "draining"})
	})
	t.Run("a later entry stays", func(t *testing.T) {
		storeCache := follow.NewStoreCache(testContents{})
		storeCache.Apply(listOf(1, 80, entry("returned", 1, 70, "ready", 4)))
		storeCache.Apply(listOf(2, 60, entry("returned", 2, 10, "draining", 3)))
		assertStates(t, storeCache, map[string]string{"returned": "ready"})
	})
	t.Run("a missing target has lapsed", func(t *testing.T) {
		_, changes := cacheOf().Apply(listOf(2, 80))
		assert.Equal(t, len(changes), 2)
		for _, change := range changes {
			assert.Assert(t, change.Deleted && change.Lapsed)
		}
	})
	t.Run("a drained target that lapsed stays drained after the next restore", func(t *testing.T) {
		storeCache := cacheOf()
		storeCache.Apply(listOf(2, 80))
		storeCache.Apply(listOf(3, 70, entry("drained", 3, 10, "ready", 3)))
		assertStates(t, storeCache, map[string]string{"drained": "draining"})
	})
	t.Run("a VM that starts meanwhile takes nothing older from the store", func(t *testing.T) {
		watcher, started := cacheOf(), follow.NewStoreCache(testContents{})
		watcher.Apply(restored())
		started.Apply(watcher.UpdateSince(rpc.StoreRevisions{}, true))
		started.Apply(restored())
		assertStates(t, started, beforeRestore)
	})
}

// TestUpdatesAcrossEras guards against revisions that are compared across eras.
func TestUpdatesAcrossEras(t *testing.T) {
	t.Run("a subscriber of a lower era gets a full list", func(t *testing.T) {
		watcher, subscriber := cacheOf(), cacheOf()
		watcher.Apply(restored())
		watcher.Apply(rpc.StoreUpdate{Era: 2, Since: 80, Through: 82, Servers: []rpc.StoreObject{entry("removed", 2, 82, "ready", 3)}})
		update := watcher.UpdateSince(subscriber.Revisions(), true)
		assert.Assert(t, update.Full)
		subscriber.Apply(update)
		assert.DeepEqual(t, subscriber.Revisions(), watcher.Revisions())
		assertStates(t, subscriber, map[string]string{"drained": "draining", "removed": "ready", "serving": "ready"})
	})
	t.Run("an update of a lower era changes nothing", func(t *testing.T) {
		subscriber := cacheOf()
		subscriber.Apply(restored())
		_, changes := subscriber.Apply(rpc.StoreUpdate{Era: 1, Since: 90, Through: 99, Servers: []rpc.StoreObject{entry("new", 1, 99, "ready", 1)}})
		assert.Equal(t, len(changes), 0)
		assert.Equal(t, subscriber.Revisions().Servers, int64(80))
		assert.Equal(t, len(cacheOf().UpdateSince(subscriber.Revisions(), true).Servers), 0)
	})
	t.Run("a delayed list of the same era brings nothing back", func(t *testing.T) {
		subscriber := cacheOf()
		subscriber.Apply(listOf(2, 85, entry("serving", 2, 12, "ready", 3)))
		delayed := restored()
		delayed.Servers = append(delayed.Servers, entry("unknown", 2, 13, "ready", 1))
		subscriber.Apply(delayed)
		assertStates(t, subscriber, map[string]string{"serving": "ready"})
	})
	t.Run("a change of a higher era waits for the full list", func(t *testing.T) {
		subscriber := cacheOf()
		subscriber.Apply(rpc.StoreUpdate{Era: 2, Since: 80, Through: 99, Servers: []rpc.StoreObject{deleted("serving", 2, 99)}})
		assert.DeepEqual(t, subscriber.Revisions(), cacheOf().Revisions())
		assertStates(t, subscriber, beforeRestore)
	})
	t.Run("configurations are compared by version", func(t *testing.T) {
		storeCache := follow.NewStoreCache(testContents{})
		assert.Assert(t, storeCache.UpdateConfig(configOf(1, 90, 5)))
		assert.Assert(t, !storeCache.UpdateConfig(configOf(2, 80, 4)))
		assert.Assert(t, !storeCache.UpdateConfig(configOf(1, 95, 6)), "of a lower era")
		update := storeCache.UpdateSince(rpc.StoreRevisions{}, true)
		assert.Equal(t, string(update.Config.Spec), `{"version":5}`)
		assert.Assert(t, storeCache.UpdateConfig(configOf(2, 82, 6)))
	})
}

// TestMessagesWithoutEras guards against changed messages in deployments whose store has no eras.
func TestMessagesWithoutEras(t *testing.T) {
	storeCache := follow.NewStoreCache(testContents{})
	storeCache.Apply(listOf(0, 9, rpc.StoreObject{Name: "i", Revision: 3, Spec: json.RawMessage(`{}`)}))
	storeCache.UpdateConfig(rpc.StoreObject{Name: "main", Revision: 4, Spec: json.RawMessage(`{}`)})
	revisions, err := json.Marshal(storeCache.Revisions())
	assert.NilError(t, err)
	assert.Equal(t, string(revisions), `{"config":4,"servers":9}`)
	update, err := json.Marshal(storeCache.UpdateSince(rpc.StoreRevisions{}, true))
	assert.NilError(t, err)
	assert.Equal(t, string(update), `{"good":true,"config":{"name":"main","revision":4,"spec":{}},"servers":[{"name":"i","revision":3,"spec":{}}],"full":true,"through":9}`)
}
