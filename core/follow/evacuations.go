package follow

import (
	"maps"
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
)

// evacuationHold is the time after a restore of the store in which the operator writes again what the restore lost.
const evacuationHold = 5 * time.Second

// Evacuations holds the evacuated failure domains as the store lists them, and decides which evacuations are in force. A restore of the
// store neither ends an evacuation nor brings back a withdrawn one before the operator had time to repeat the change.
type Evacuations struct {
	known     *rpc.Evacuations // the newest set of the store; nil for none
	withdrawn map[string]bool  // failure domains whose evacuation was withdrawn
	kept      map[string]time.Time
	ignored   map[string]time.Time
	era       int64     // the highest era of the store that this VM heard of
	eraSince  time.Time // when it heard of it first
}

// NewEvacuations returns an empty set whose state in the store is unknown.
func NewEvacuations() *Evacuations {
	return &Evacuations{withdrawn: map[string]bool{}, kept: map[string]time.Time{}, ignored: map[string]time.Time{}}
}

// NoteEra records that the store is in an era. Withdrawn evacuations are held back from the change of era on, however late the list comes.
func (evacuations *Evacuations) NoteEra(now time.Time, era int64) {
	if era > evacuations.era {
		evacuations.era, evacuations.eraSince = era, now
	}
}

// Apply stores a set if it is newer than the known one and reports whether it is.
func (evacuations *Evacuations) Apply(now time.Time, set rpc.Evacuations) bool {
	evacuations.NoteEra(now, set.Era)
	switch known := evacuations.known; {
	case known == nil:
	case !set.NewerThan(known.Era, known.Revision):
		return false
	case set.Era > known.Era:
		evacuations.enterEra(now, set)
	default:
		evacuations.follow(known.FailureDomains, set.FailureDomains)
	}
	until := now.Add(evacuationHold)
	for _, name := range set.Kept {
		if _, ok := evacuations.kept[name]; !ok {
			evacuations.kept[name] = until
		}
	}
	for _, name := range set.Ignored {
		if _, ok := evacuations.ignored[name]; !ok {
			evacuations.ignored[name], evacuations.withdrawn[name] = until, true
		}
	}
	set.FailureDomains = slices.Sorted(slices.Values(set.FailureDomains))
	set.Kept, set.Ignored = nil, nil
	evacuations.known = &set
	return true
}

// enterEra compares the first set of a new era with what was in force.
func (evacuations *Evacuations) enterEra(now time.Time, set rpc.Evacuations) {
	before, until := evacuations.InForce(now), now.Add(evacuationHold)
	clear(evacuations.kept)
	clear(evacuations.ignored)
	for _, name := range before {
		if !slices.Contains(set.FailureDomains, name) {
			evacuations.kept[name] = until
		}
	}
	for _, name := range set.FailureDomains {
		if evacuations.withdrawn[name] && !slices.Contains(before, name) {
			evacuations.ignored[name] = evacuations.eraSince.Add(evacuationHold)
		}
	}
}

// follow records the changes between two sets of one era, which the operator made after the restore.
func (evacuations *Evacuations) follow(before, after []string) {
	for _, name := range after {
		if !slices.Contains(before, name) {
			delete(evacuations.withdrawn, name)
			delete(evacuations.ignored, name)
			delete(evacuations.kept, name)
		}
	}
	for _, name := range before {
		if !slices.Contains(after, name) {
			evacuations.withdrawn[name] = true
			delete(evacuations.ignored, name)
			delete(evacuations.kept, name)
		}
	}
}

// Change applies the creation or deletion of one evacuation and reports whether it is newer than the known set. The change of a set that
// is not known in its era is ignored, as the other evacuations are unknown.
func (evacuations *Evacuations) Change(now time.Time, era, revision int64, name string, deleted bool) bool {
	if evacuations.known == nil || evacuations.known.Era != era {
		return false
	}
	names := slices.DeleteFunc(slices.Clone(evacuations.known.FailureDomains), func(other string) bool { return other == name })
	if !deleted {
		names = append(names, name)
	}
	changed := evacuations.Apply(now, rpc.Evacuations{Era: era, Revision: revision, FailureDomains: names})
	if changed { // written again in this era, so the operator decided after the restore
		delete(evacuations.kept, name)
		delete(evacuations.ignored, name)
	}
	return changed
}

// InForce returns the failure domains that are evacuated now, in order.
func (evacuations *Evacuations) InForce(now time.Time) []string {
	inForce := map[string]bool{}
	if evacuations.known != nil {
		for _, name := range evacuations.known.FailureDomains {
			inForce[name] = !now.Before(evacuations.ignored[name])
		}
	}
	for name, until := range evacuations.kept {
		inForce[name] = inForce[name] || now.Before(until)
	}
	maps.DeleteFunc(inForce, func(_ string, evacuated bool) bool { return !evacuated })
	return slices.Sorted(maps.Keys(inForce))
}

// Known returns the era and the revision of the known set, zeros for none.
func (evacuations *Evacuations) Known() (era, revision int64) {
	if evacuations.known == nil {
		return 0, 0
	}
	return evacuations.known.Era, evacuations.known.Revision
}

// Message returns the known set for a VM that knows the set of another revision, or nil if that is as new.
func (evacuations *Evacuations) Message(now time.Time, era, revision int64) *rpc.Evacuations {
	if evacuations.known == nil || !evacuations.known.NewerThan(era, revision) {
		return nil
	}
	message := *evacuations.known
	message.Kept, message.Ignored = held(now, evacuations.kept), held(now, evacuations.ignored)
	return &message
}

// held returns the names whose time has not passed, in order.
func held(now time.Time, untils map[string]time.Time) []string {
	var names []string
	for name, until := range untils {
		if now.Before(until) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
