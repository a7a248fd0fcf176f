package release

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"poplarpin.dev/core/config"
)

// Limits of a release.
const (
	MaxRecentNotes        = 256     // accepted notes that the head remembers
	HistoryReleases       = 1000    // releases for which a withdrawn key's entry is kept
	PartRetentionReleases = 32      // releases after which a replaced part is deleted
	MaxPartBytes          = 128_000 // bytes; larger parts double the number of buckets
	firstBuckets          = 8
	largestBucket         = 4096
)

// Digest is the SHA-256 of a part in hexadecimal digits.
type Digest string

// DigestOf returns the digest of a part.
func DigestOf(part []byte) Digest {
	sum := sha256.Sum256(part)
	return Digest(hex.EncodeToString(sum[:]))
}

// AcceptedNote names a note and the release that it became.
type AcceptedNote struct {
	Note    string `json:"note"`
	Release int64  `json:"release"`
	Author  string `json:"author,omitempty"`
	Digest  Digest `json:"digest"` // of the note
}

// RetiredPart names a part that no release since refers to.
type RetiredPart struct {
	Digest  Digest `json:"digest"`
	Release int64  `json:"release"`
}

// Head is the small object whose conditional update accepts a release.
type Head struct {
	Release      int64          `json:"release"`
	Parts        []Digest       `json:"parts"` // one for each bucket; empty where the bucket is empty
	RecentNotes  []AcceptedNote `json:"recent"`
	RetiredParts []RetiredPart  `json:"retired"`
}

// UnmarshalJSON decodes and checks the bounds.
func (head *Head) UnmarshalJSON(data []byte) error {
	type plain Head
	if err := json.Unmarshal(data, (*plain)(head)); err != nil {
		return err
	}
	if head.Release < 0 || len(head.Parts) > largestBucket || len(head.RecentNotes) > MaxRecentNotes {
		return fail("head", Corrupt, "release %d with %d parts and %d notes", head.Release, len(head.Parts), len(head.RecentNotes))
	}
	return nil
}

// FindAccepted finds a note among the recent ones.
func (head *Head) FindAccepted(note string) (AcceptedNote, bool) {
	for _, accepted := range head.RecentNotes {
		if accepted.Note == note {
			return accepted, true
		}
	}
	return AcceptedNote{}, false
}

