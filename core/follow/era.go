package follow

import (
	"bytes"
	"encoding/json"

	"poplarpin.dev/core/rpc"
)

// writtenState is what a target's entry says about the order of its writes.
type writtenState struct {
	State string  `json:"state"`
	Born  float64 `json:"born"` // start of the process, in Unix milliseconds
	Seq   float64 `json:"seq"`  // rises with each write of the process
}

// stateDraining is the state of a target that accepts no new calls.
const stateDraining = "draining"

// decodeState decodes an entry; an undecodable one counts as older than any other.
func decodeState(spec json.RawMessage) writtenState {
	var state writtenState
	if json.Unmarshal(spec, &state) != nil {
		return writtenState{}
	}
	return state
}

// writtenAfter reports whether an entry was written after another one of the same target.
func (state writtenState) writtenAfter(other writtenState) bool {
	return state.Born > other.Born || state.Born == other.Born && state.Seq > other.Seq
}

// versionOf returns the version of a configuration, 0 for an undecodable one.
func versionOf(object rpc.StoreObject) int64 {
	var config struct {
		Version int64 `json:"version"`
	}
	if json.Unmarshal(object.Spec, &config) != nil {
		return 0
	}
	return config.Version
}

// isNewer reports whether an object follows another in the order of eras and revisions.
func isNewer(object, other rpc.StoreObject) bool {
	return rpc.IsAfter(object.Era, object.Revision, other.Era, other.Revision)
}

// sameContent reports whether two versions of an object say the same.
func sameContent(before, object rpc.StoreObject) bool {
	return before.Name == object.Name && before.Deleted == object.Deleted && bytes.Equal(before.Spec, object.Spec)
}

// isOutdated reports whether an unknown target was deleted before the full list with which this VM entered the era.
func (storeCache *StoreCache) isOutdated(object rpc.StoreObject) bool {
	_, known := storeCache.targets[object.Name]
	return !known && object.Era > 0 && object.Revision <= storeCache.tombstoneFloor
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
	seen, listed := decodeState(spec), decodeState(object.Spec)
	kept := rpc.StoreObject{Name: object.Name, Era: object.Era, Revision: storeCache.firstList}
	switch {
	case spec != nil && listed.writtenAfter(seen):
		return object
	case before.Deleted && !before.Lapsed:
		kept.Deleted = true
		return kept
	case spec != nil && (seen.writtenAfter(listed) || seen.State == stateDraining && listed.State != stateDraining):
		kept.Spec = spec
		return kept
	}
	return object
}
