package follow

import (
	"slices"

	"poplarpin.dev/core/rpc"
)

const maxTombstones = 2000 // above it those up to the cached revision are dropped; tombstones keep older updates from restoring deleted targets

// StoreCache holds the objects of the store that a VM knows, with their revisions, from whichever source they came.
type StoreCache struct {
	config         *rpc.StoreObject
	targets        map[string]rpc.StoreObject // by name, tombstones included
	tombstones     int
	revision       int64 // up to which all changes of targets are known
	tombstoneFloor int64 // revision up to which tombstones were dropped
}

// NewStoreCache returns an empty cache.
func NewStoreCache() *StoreCache { return &StoreCache{targets: map[string]rpc.StoreObject{}} }

// UpdateConfig stores a configuration if it is newer than the cached one and reports whether it is.
func (storeCache *StoreCache) UpdateConfig(object rpc.StoreObject) bool {
	if object.Deleted || storeCache.config != nil && storeCache.config.Revision >= object.Revision {
		return false
	}
	storeCache.config = &object
	return true
}

// UpdateTarget stores a target or its tombstone if it is newer than the cached one and reports whether it is.
func (storeCache *StoreCache) UpdateTarget(object rpc.StoreObject) bool {
	before, ok := storeCache.targets[object.Name]
	if ok && before.Revision >= object.Revision {
		return false
	}
	if before.Deleted {
		storeCache.tombstones--
	}
	if object.Deleted {
		storeCache.tombstones++
		object.Spec = nil
	}
	storeCache.targets[object.Name] = object
	if storeCache.tombstones > maxTombstones {
		storeCache.dropTombstones()
	}
	return true
}

// dropTombstones deletes the tombstones up to the cached revision. Peers that know less get a full list. Later tombstones follow a gap
// and stay: the updates that fill the gap may still contain the deleted targets.
func (storeCache *StoreCache) dropTombstones() {
	for name, object := range storeCache.targets {
		if object.Deleted && object.Revision <= storeCache.revision {
			delete(storeCache.targets, name)
			storeCache.tombstones--
		}
	}
	storeCache.tombstoneFloor = storeCache.revision
}

// Apply merges an update and returns the objects that were newer than the cached ones, in order. An update that follows a gap after the
// cached revision is merged too, but the revision stays, so that the gap is requested.
func (storeCache *StoreCache) Apply(update rpc.StoreUpdate) (config *rpc.StoreObject, targets []rpc.StoreObject) {
	if update.Config != nil && storeCache.UpdateConfig(*update.Config) {
		config = update.Config
	}
	objects := update.Servers
	if update.Full {
		listed := map[string]bool{}
		for _, object := range objects {
			listed[object.Name] = true
		}
		objects = append(slices.Clone(objects), storeCache.Tombstones(listed, update.Through, false)...)
		storeCache.tombstoneFloor = max(storeCache.tombstoneFloor, update.Through) // a full list does not show earlier deletions
	}
	for _, object := range objects {
		if storeCache.UpdateTarget(object) {
			targets = append(targets, object)
		}
	}
	if update.Full || update.Since <= storeCache.revision {
		storeCache.AdvanceTo(update.Through)
	}
	return config, targets
}

// AdvanceTo records that all changes of targets up to a revision are known.
func (storeCache *StoreCache) AdvanceTo(revision int64) {
	storeCache.revision = max(storeCache.revision, revision)
}

// Tombstones returns tombstones for the cached targets that are older than a full list of this revision and not on it.
func (storeCache *StoreCache) Tombstones(listed map[string]bool, revision int64, lapsed bool) []rpc.StoreObject {
	var tombstones []rpc.StoreObject
	for name, object := range storeCache.targets {
		if !listed[name] && !object.Deleted && object.Revision < revision {
			tombstones = append(tombstones, rpc.StoreObject{Name: name, Revision: revision, Deleted: true, Lapsed: lapsed})
		}
	}
	slices.SortFunc(tombstones, compareRevisions)
	return tombstones
}

// Revisions returns the cached revisions, from which updates are requested.
func (storeCache *StoreCache) Revisions() rpc.StoreRevisions {
	revisions := rpc.StoreRevisions{Servers: storeCache.revision}
	if storeCache.config != nil {
		revisions.Config = storeCache.config.Revision
	}
	return revisions
}

// UpdateSince returns the changes after the revisions that a peer knows, or a full list if the peer knows no targets yet or tombstones
// after its revision were dropped.
func (storeCache *StoreCache) UpdateSince(revisions rpc.StoreRevisions, storeReachable bool) rpc.StoreUpdate {
	update := rpc.StoreUpdate{StoreReachable: storeReachable}
	if storeCache.config != nil && storeCache.config.Revision > revisions.Config {
		update.Config = storeCache.config
	}
	if storeCache.revision <= revisions.Servers {
		return update
	}
	update.Since, update.Through = revisions.Servers, storeCache.revision
	update.Full = revisions.Servers < storeCache.tombstoneFloor || revisions.Servers == 0
	for _, object := range storeCache.targets {
		if update.Full && !object.Deleted || !update.Full && object.Revision > revisions.Servers {
			update.Servers = append(update.Servers, object)
		}
	}
	slices.SortFunc(update.Servers, compareRevisions)
	return update
}

// compareRevisions orders objects by revision, then by name.
func compareRevisions(a, b rpc.StoreObject) int {
	switch {
	case a.Revision != b.Revision:
		return int(a.Revision - b.Revision)
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}
