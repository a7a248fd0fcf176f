package release_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
)

func note(id string, base int64, classes ...string) release.Note {
	built := release.Note{ID: id, Base: base}
	for _, name := range classes {
		built.Add.Classes = append(built.Add.Classes, config.Class{Name: name})
	}
	return built
}

// apply returns the state that results from a note and adds its new parts to parts.
func apply(t *testing.T, state release.State, parts map[release.Digest][]byte, note release.Note) release.State {
	t.Helper()
	proposal, err := state.Propose(note)
	assert.NilError(t, err)
	for digest, part := range proposal.Parts {
		parts[digest] = part
	}
	next, err := release.Load(proposal.Head, parts)
	assert.NilError(t, err)
	return next
}

// emptyState returns the state before the first release, and no parts.
func emptyState() (release.State, map[release.Digest][]byte) {
	state, _ := release.Load(release.Head{}, nil)
	return state, map[release.Digest][]byte{}
}

func assertKind(t *testing.T, err error, kind release.Kind) {
	t.Helper()
	var refused *release.Error
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Kind, kind)
}

func TestPropose(t *testing.T) {
	t.Run("rebases a note that modifies other keys", func(t *testing.T) {
		state, parts := emptyState()
		state = apply(t, state, parts, note("first", 0, "a"))
		state = apply(t, state, parts, note("second", 0, "b"))
		assert.Equal(t, state.Head.Release, int64(2))
	})
	t.Run("a conflict names the note that was accepted first", func(t *testing.T) {
		state, parts := emptyState()
		state = apply(t, state, parts, note("first", 0, "a"))
		_, err := state.Propose(note("second", 0, "a"))
		assertKind(t, err, release.Conflict)
		assert.ErrorContains(t, err, "note first won")
	})
	t.Run("a withdrawn name can be added again only by a note based on a later release", func(t *testing.T) {
		state, parts := emptyState()
		state = apply(t, state, parts, note("first", 0, "a"))
		state = apply(t, state, parts, release.Note{ID: "gone", Base: 1, Withdraw: []config.Key{"classes/a"}})
		configuration, err := state.Configuration()
		assert.NilError(t, err)
		assert.Equal(t, len(configuration.Classes), 0)
		_, err = state.Propose(note("stale", 1, "a"))
		assertKind(t, err, release.Conflict)
		apply(t, state, parts, note("again", 2, "a"))
	})
	t.Run("refuses a future base, an absent key and a key in force", func(t *testing.T) {
		state, parts := emptyState()
		_, err := state.Propose(note("future", 5, "a"))
		assertKind(t, err, release.Invalid)
		_, err = state.Propose(release.Note{ID: "absent", Withdraw: []config.Key{"classes/a"}})
		assertKind(t, err, release.Missing)
		state = apply(t, state, parts, note("first", 0, "a"))
		_, err = state.Propose(note("present", 1, "a"))
		assertKind(t, err, release.Exists)
	})
	t.Run("refuses a note that results in a broken reference", func(t *testing.T) {
		state, _ := emptyState()
		broken := note("broken", 0)
		broken.Add.Services = []config.Service{{Name: "s", Classes: []string{"none"}, Deadline: 1e9}}
		_, err := state.Propose(broken)
		assertKind(t, err, release.Invalid)
	})
}

func TestParts(t *testing.T) {
	t.Run("a configuration larger than one value is split into parts", func(t *testing.T) {
		state, parts := emptyState()
		large := release.Note{ID: "large"}
		for i := range 20_000 {
			large.Add.Targets = append(large.Add.Targets, config.Target{Name: fmt.Sprintf("t%d", i), Address: "127.0.0.1:80",
				FailureDomain: "sohar", Slots: 2, Connections: 25})
		}
		state = apply(t, state, parts, large)
		for _, part := range parts {
			assert.Assert(t, len(part) <= release.MaxPartBytes)
		}
		before := len(parts)
		state = apply(t, state, parts, note("small", 1, "a"))
		assert.Equal(t, len(parts), before+1, "a small note rewrites one part")
		assert.Equal(t, len(state.Entries), 20_001)
	})
	t.Run("an altered part is refused", func(t *testing.T) {
		state, parts := emptyState()
		state = apply(t, state, parts, note("first", 0, "a"))
		for digest := range parts {
			parts[digest] = []byte("[]")
		}
		_, err := release.Load(state.Head, parts)
		assertKind(t, err, release.Corrupt)
	})
	t.Run("retired parts expire", func(t *testing.T) {
		state, parts := emptyState()
		state = apply(t, state, parts, note("first", 0, "a"))
		expired := 0
		for i := range 40 {
			previous := state.Head
			change := release.Note{ID: fmt.Sprintf("n%d", i), Base: state.Head.Release,
				Change: release.Objects{Classes: []config.Class{{Name: "a", Priority: i}}}}
			state = apply(t, state, parts, change)
			expired += len(release.ExpiredParts(previous, state.Head))
		}
		assert.Equal(t, expired, 40-release.PartRetentionReleases)
	})
}

func TestParseNote(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"unknown key", "id: a\nadd:\n  clases: []\n", "line 3"},
		{"out of range", "id: a\nadd:\n  classes:\n  - name: x\n    priority: 1\n    share: 7\n", "n.yaml:6"},
		{"overlap", "id: a\nadd:\n  indexes:\n  - service: s\n    version: 1\n    shards:\n    - {name: a, from: 0, to: 5, replicas: [t]}\n    - {name: b, from: 4, to: 9, replicas: [t]}\n", "overlap"},
		{"duplicate", "id: a\nadd:\n  classes:\n  - name: x\n  - name: x\n", "already listed in line 4"},
		{"two documents", "id: a\nwithdraw: [classes/a]\n---\nid: b\n", "more than one document"},
		{"no objects", "id: a\n", "nothing to add"},
		{"id of 10 KB", "id: " + strings.Repeat("x", 10_000) + "\nwithdraw: [classes/a]\n", "must match"},
		{"malformed", "id: [", "yaml"},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			_, err := release.ParseNote("n.yaml", []byte(testCase.text))
			assertKind(t, err, release.Invalid)
			assert.ErrorContains(t, err, testCase.want)
			assert.ErrorContains(t, err, "n.yaml")
		})
	}
}

func FuzzParseNote(f *testing.F) {
	f.Add([]byte("id: a\nadd:\n  classes:\n  - name: x\n"))
	f.Add([]byte("id: a\nbase: -1\nwithdraw: [x, x]\n"))
	f.Add([]byte("add: {targets: [{name: 1, slots: 1e99}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, err := release.ParseNote("n.yaml", data)
		if err == nil {
			assert.NilError(t, parsed.Validate())
		}
	})
}
