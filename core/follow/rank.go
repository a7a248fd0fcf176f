package follow

import "slices"

// minPoolCores is the part of the best VM's cores that another one needs to be preferred as a pool.
const minPoolCores = 0.5

// PoolOrder returns the names of the VMs of a failure domain in the order in which they are preferred as pools of shares. It is the order of
// precedence for watching the store, but for the first two: the VM that watches the store also passes on all observations, and its
// answers would come late in a large fleet.
func PoolOrder(peers []Peer, failureDomain string) []string {
	inDomain := slices.DeleteFunc(slices.Clone(peers), func(peer Peer) bool { return peer.FailureDomain != failureDomain })
	slices.SortFunc(inDomain, compareRank)
	if len(inDomain) > 1 && inDomain[1].Cores >= minPoolCores*inDomain[0].Cores {
		inDomain[0], inDomain[1] = inDomain[1], inDomain[0]
	}
	names := make([]string, len(inDomain))
	for i, peer := range inDomain {
		names[i] = peer.Name
	}
	return names
}

// WatchersElsewhere returns the VMs of each other failure domain that should watch the store there, some of each in order of precedence.
func WatchersElsewhere(peers []Peer, failureDomain string, perDomain int) []string {
	counts := map[string]int{}
	var names []string
	for _, peer := range slices.SortedFunc(slices.Values(peers), compareRank) {
		if counts[peer.FailureDomain]++; peer.FailureDomain != failureDomain && counts[peer.FailureDomain] <= perDomain {
			names = append(names, peer.Name)
		}
	}
	return names
}

// PoolsElsewhere returns the preferred pool of each other failure domain, starting with the domain that follows in the order of names, so
// that the pools of different domains ask different ones first.
func PoolsElsewhere(peers []Peer, failureDomain string) []string {
	domains := map[string]bool{}
	for _, peer := range peers {
		domains[peer.FailureDomain] = true
	}
	delete(domains, failureDomain)
	names := make([]string, 0, len(domains))
	for domain := range domains {
		names = append(names, domain)
	}
	slices.Sort(names)
	first, _ := slices.BinarySearch(names, failureDomain)
	pools := make([]string, 0, len(names))
	for _, domain := range slices.Concat(names[first:], names[:first]) {
		pools = append(pools, PoolOrder(peers, domain)[0])
	}
	return pools
}
