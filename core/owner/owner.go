package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankLength is the number of VMs ranked for each key: the owner and the VMs that take over from it, in order.
const RankLength = 3

// VM is an entry VM that may own targets.
type VM struct {
	Name          string
	FailureDomain string
}

type candidate struct {
	name  string
	score uint64
}

type rankKey struct {
	failureDomain string
	key           string
}

// Table caches the ranked VMs of each key; adding or removing a VM changes only the ranks that it enters or leaves.
type Table struct {
	nameHashes map[string]map[string]uint64 // by failure domain and VM name
	ranks      map[rankKey][]candidate
}

// New returns a table without VMs.
func New() *Table {
	return &Table{nameHashes: map[string]map[string]uint64{}, ranks: map[rankKey][]candidate{}}
}

// Add adds a VM; only the keys that rank it among the first RankLength change.
func (table *Table) Add(vm VM) {
	if table.nameHashes[vm.FailureDomain] == nil {
		table.nameHashes[vm.FailureDomain] = map[string]uint64{}
	}
	if _, ok := table.nameHashes[vm.FailureDomain][vm.Name]; ok {
		return
	}
	hash := xxhash.Sum64String(vm.Name)
	table.nameHashes[vm.FailureDomain][vm.Name] = hash
	for rankKey, rank := range table.ranks {
		if rankKey.failureDomain == vm.FailureDomain {
			table.ranks[rankKey] = insertCandidate(rank, candidate{vm.Name, score(hash, rankKey.key)})
		}
	}
}

// Remove removes a VM; only the keys that ranked it are ranked again.
func (table *Table) Remove(vm VM) {
	delete(table.nameHashes[vm.FailureDomain], vm.Name)
	for rankKey, rank := range table.ranks {
		if rankKey.failureDomain == vm.FailureDomain && slices.ContainsFunc(rank, func(c candidate) bool { return c.name == vm.Name }) {
			delete(table.ranks, rankKey)
		}
	}
}

// ClearRanks drops the cached ranks. It must be called when the set of keys has changed, so that unused keys don't accumulate.
func (table *Table) ClearRanks() { clear(table.ranks) }

// Rank returns up to RankLength VM names of a failure domain for a key, the owner first.
func (table *Table) Rank(failureDomain, key string) []string {
	rankKey := rankKey{failureDomain, key}
	rank, ok := table.ranks[rankKey]
	if !ok {
		for name, hash := range table.nameHashes[failureDomain] {
			rank = insertCandidate(rank, candidate{name, score(hash, key)})
		}
		table.ranks[rankKey] = rank
	}
	names := make([]string, len(rank))
	for i, candidate := range rank {
		names[i] = candidate.name
	}
	return names
}

// insertCandidate inserts a candidate by score and keeps the first RankLength; equal scores are ordered by name.
func insertCandidate(rank []candidate, new candidate) []candidate {
	position, _ := slices.BinarySearchFunc(rank, new, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	if position >= RankLength {
		return rank
	}
	rank = slices.Insert(rank, position, new)
	return rank[:min(len(rank), RankLength)]
}

// score combines the hash of a VM's name with the hash of a key by the 64-bit finalizer of MurmurHash3.
func score(hash uint64, key string) uint64 {
	mixed := hash ^ xxhash.Sum64String(key)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
