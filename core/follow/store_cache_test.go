package follow_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/rpc"
)

// liveTargets returns the revisions of the targets that are not deleted, by name.
func liveTargets(storeCache *follow.StoreCache) map[string]int64 {
	entries := map[string]int64{}
	for _, entry := range storeCache.UpdateSince(rpc.StoreRevisions{}, true).Servers {
		entries[entry.Name] = entry.Revision
	}
	return entries
}

// TestStoreCachesConverge guards against a cache that misses a change or restores a deleted target when its VM receives updates from several peers, out of order
// and with gaps, from a VM that has restarted or has listed the store anew, or as the late state of a seed. After a last update the cache must
// equal the store.
func TestStoreCachesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watcher, forwarder, follower := follow.NewStoreCache(testContents{}), follow.NewStoreCache(testContents{}), follow.NewStoreCache(testContents{})
		store := &store{targets: map[string]int64{}}
		late := forwarder.UpdateSince(rpc.StoreRevisions{}, true)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1:
				name := fmt.Sprintf("i%d", rapid.IntRange(0, 6).Draw(t, "name"))
				store.change(name, rapid.Bool().Draw(t, "delete"))
				if rapid.Bool().Draw(t, "watched") {
					store.watch(watcher)
				}
			case 2:
				forwarder.Apply(watcher.UpdateSince(forwarder.Revisions(), true))
			case 3:
				follower.Apply(watcher.UpdateSince(follower.Revisions(), true))
			case 4:
				follower.Apply(forwarder.UpdateSince(follower.Revisions(), true)) // the forwarder may be behind
			case 5: // a single change; earlier ones may have been lost
				if revision := watcher.Revisions().Servers; revision > 0 {
					follower.Apply(watcher.UpdateSince(rpc.StoreRevisions{Servers: revision - 1}, true))
				}
			case 6: // the history since the last watch is gone
				watcher.Apply(store.list())
			case 7:
				watcher = follow.NewStoreCache(testContents{})
				watcher.Apply(store.list())
			case 8:
				watcher, forwarder = forwarder, watcher
			case 9:
				follower.Apply(late)
				watcher.Apply(late)
				late = forwarder.UpdateSince(rpc.StoreRevisions{}, true)
			}
		}
		store.watch(watcher)
		follower.Apply(watcher.UpdateSince(follower.Revisions(), true))
		assert.DeepEqual(t, liveTargets(follower), store.targets)
		assert.DeepEqual(t, liveTargets(watcher), store.targets)
	})
}

// store is a store without eras.
type store struct {
	targets  map[string]int64 // revision by name
	revision int64
	events   []rpc.StoreObject
}

// change deletes a target that is there, or writes it.
func (store *store) change(name string, deletes bool) {
	store.revision++
	_, listed := store.targets[name]
	event := rpc.StoreObject{Name: name, Revision: store.revision, Spec: json.RawMessage(`{}`), Deleted: deletes && listed}
	if event.Deleted {
		delete(store.targets, name)
	} else {
		store.targets[name] = store.revision
	}
	store.events = append(store.events, event)
}

// watch applies the changes that a cache lacks.
func (store *store) watch(storeCache *follow.StoreCache) {
	var missed []rpc.StoreObject
	for _, event := range store.events {
		if event.Revision > storeCache.Revisions().Servers {
			missed = append(missed, event)
		}
	}
	storeCache.Apply(rpc.StoreUpdate{Servers: missed, Since: storeCache.Revisions().Servers, Through: store.revision})
}

func (store *store) list() rpc.StoreUpdate {
	update := rpc.StoreUpdate{Full: true, Through: store.revision}
	for name, revision := range store.targets {
		update.Servers = append(update.Servers, rpc.StoreObject{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)})
	}
	return update
}

func TestOlderUpdatesAreIgnored(t *testing.T) {
	storeCache := follow.NewStoreCache(testContents{})
	assert.Assert(t, storeCache.UpdateTarget(rpc.StoreObject{Name: "i", Revision: 5, Deleted: true}))
	assert.Assert(t, !storeCache.UpdateTarget(rpc.StoreObject{Name: "i", Revision: 4}))
	assert.Assert(t, storeCache.UpdateConfig(rpc.StoreObject{Revision: 5}))
	assert.Assert(t, !storeCache.UpdateConfig(rpc.StoreObject{Revision: 5}))
	assert.Assert(t, !storeCache.UpdateConfig(rpc.StoreObject{Revision: 9, Deleted: true}))
}

// TestTombstonesAfterGap guards against deleted targets that come back. Deletions may arrive while an earlier update is still missing;
// when too many tombstones are dropped, those after the gap must stay, since the missing update may still contain their targets.
func TestTombstonesAfterGap(t *testing.T) {
	const deleted = 2100 // more than the cache keeps tombstones
	storeCache := follow.NewStoreCache(testContents{})
	storeCache.Apply(rpc.StoreUpdate{Through: 1, Full: true})
	var created, removed []rpc.StoreObject
	for i := range deleted {
		name := fmt.Sprintf("i%d", i)
		created = append(created, rpc.StoreObject{Name: name, Revision: int64(2 + i), Spec: json.RawMessage(`{}`)})
		removed = append(removed, rpc.StoreObject{Name: name, Revision: int64(2 + deleted + i), Deleted: true})
	}
	storeCache.Apply(rpc.StoreUpdate{Servers: removed, Since: 1 + deleted, Through: 1 + 2*deleted})
	storeCache.Apply(rpc.StoreUpdate{Servers: created, Since: 1, Through: 1 + deleted})
	assert.Equal(t, len(liveTargets(storeCache)), 0)
	storeCache.Apply(rpc.StoreUpdate{Servers: removed, Since: 1 + deleted, Through: 1 + 2*deleted})
	assert.Equal(t, storeCache.Revisions().Servers, int64(1+2*deleted))
	assert.Equal(t, len(liveTargets(storeCache)), 0)
}

// TestFullLists guards against a full list that adds no targets, and against one of an earlier time that brings back targets that have been deleted.
func TestFullLists(t *testing.T) {
	full := func(era, through int64, revisions map[string]int64) rpc.StoreUpdate {
		update := rpc.StoreUpdate{Full: true, Era: era, Through: through}
		for name, revision := range revisions {
			update.Servers = append(update.Servers, rpc.StoreObject{Name: name, Era: era, Revision: revision, Spec: json.RawMessage(`{}`)})
		}
		return update
	}
	for _, era := range []int64{0, 1} {
		t.Run(fmt.Sprintf("era %d", era), func(t *testing.T) {
			storeCache := follow.NewStoreCache(testContents{})
			storeCache.Apply(full(era, 5, map[string]int64{"i1": 2, "i2": 4}))
			storeCache.Apply(full(era, 6, map[string]int64{"i1": 2}))
			storeCache.Apply(full(era, 9, map[string]int64{"i1": 2, "i3": 8}))
			assert.DeepEqual(t, liveTargets(storeCache), map[string]int64{"i1": 2, "i3": 8})
			// At 8, i2 was there again, which the list of 9 does not show.
			storeCache.Apply(full(era, 8, map[string]int64{"i1": 2, "i2": 7, "i4": 8}))
			assert.DeepEqual(t, liveTargets(storeCache), map[string]int64{"i1": 2, "i3": 8})
		})
	}
}
