package owner

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// RankLength is how many VMs are kept in order for each key: the owner and those that follow it.
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

type slot struct {
	domain string
	key    string
}

// Table keeps the ranks of keys while VMs join and leave; a change touches only the keys that it concerns.
type Table struct {
	domains map[string]map[string]uint64 // domain, VM name, hash of the name
	ranks   map[slot][]candidate
}

// New returns a table without VMs.
func New() *Table {
	return &Table{domains: map[string]map[string]uint64{}, ranks: map[slot][]candidate{}}
}

// Add adds a VM; keys that it ranks high in move to it, the others stay.
func (table *Table) Add(vm VM) {
	if table.domains[vm.FailureDomain] == nil {
		table.domains[vm.FailureDomain] = map[string]uint64{}
	}
	if _, ok := table.domains[vm.FailureDomain][vm.Name]; ok {
		return
	}
	hash := xxhash.Sum64String(vm.Name)
	table.domains[vm.FailureDomain][vm.Name] = hash
	for slot, rank := range table.ranks {
		if slot.domain == vm.FailureDomain {
			table.ranks[slot] = insert(rank, candidate{vm.Name, score(hash, slot.key)})
		}
	}
}

// Remove removes a VM; only keys that it ranked in are ranked anew.
func (table *Table) Remove(vm VM) {
	delete(table.domains[vm.FailureDomain], vm.Name)
	for slot, rank := range table.ranks {
		if slot.domain == vm.FailureDomain && slices.ContainsFunc(rank, func(c candidate) bool { return c.name == vm.Name }) {
			delete(table.ranks, slot)
		}
	}
}

// ClearRanks drops the kept ranks, for when the set of keys has changed.
func (table *Table) ClearRanks() { clear(table.ranks) }

// Rank returns up to Depth VM names of a failure domain for a key, the owner first.
func (table *Table) Rank(domain, key string) []string {
	slot := slot{domain, key}
	rank, ok := table.ranks[slot]
	if !ok {
		for name, hash := range table.domains[domain] {
			rank = insert(rank, candidate{name, score(hash, key)})
		}
		table.ranks[slot] = rank
	}
	names := make([]string, len(rank))
	for i, candidate := range rank {
		names[i] = candidate.name
	}
	return names
}

// insert puts a candidate in its place among the first Depth.
func insert(rank []candidate, new candidate) []candidate {
	at, _ := slices.BinarySearchFunc(rank, new, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	if at >= RankLength {
		return rank
	}
	rank = slices.Insert(rank, at, new)
	return rank[:min(len(rank), RankLength)]
}

// score mixes the hash of a VM's name with the hash of a key.
func score(hash uint64, key string) uint64 {
	mixed := hash ^ xxhash.Sum64String(key)
	mixed ^= mixed >> 33
	mixed *= 0xff51afd7ed558ccd
	mixed ^= mixed >> 33
	mixed *= 0xc4ceb9fe1a85ec53
	return mixed ^ mixed>>33
}