// Entry is the state of one key: its object, or the mark that it was withdrawn.
type Entry struct {
	Key       config.Key      `json:"key"`
	Release   int64           `json:"release"` // the release that touched the key last
	Note      string          `json:"note"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Object    json.RawMessage `json:"object,omitempty"`
}

// State is a whole release: its head and every entry.
type State struct {
	Head    Head
	Entries map[config.Key]Entry
}

// Load builds the state of a head from its parts and verifies every digest.
func Load(head Head, parts map[Digest][]byte) (State, error) {
	state := State{Head: head, Entries: map[config.Key]Entry{}}
	for _, digest := range head.Parts {
		if digest == "" {
			continue
		}
		entries, err := decodePart(digest, parts[digest])
		if err != nil {
			return state, err
		}
		for _, entry := range entries {
			state.Entries[entry.Key] = entry
		}
	}
	return state, nil
}

// decodePart verifies and reads one part.
func decodePart(digest Digest, part []byte) ([]Entry, error) {
	if part == nil || DigestOf(part) != digest {
		return nil, fail("load", Corrupt, "part %s is absent or altered", digest)
	}
	var entries []Entry
	if err := json.Unmarshal(part, &entries); err != nil {
		return nil, fail("load", Corrupt, "part %s: %s", digest, err)
	}
	return entries, nil
}

// decodeObjects reads and checks the objects in force of some entries.
func decodeObjects(entries []Entry) ([]config.Object, error) {
	var objects []config.Object
	for _, entry := range entries {
		if entry.Withdrawn {
			continue
		}
		object, err := config.Decode(entry.Key, entry.Object)
		if err != nil {
			return nil, err
		}
		objects = append(objects, object)
	}
	return objects, nil
}

// Configuration decodes and checks the objects in force.
func (state State) Configuration() (*config.Configuration, error) {
	objects, err := decodeObjects(slices.Collect(maps.Values(state.Entries)))
	if err != nil {
		return nil, err
	}
	return config.NewValidated(state.Head.Release, objects)
}

// Proposal is the next release that a note asks for.
type Proposal struct {
	Head  Head
	Parts map[Digest][]byte // the parts that are not in the former head
}

// Propose applies a note to the state, rebasing it where nothing that it touches was touched since its base.
func (state State) Propose(note Note) (Proposal, error) {
	next := State{Head: state.Head, Entries: maps.Clone(state.Entries)}
	next.Head.Release++
	if note.Base > state.Head.Release {
		return Proposal{}, fail("propose", Invalid, "base %d is in the future of release %d", note.Base, state.Head.Release)
	}
	if note.Base < state.Head.Release-HistoryReleases {
		return Proposal{}, fail("propose", TooOld, "base %d is older than release %d by more than %d", note.Base, state.Head.Release, HistoryReleases)
	}
	if err := next.apply(note); err != nil {
		return Proposal{}, err
	}
	if _, err := next.Configuration(); err != nil {
		return Proposal{}, fail("propose", Invalid, "%s", err)
	}
	next.prune()
	return next.pack(state.Head, note)
}

func (state State) apply(note Note) error {
	for _, object := range note.Add.List() {
		if err := state.set(note, object, false); err != nil {
			return err
		}
	}
	for _, object := range note.Change.List() {
		if err := state.set(note, object, true); err != nil {
			return err
		}
	}
	for _, key := range note.Withdraw {
		if err := state.touch(note, key, true); err != nil {
			return err
		}
		state.Entries[key] = Entry{Key: key, Release: state.Head.Release, Note: note.ID, Withdrawn: true}
	}
	return nil
}

func (state State) set(note Note, object config.Object, present bool) error {
	if err := state.touch(note, object.Key(), present); err != nil {
		return err
	}
	data, err := json.Marshal(object)
	if err != nil {
		return fail("propose", Invalid, "%s: %s", object.Key(), err)
	}
	state.Entries[object.Key()] = Entry{Key: object.Key(), Release: state.Head.Release, Note: note.ID, Object: data}
	return nil
}

// touch checks that a note may touch a key: no other note did since its base, and the key is present or absent as required.
func (state State) touch(note Note, key config.Key, present bool) error {
	entry, ok := state.Entries[key]
	if ok && entry.Release > note.Base {
		err := fail("propose", Conflict, "%s was touched by release %d after base %d", key, entry.Release, note.Base)
		err.Winner = entry.Note
		return err
	}
	inForce := ok && !entry.Withdrawn
	if present && !inForce {
		return fail("propose", Missing, "%s is not in force", key)
	}
	if !present && inForce {
		return fail("propose", Exists, "%s is in force already", key)
	}
	return nil
}

// prune forgets withdrawn keys that no acceptable note can conflict with any more.
func (state State) prune() {
	maps.DeleteFunc(state.Entries, func(_ config.Key, entry Entry) bool {
		return entry.Withdrawn && entry.Release < state.Head.Release-HistoryReleases
	})
}

// pack distributes the entries over buckets and makes the head that refers to them.
func (state State) pack(former Head, note Note) (Proposal, error) {
	buckets := max(len(former.Parts), firstBuckets)
	parts, err := state.split(buckets)
	for err == nil && tooLarge(parts) && buckets < largestBucket {
		buckets *= 2
		parts, err = state.split(buckets)
	}
	if err != nil {
		return Proposal{}, err
	}
	proposal := Proposal{Head: state.Head, Parts: map[Digest][]byte{}}
	proposal.Head.Parts = make([]Digest, buckets)
	for i, part := range parts {
		if part == nil {
			continue
		}
		digest := DigestOf(part)
		proposal.Head.Parts[i] = digest
		if !slices.Contains(former.Parts, digest) {
			proposal.Parts[digest] = part
		}
	}
	proposal.Head.remember(former, note)
	return proposal, nil
}

// remember records the note and the parts that the new head no longer refers to.
func (head *Head) remember(former Head, note Note) {
	accepted := AcceptedNote{Note: note.ID, Release: head.Release, Author: note.Author, Digest: note.Digest()}
	head.RecentNotes = append([]AcceptedNote{accepted}, former.RecentNotes[:min(len(former.RecentNotes), MaxRecentNotes-1)]...)
	head.RetiredParts = nil
	for _, retired := range former.RetiredParts {
		if retired.Release > head.Release-PartRetentionReleases && !slices.Contains(head.Parts, retired.Digest) {
			head.RetiredParts = append(head.RetiredParts, retired)
		}
	}
	for _, digest := range former.Parts {
		if digest != "" && !slices.Contains(head.Parts, digest) {
			head.RetiredParts = append(head.RetiredParts, RetiredPart{Digest: digest, Release: head.Release})
		}
	}
}

// ExpiredParts returns the parts that may be deleted once next has replaced former.
func ExpiredParts(former, next Head) []Digest {
	var expired []Digest
	for _, retired := range former.RetiredParts {
		if retired.Release <= next.Release-PartRetentionReleases && !slices.Contains(next.Parts, retired.Digest) {
			expired = append(expired, retired.Digest)
		}
	}
	return expired
}

func (state State) split(buckets int) ([][]byte, error) {
	lists := make([][]Entry, buckets)
	for _, key := range slices.Sorted(maps.Keys(state.Entries)) {
		bucket := xxhash.Sum64String(string(key)) % uint64(buckets)
		lists[bucket] = append(lists[bucket], state.Entries[key])
	}
	parts := make([][]byte, buckets)
	for i, list := range lists {
		if len(list) == 0 {
			continue
		}
		part, err := json.Marshal(list)
		if err != nil {
			return nil, fail("pack", Invalid, "%s", err)
		}
		parts[i] = part
	}
	return parts, nil
}

func tooLarge(parts [][]byte) bool {
	return slices.ContainsFunc(parts, func(part []byte) bool { return len(part) > MaxPartBytes })
}
