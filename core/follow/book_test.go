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

// live returns the entries that are not gone, by name.
func live(book *follow.StoreCache) map[string]int64 {
	entries := map[string]int64{}
	for _, entry := range book.UpdateSince(rpc.StoreRevisions{}, true).Servers {
		entries[entry.Name] = entry.Revision
	}
	return entries
}

// TestBooksAgree checks that a VM that learns from others, in any order and with gaps, comes to know what the store holds.
func TestBooksAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		watcher, other, follower := follow.NewStoreCache(), follow.NewStoreCache(), follow.NewStoreCache()
		store, revision := map[string]int64{}, int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 5: // one change alone, those before it may have been lost
				if revision > 0 {
					news := watcher.UpdateSince(rpc.StoreRevisions{Servers: revision - 1}, true)
					follower.Apply(news)
				}
			case 0, 1:
				revision++
				name := fmt.Sprintf("i%d", rapid.IntRange(0, 6).Draw(t, "name"))
				entry := rpc.StoreObject{Name: name, Revision: revision, Spec: json.RawMessage(`{}`)}
				if _, ok := store[name]; ok && rapid.Bool().Draw(t, "delete") {
					entry.Deleted = true
					delete(store, name)
				} else {
					store[name] = revision
				}
				watcher.UpdateTarget(entry)
				watcher.AdvanceTo(revision)
			case 2:
				other.Apply(watcher.UpdateSince(other.Revisions(), true))
			case 3:
				follower.Apply(watcher.UpdateSince(follower.Revisions(), true))
			case 4:
				follower.Apply(other.UpdateSince(follower.Revisions(), true)) // may be behind
			}
		}
		follower.Apply(watcher.UpdateSince(follower.Revisions(), true))
		assert.DeepEqual(t, live(follower), store)
		assert.DeepEqual(t, live(watcher), store)
	})
}

func TestOlderNewsDoNoHarm(t *testing.T) {
	book := follow.NewStoreCache()
	assert.Assert(t, book.UpdateTarget(rpc.StoreObject{Name: "i", Revision: 5, Deleted: true}))
	assert.Assert(t, !book.UpdateTarget(rpc.StoreObject{Name: "i", Revision: 4}))
	assert.Assert(t, book.UpdateConfig(rpc.StoreObject{Revision: 5}))
	assert.Assert(t, !book.UpdateConfig(rpc.StoreObject{Revision: 5}))
	assert.Assert(t, !book.UpdateConfig(rpc.StoreObject{Revision: 9, Deleted: true}))
}
