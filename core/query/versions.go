package query

import (
	"time"

	"poplarpin.dev/core/config"
)

const notHeldTTL = 300 * time.Millisecond // how long a version is skipped after a target refused it

type versionKey struct {
	service string
	version int64
}

// Versions records which index versions were recently refused by a target that does not hold them yet or no longer holds them.
type Versions struct {
	refusedAt map[versionKey]time.Time
}

// NewVersions returns Versions without refusals.
func NewVersions() *Versions { return &Versions{refusedAt: map[versionKey]time.Time{}} }

// RecordNotHeld records that a target does not hold a version, and drops expired records.
func (versions *Versions) RecordNotHeld(service string, version int64, now time.Time) {
	versions.refusedAt[versionKey{service, version}] = now
	for key, at := range versions.refusedAt {
		if now.Sub(at) > notHeldTTL {
			delete(versions.refusedAt, key)
		}
	}
}

// Usable returns the versions to try, newest first, from the newest that was not recently refused; all of them if every one was.
func (versions *Versions) Usable(indexes []config.Index, now time.Time) []config.Index {
	for i, index := range indexes {
		at, refused := versions.refusedAt[versionKey{index.Service, index.Version}]
		if !refused || now.Sub(at) > notHeldTTL {
			return indexes[i:]
		}
	}
	return indexes
}
