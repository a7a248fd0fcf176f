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
