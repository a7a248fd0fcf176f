package follow

import (
	"maps"
	"slices"
)

// BestElsewhere returns the best-ranked VM of each failure domain other than the given one. The failure domains are in the order of their
// names, beginning after the given one, so that those of different failure domains ask different VMs first.
func BestElsewhere(peers []Peer, failureDomain string) []string {
	best := map[string]Peer{}
	for _, peer := range peers {
		if known, ok := best[peer.FailureDomain]; peer.FailureDomain != failureDomain && (!ok || compareRank(peer, known) < 0) {
			best[peer.FailureDomain] = peer
		}
	}
	failureDomains := slices.Sorted(maps.Keys(best))
	first, _ := slices.BinarySearch(failureDomains, failureDomain)
	var names []string
	for _, domain := range slices.Concat(failureDomains[first:], failureDomains[:first]) {
		names = append(names, best[domain].Name)
	}
	return names
}

// RankedIn returns the names of the VMs of a failure domain in the order of precedence for watching the store.
func RankedIn(peers []Peer, failureDomain string) []string {
	inDomain := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.FailureDomain != failureDomain })
	slices.SortFunc(inDomain, compareRank)
	names := make([]string, len(inDomain))
	for i, peer := range inDomain {
		names[i] = peer.Name
	}
	return names
}
