package query

import (
	"time"

	"poplarpin.dev/core/config"
)

const notHeldSpan = 300 * time.Millisecond // how long a version is passed over after a target did not hold it

type versionKey struct {
	service string
	version int64
}

// Versions remembers which index versions some target does not hold yet or any more.
type Versions struct {
	notHeld map[versionKey]time.Time
}

// NewVersions returns an empty memory.
func NewVersions() *Versions { return &Versions{notHeld: map[versionKey]time.Time{}} }

// RecordNotHeld records that a target refused a version.
func (versions *Versions) RecordNotHeld(service string, version int64, now time.Time) {
	versions.notHeld[versionKey{service, version}] = now
	for key, at := range versions.notHeld {
		if now.Sub(at) > notHeldSpan {
			delete(versions.notHeld, key)
		}
	}
}

// Usable returns the versions to try, newest first, from the newest that was not refused lately.
func (versions *Versions) Usable(indexes []config.Index, now time.Time) []config.Index {
	for i, index := range indexes {
		at, refused := versions.notHeld[versionKey{index.Service, index.Version}]
		if !refused || now.Sub(at) > notHeldSpan {
			return indexes[i:]
		}
	}
	return indexes
}
