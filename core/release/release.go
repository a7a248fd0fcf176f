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

// Limits on a release, its history and its parts.
const (
	MaxRecentNotes        = 256     // accepted notes that the head lists
	HistoryReleases       = 1000    // releases for which the tombstone of a withdrawn key is kept; also the maximum age of a note's base
	PartRetentionReleases = 32      // releases after which a retired part is deleted
	MaxPartBytes          = 128_000 // the number of buckets doubles while a part is larger
	minBuckets            = 8
	maxBuckets            = 4096
)

// Digest is a SHA-256 digest in hexadecimal.
type Digest string

// DigestOf returns the digest of some data.
func DigestOf(data []byte) Digest {
	sum := sha256.Sum256(data)
	return Digest(hex.EncodeToString(sum[:]))
}

// AcceptedNote records a note and the release that it became.
type AcceptedNote struct {
	Note    string `json:"note"`
	Release int64  `json:"release"`
	Author  string `json:"author,omitempty"`
	Digest  Digest `json:"digest"` // of the note
}

// RetiredPart records a part and the release that stopped referring to it.
type RetiredPart struct {
	Digest  Digest `json:"digest"`
	Release int64  `json:"release"`
}

// Head lists the parts of a release; a release is accepted by a conditional update of this one object.
type Head struct {
	Release      int64          `json:"release"`
	Parts        []Digest       `json:"parts"` // one for each bucket, "" for an empty bucket
	RecentNotes  []AcceptedNote `json:"recent"`
	RetiredParts []RetiredPart  `json:"retired"`
}

// UnmarshalJSON decodes the head and checks its limits.
func (head *Head) UnmarshalJSON(data []byte) error {
	type plain Head
	if err := json.Unmarshal(data, (*plain)(head)); err != nil {
		return err
	}
	if head.Release < 0 || len(head.Parts) > maxBuckets || len(head.RecentNotes) > MaxRecentNotes {
		return errorf("head", Corrupt, "head of release %d with %d parts and %d notes is out of range", head.Release, len(head.Parts), len(head.RecentNotes))
	}
	return nil
}

// FindAccepted looks up a note by id among the recently accepted ones.
func (head *Head) FindAccepted(note string) (AcceptedNote, bool) {
	for _, accepted := range head.RecentNotes {
		if accepted.Note == note {
			return accepted, true
		}
	}
	return AcceptedNote{}, false
}

// Entry is the state of one key: its object, or a tombstone if it was withdrawn.
type Entry struct {
	Key       config.Key      `json:"key"`
	Release   int64           `json:"release"` // the last release that modified the key
	Note      string          `json:"note"`
	Withdrawn bool            `json:"withdrawn,omitempty"`
	Object    json.RawMessage `json:"object,omitempty"`
}

// State is a complete release: its head and all entries.
type State struct {
	Head    Head
	Entries map[config.Key]Entry
}

// Load builds the state that a head refers to and verifies the digest of every part.
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

// decodePart verifies the digest of a part and decodes its entries.
func decodePart(digest Digest, part []byte) ([]Entry, error) {
	if part == nil || DigestOf(part) != digest {
		return nil, errorf("load", Corrupt, "part %s is missing or does not match its digest", digest)
	}
	var entries []Entry
	if err := json.Unmarshal(part, &entries); err != nil {
		return nil, errorf("load", Corrupt, "part %s: %s", digest, err)
	}
	return entries, nil
}

// decodeObjects decodes and validates the objects of entries that are not withdrawn.
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

// Configuration decodes the objects in force and checks the references between them.
func (state State) Configuration() (*config.Configuration, error) {
	objects, err := decodeObjects(slices.Collect(maps.Values(state.Entries)))
	if err != nil {
		return nil, err
	}
	return config.NewValidated(state.Head.Release, objects)
}

// Proposal is the release that would result from a note.
type Proposal struct {
	Head  Head
	Parts map[Digest][]byte // parts that the previous head does not refer to
}

// Propose applies a note to the state; a note with an older base is rebased unless a key of it was modified since.
//
// A base more than HistoryReleases behind is refused, since the tombstones needed to detect conflicts may have been pruned.
func (state State) Propose(note Note) (Proposal, error) {
	next := State{Head: state.Head, Entries: maps.Clone(state.Entries)}
	next.Head.Release++
	if note.Base > state.Head.Release {
		return Proposal{}, errorf("propose", Invalid, "base %d is higher than the current release %d", note.Base, state.Head.Release)
	}
	if note.Base < state.Head.Release-HistoryReleases {
		return Proposal{}, errorf("propose", TooOld, "base %d is older than release %d by more than %d releases", note.Base, state.Head.Release, HistoryReleases)
	}
	if err := next.apply(note); err != nil {
		return Proposal{}, err
	}
	if _, err := next.Configuration(); err != nil {
		return Proposal{}, errorf("propose", Invalid, "%s", err)
	}
	next.prune()
	return next.pack(state.Head, note)
}

