package follow

import (
	"slices"

	"poplarpin.dev/core/rpc"
)

const mostGone = 2000 // entries that are gone and remembered, so that older news do not bring them back

// StoreCache is what a VM knows of the store: entries with their revisions, whichever source they came from.
type StoreCache struct {
	config  *rpc.StoreObject
	servers map[string]rpc.StoreObject // gone ones included
	gone    int
	through int64 // revision up to which the servers are known
	floor   int64 // revision before which gone entries were forgotten
}

// NewStoreCache returns an empty book.
func NewStoreCache() *StoreCache { return &StoreCache{servers: map[string]rpc.StoreObject{}} }

// UpdateConfig takes a configuration and reports whether it is newer than the one that is known.
func (book *StoreCache) UpdateConfig(entry rpc.StoreObject) bool {
	if entry.Deleted || book.config != nil && book.config.Revision >= entry.Revision {
		return false
	}
	book.config = &entry
	return true
}

// UpdateTarget takes a server's entry and reports whether it is newer than what is known of it.
func (book *StoreCache) UpdateTarget(entry rpc.StoreObject) bool {
	before, ok := book.servers[entry.Name]
	if ok && before.Revision >= entry.Revision {
		return false
	}
	if before.Deleted {
		book.gone--
	}
	if entry.Deleted {
		book.gone++
		entry.Spec = nil
	}
	book.servers[entry.Name] = entry
	if book.gone > mostGone {
		book.forget()
	}
	return true
}

// forget drops entries that are gone; whoever knows less than what is dropped gets a full list.
func (book *StoreCache) forget() {
	for name, entry := range book.servers {
		if entry.Deleted {
			delete(book.servers, name)
		}
	}
	book.gone, book.floor = 0, book.through
}

// Apply takes news and returns what of them is newer than what was known, in order. News that leave a gap after what is known
// are taken, but what is known through stays, so that the gap is asked for.
func (book *StoreCache) Apply(news rpc.StoreUpdate) (config *rpc.StoreObject, servers []rpc.StoreObject) {
	if news.Config != nil && book.UpdateConfig(*news.Config) {
		config = news.Config
	}
	entries := news.Servers
	if news.Full {
		named := map[string]bool{}
		for _, entry := range entries {
			named[entry.Name] = true
		}
		entries = append(slices.Clone(entries), book.Tombstones(named, news.Through, false)...)
		book.floor = max(book.floor, news.Through) // what went before is not in a full list
	}
	for _, entry := range entries {
		if book.UpdateTarget(entry) {
			servers = append(servers, entry)
		}
	}
	if news.Full || news.Since <= book.through {
		book.AdvanceTo(news.Through)
	}
	return config, servers
}

// AdvanceTo records up to which revision the servers are known.
func (book *StoreCache) AdvanceTo(revision int64) { book.through = max(book.through, revision) }

// Tombstones returns the entries that are known and not named in a whole list of a revision, as gone.
func (book *StoreCache) Tombstones(named map[string]bool, revision int64, lapsed bool) []rpc.StoreObject {
	var gone []rpc.StoreObject
	for name, entry := range book.servers {
		if !named[name] && !entry.Deleted && entry.Revision < revision {
			gone = append(gone, rpc.StoreObject{Name: name, Revision: revision, Deleted: true, Lapsed: lapsed})
		}
	}
	slices.SortFunc(gone, compare)
	return gone
}

// Revisions returns the revisions to ask news for.
func (book *StoreCache) Revisions() rpc.StoreRevisions {
	known := rpc.StoreRevisions{Servers: book.through}
	if book.config != nil {
		known.Config = book.config.Revision
	}
	return known
}

// UpdateSince returns what another VM lacks that knows the store up to some revisions.
func (book *StoreCache) UpdateSince(known rpc.StoreRevisions, good bool) rpc.StoreUpdate {
	news := rpc.StoreUpdate{StoreReachable: good}
	if book.config != nil && book.config.Revision > known.Config {
		news.Config = book.config
	}
	if book.through <= known.Servers {
		return news
	}
	news.Since, news.Through = known.Servers, book.through
	news.Full = known.Servers < book.floor || known.Servers == 0
	for _, entry := range book.servers {
		if news.Full && !entry.Deleted || !news.Full && entry.Revision > known.Servers {
			news.Servers = append(news.Servers, entry)
		}
	}
	slices.SortFunc(news.Servers, compare)
	return news
}

func compare(a, b rpc.StoreObject) int {
	switch {
	case a.Revision != b.Revision:
		return int(a.Revision - b.Revision)
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	}
	return 0
}
