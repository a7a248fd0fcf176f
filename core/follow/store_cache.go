package follow

import (
	"encoding/json"
	"slices"

	"poplarpin.dev/core/rpc"
)

const maxTombstones = 2000 // above it those up to the cached revision are dropped; tombstones keep older updates from restoring deleted targets

// StoreCache holds the objects of the store that a VM knows, with their revisions, from whichever source they came.
type StoreCache struct {
	contents       Contents
	config         *rpc.StoreObject
	targets        map[string]rpc.StoreObject // by name, tombstones included
	deletedSpecs   map[string]json.RawMessage // of the targets that have tombstones, by name
	tombstones     int
	era            int64 // of the following revisions
	revision       int64 // up to which all changes of targets are known
	tombstoneFloor int64 // revision up to which tombstones may be missing: they were dropped, or a list did not show the deletions before it
	firstList      int64 // revision of the era's first list; 0 for an era without a restore
}

// NewStoreCache returns an empty cache.
func NewStoreCache(contents Contents) *StoreCache {
	return &StoreCache{contents: contents, targets: map[string]rpc.StoreObject{}, deletedSpecs: map[string]json.RawMessage{}}
}

// UpdateConfig stores a configuration if it is newer than the cached one and reports whether it is. A store that has eras may list an
// older version again after a restore: its position is stored, the newer version stays.
func (storeCache *StoreCache) UpdateConfig(object rpc.StoreObject) bool {
	cached := storeCache.config
	if object.Deleted || cached != nil && !isNewer(object, *cached) {
		return false
	}
	if cached != nil && object.Era > 0 && storeCache.contents.ConfigVersion(object.Spec) <= storeCache.contents.ConfigVersion(cached.Spec) {
		object.Spec = cached.Spec
		storeCache.config = &object
		return false
	}
	storeCache.config = &object
	return true
}

// UpdateTarget stores a target or its tombstone if it is newer than the cached one and reports whether it is.
func (storeCache *StoreCache) UpdateTarget(object rpc.StoreObject) bool {
	before, ok := storeCache.targets[object.Name]
	if ok && !isNewer(object, before) {
		return false
	}
	if before.Deleted {
		storeCache.tombstones--
	}
	if object.Deleted {
		storeCache.tombstones++
		if !before.Deleted {
			storeCache.deletedSpecs[object.Name] = before.Spec
		}
		object.Spec = nil
	} else {
		delete(storeCache.deletedSpecs, object.Name)
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
		if object.Deleted && !rpc.IsAfter(object.Era, object.Revision, storeCache.era, storeCache.revision) {
			delete(storeCache.targets, name)
			delete(storeCache.deletedSpecs, name)
			storeCache.tombstones--
		}
	}
	storeCache.tombstoneFloor = storeCache.revision
}

// Apply merges an update and returns the objects that were newer than the cached ones, in order. An update that follows a gap after the
// cached revision is merged too, but the revision stays, so that the gap is requested. Targets of a lower era change nothing, and those of
// a higher era are merged only from a full list.
func (storeCache *StoreCache) Apply(update rpc.StoreUpdate) (config *rpc.StoreObject, targets []rpc.StoreObject) {
	if update.Config != nil && storeCache.UpdateConfig(*update.Config) {
		config = update.Config
	}
	if update.Era < storeCache.era || update.Era > storeCache.era && !update.Full {
		return config, nil
	}
	objects, entering, floor := update.Servers, update.Era > storeCache.era, storeCache.tombstoneFloor
	if entering {
		objects = storeCache.enterEra(update)
		floor = storeCache.tombstoneFloor
	} else if update.Full {
		listed := map[string]bool{}
		for _, object := range objects {
			listed[object.Name] = true
		}
		objects = append(slices.Clone(objects), storeCache.Tombstones(listed, update.Through, false)...)
		if update.Through > storeCache.revision { // the list does not show which targets came and went since the cached revision
			floor = update.Through
		}
	}
	for _, object := range objects {
		if !entering && storeCache.isOutdated(object) {
			continue
		}
		before := storeCache.targets[object.Name]
		if storeCache.UpdateTarget(object) && !(entering && sameContent(before, object)) {
			targets = append(targets, object)
		}
	}
	if update.Full || update.Since <= storeCache.revision {
		storeCache.AdvanceTo(update.Through)
	}
	storeCache.tombstoneFloor = max(storeCache.tombstoneFloor, floor)
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
		if !listed[name] && !object.Deleted && rpc.IsAfter(storeCache.era, revision, object.Era, object.Revision) {
			tombstones = append(tombstones, rpc.StoreObject{Name: name, Era: storeCache.era, Revision: revision, Deleted: true, Lapsed: lapsed})
		}
	}
	slices.SortFunc(tombstones, compareRevisions)
	return tombstones
}

// Revisions returns the cached revisions, from which updates are requested.
func (storeCache *StoreCache) Revisions() rpc.StoreRevisions {
	revisions := rpc.StoreRevisions{Servers: storeCache.revision, ServersEra: storeCache.era}
	if storeCache.config != nil {
		revisions.Config, revisions.ConfigEra = storeCache.config.Revision, storeCache.config.Era
	}
	return revisions
}

// KnowsDeletionsSince reports whether changes show all deletions after a revision, so that a VM that knows this revision needs no full list.
func (storeCache *StoreCache) KnowsDeletionsSince(revision int64) bool {
	return revision >= storeCache.tombstoneFloor
}

// UpdateSince returns the changes after the revisions that a peer knows, or a full list if the peer knows no targets yet, tombstones after
// its revision may be missing, or it knows the targets of a lower era. A full list has the tombstones of lapsed targets, which may come back.
func (storeCache *StoreCache) UpdateSince(revisions rpc.StoreRevisions, storeReachable bool) rpc.StoreUpdate {
	update := rpc.StoreUpdate{StoreReachable: storeReachable}
	if storeCache.config != nil && rpc.IsAfter(storeCache.config.Era, storeCache.config.Revision, revisions.ConfigEra, revisions.Config) {
		update.Config = storeCache.config
	}
	if !rpc.IsAfter(storeCache.era, storeCache.revision, revisions.ServersEra, revisions.Servers) {
		return update
	}
	if revisions.ServersEra != storeCache.era {
		revisions.Servers = 0
	}
	update.Since, update.Through = revisions.Servers, storeCache.revision
	update.Era, update.FirstList = storeCache.era, storeCache.firstList
	update.Full = revisions.Servers == 0 || !storeCache.KnowsDeletionsSince(revisions.Servers)
	for _, object := range storeCache.targets {
		changed := rpc.IsAfter(object.Era, object.Revision, storeCache.era, revisions.Servers)
		if update.Full && !object.Deleted || changed && (!update.Full || object.Lapsed && revisions.Servers > 0) {
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