func (state State) apply(note Note) error {
	for _, object := range note.Add.List() {
		if err := state.putObject(note, object, false); err != nil {
			return err
		}
	}
	for _, object := range note.Change.List() {
		if err := state.putObject(note, object, true); err != nil {
			return err
		}
	}
	for _, key := range note.Withdraw {
		if err := state.checkKey(note, key, true); err != nil {
			return err
		}
		state.Entries[key] = Entry{Key: key, Release: state.Head.Release, Note: note.ID, Withdrawn: true}
	}
	return nil
}

func (state State) putObject(note Note, object config.Object, mustExist bool) error {
	if err := state.checkKey(note, object.Key(), mustExist); err != nil {
		return err
	}
	data, err := json.Marshal(object)
	if err != nil {
		return errorf("propose", Invalid, "%s: %s", object.Key(), err)
	}
	state.Entries[object.Key()] = Entry{Key: object.Key(), Release: state.Head.Release, Note: note.ID, Object: data}
	return nil
}

// checkKey checks that a note may modify a key: no release after the note's base did, and the key is in force or not, as required.
func (state State) checkKey(note Note, key config.Key, mustExist bool) error {
	entry, ok := state.Entries[key]
	if ok && entry.Release > note.Base {
		err := errorf("propose", Conflict, "%s was modified by release %d, after base %d", key, entry.Release, note.Base)
		err.Winner = entry.Note
		return err
	}
	inForce := ok && !entry.Withdrawn
	if mustExist && !inForce {
		return errorf("propose", Missing, "%s is not in force", key)
	}
	if !mustExist && inForce {
		return errorf("propose", Exists, "%s is already in force", key)
	}
	return nil
}

// prune removes the tombstones that no acceptable note can conflict with, since its base would be too old.
func (state State) prune() {
	maps.DeleteFunc(state.Entries, func(_ config.Key, entry Entry) bool {
		return entry.Withdrawn && entry.Release < state.Head.Release-HistoryReleases
	})
}

// pack encodes the entries into one part per bucket and builds the head that refers to them.
//
// It doubles the number of buckets until no part exceeds MaxPartBytes or maxBuckets is reached.
func (state State) pack(previous Head, note Note) (Proposal, error) {
	buckets := max(len(previous.Parts), minBuckets)
	parts, err := state.encodeParts(buckets)
	for err == nil && anyTooLarge(parts) && buckets < maxBuckets {
		buckets *= 2
		parts, err = state.encodeParts(buckets)
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
		if !slices.Contains(previous.Parts, digest) {
			proposal.Parts[digest] = part
		}
	}
	proposal.Head.recordAccepted(previous, note)
	return proposal, nil
}

// recordAccepted lists the note among the recent ones, retires the parts that the new head no longer refers to and drops expired ones.
func (head *Head) recordAccepted(previous Head, note Note) {
	accepted := AcceptedNote{Note: note.ID, Release: head.Release, Author: note.Author, Digest: note.Digest()}
	head.RecentNotes = append([]AcceptedNote{accepted}, previous.RecentNotes[:min(len(previous.RecentNotes), MaxRecentNotes-1)]...)
	head.RetiredParts = nil
	for _, retired := range previous.RetiredParts {
		if retired.Release > head.Release-PartRetentionReleases && !slices.Contains(head.Parts, retired.Digest) {
			head.RetiredParts = append(head.RetiredParts, retired)
		}
	}
	for _, digest := range previous.Parts {
		if digest != "" && !slices.Contains(head.Parts, digest) {
			head.RetiredParts = append(head.RetiredParts, RetiredPart{Digest: digest, Release: head.Release})
		}
	}
}

// ExpiredParts returns the retired parts that may be deleted once the next head has replaced the previous one.
func ExpiredParts(previous, next Head) []Digest {
	var expired []Digest
	for _, retired := range previous.RetiredParts {
		if retired.Release <= next.Release-PartRetentionReleases && !slices.Contains(next.Parts, retired.Digest) {
			expired = append(expired, retired.Digest)
		}
	}
	return expired
}

// encodeParts assigns each entry to a bucket by the hash of its key and returns one encoded part per bucket, nil for an empty one.
func (state State) encodeParts(buckets int) ([][]byte, error) {
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
			return nil, errorf("pack", Invalid, "%s", err)
		}
		parts[i] = part
	}
	return parts, nil
}

func anyTooLarge(parts [][]byte) bool {
	return slices.ContainsFunc(parts, func(part []byte) bool { return len(part) > MaxPartBytes })
}
