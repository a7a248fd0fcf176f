package follow

import (
	"bytes"
	"encoding/json"

	"poplarpin.dev/core/rpc"
)

// Entry is what a target's entry says about the order of its writes; the zero value counts as older than any other.
type Entry struct {
	Draining         bool  // the target accepts no new calls
	StartedUnixMilli int64 // start of the process
	Sequence         int64 // rises with each write of the process
}

// Contents decodes the contents of the store's objects, whose format is the platform's.
type Contents interface {
	// Entry decodes a target's entry; it returns the zero value for one that cannot be decoded.
	Entry(spec json.RawMessage) Entry
	// ConfigVersion returns the version of a configuration, 0 for one that cannot be decoded.
	ConfigVersion(spec json.RawMessage) int64
}

// writtenAfter reports whether an entry was written after another one of the same target.
func (entry Entry) writtenAfter(other Entry) bool {
	return entry.StartedUnixMilli > other.StartedUnixMilli || entry.StartedUnixMilli == other.StartedUnixMilli && entry.Sequence > other.Sequence
}

// isNewer reports whether an object follows another in the order of eras and revisions.
func isNewer(object, other rpc.StoreObject) bool {
	return rpc.IsAfter(object.Era, object.Revision, other.Era, other.Revision)
}

// sameContent reports whether two versions of an object say the same.
func sameContent(before, object rpc.StoreObject) bool {
	return before.Name == object.Name && before.Deleted == object.Deleted && bytes.Equal(before.Spec, object.Spec)
}

// isOutdated reports whether an object shows a target as it was before its deletion: this VM knows all targets that lived at the floor.
func (storeCache *StoreCache) isOutdated(object rpc.StoreObject) bool {
	cached, known := storeCache.targets[object.Name]
	return (!known || cached.Deleted) && object.Revision <= storeCache.tombstoneFloor
}

// enterEra starts a higher era with its first full list and returns the changes that the list makes. Targets that it lacks have lapsed,
// since the restore may have lost their entries. Entries older than what this VM has seen change nothing until they are written again.
func (storeCache *StoreCache) enterEra(update rpc.StoreUpdate) []rpc.StoreObject {
	storeCache.era, storeCache.revision = update.Era, 0
	storeCache.tombstoneFloor = update.Through // the list does not show earlier deletions
	storeCache.firstList = update.FirstList
	if update.FirstList == 0 {
		storeCache.firstList = update.Through
	}
	listed := map[string]bool{}
	objects := make([]rpc.StoreObject, 0, len(update.Servers))
	for _, object := range update.Servers {
		listed[object.Name] = true
		objects = append(objects, storeCache.withhold(object))
	}
	for name, object := range storeCache.targets { // a delayed list of the era, by another VM, may contain what this one lacks
		if object.Deleted && !listed[name] {
			object.Era, object.Revision = update.Era, update.Through
			storeCache.targets[name] = object
		}
	}
	return append(objects, storeCache.Tombstones(listed, update.Through, true)...)
}

// withhold returns what an entry of the first list of an era changes. An entry that was not written in this era comes from the older copy:
// a target that was seen deleted stays so, and one whose later entry was seen keeps it.
func (storeCache *StoreCache) withhold(object rpc.StoreObject) rpc.StoreObject {
	before, ok := storeCache.targets[object.Name]
	if !ok || object.Deleted || object.Revision > storeCache.firstList {
		return object
	}
	spec := before.Spec
	if before.Deleted {
		spec = storeCache.deletedSpecs[object.Name]
	}
	seen, listed := storeCache.contents.Entry(spec), storeCache.contents.Entry(object.Spec)
	kept := rpc.StoreObject{Name: object.Name, Era: object.Era, Revision: storeCache.firstList}
	switch {
	case spec != nil && listed.writtenAfter(seen):
		return object
	case before.Deleted && !before.Lapsed:
		kept.Deleted = true
		return kept
	case spec != nil && (seen.writtenAfter(listed) || seen.Draining && !listed.Draining):
		kept.Spec = spec
		return kept
	}
	return object
}
