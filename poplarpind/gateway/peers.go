package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

const (
	watcherPeersInterval    = 4 * time.Second        // VMs that watch the store read the list of VMs this often; a stale read costs a tenth of a List call
	subscriberPeersInterval = 20 * time.Second       // VMs that get their updates from another read the list of VMs this often
	peersRetryInterval      = time.Second            // a failed read of the list of VMs is repeated after this time
	initialReads            = 2                      // the first reads follow each other quickly, as all VMs may be starting
	peerSlots               = 16                     // an entry VM relays this many requests at the same time without slowing down
	deregisterTimeout       = time.Second            // removing this VM's entry on shutdown takes this time at most
	registrationWait        = 300 * time.Millisecond // VMs that start at the same time as this one have registered after this time
)

// maintainPeers registers this VM in the store and keeps the list of its peers current.
func (gateway *Gateway) maintainPeers(ctx context.Context) {
	store := gateway.newStore(platform.VMsKind)
	defer store.Close()
	reads, firstReadDone, missing := 0, false, false
	for ; ctx.Err() == nil; reads++ {
		wait := gateway.peersReadInterval(reads)
		_, eraChanges := gateway.era.Changes()
		registered, err := gateway.readPeers(ctx, store, !missing)
		if err == nil && !registered && !firstReadDone {
			gateway.mu.Lock()
			gateway.follower.Restarted() // its entry was there before
			gateway.mu.Unlock()
		}
		if err == nil && registered && !firstReadDone { // VMs that started at the same time register soon
			sleep(ctx, registrationWait)
			_, err = gateway.readPeers(ctx, store, false)
		}
		if err != nil {
			gateway.log.Info("reading the list of entry VMs failed", zap.Error(err))
			wait = peersRetryInterval
		}
		if !firstReadDone {
			firstReadDone = true
			close(gateway.peersRead)
		}
		if registered {
			wait = peersRetryInterval // the next read shows whether the entry is there
		}
		missing = gateway.waitForPeersRead(ctx, wait, eraChanges)
	}
}

// peersReadInterval returns the time to the next read: short at startup, long for VMs that get their updates from another.
func (gateway *Gateway) peersReadInterval(reads int) time.Duration {
	if reads < initialReads {
		return peersRetryInterval
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.plan.WatchStore {
		return watcherPeersInterval
	}
	return subscriberPeersInterval
}

// self returns this VM's entry in the store.
func (gateway *Gateway) self() platform.VM {
	return platform.VM{Name: gateway.settings.VM, FailureDomain: gateway.settings.FailureDomain,
		Address: gateway.settings.MeshAddress(), StateAddress: gateway.settings.PeerAddress, Cores: gateway.settings.Cores, Incarnation: gateway.quotas.incarnation}
}

// readPeers reads the list of entry VMs, registers this VM if its entry is missing or outdated, and reports whether it tried to. An entry that an
// earlier process of the VM has written is replaced from the second read on, so that no late deletion by that process applies to it.
// allowStale permits a list some seconds out of date, which costs a tenth of a List call.
func (gateway *Gateway) readPeers(ctx context.Context, store *platform.Store, allowStale bool) (bool, error) {
	var objects []platform.Object
	var err error
	readAt, listed := bootTime(), false
	var own platform.Object
	if allowStale {
		objects, _, err = store.ListStale(ctx, platform.VMsKind)
	} else {
		objects, _, err = store.List(ctx, platform.VMsKind)
	}
	if err != nil && platform.KindOf(err) != platform.NotFound {
		return false, err
	}
	registered, registeredAt, oddRevision := false, int64(0), int64(0)
	var peers []platform.VM
	for _, object := range objects {
		vm, err := platform.DecodeVM(object)
		if err != nil && object.Name == gateway.settings.VM {
			oddRevision = object.Revision
		}
		switch {
		case err != nil:
			gateway.log.Info("object of an entry VM rejected", zap.String("name", truncate(object.Name)), zap.Error(err))
		case vm.Name == gateway.settings.VM:
			registeredAt, vm.RegisteredUnixMilli = vm.RegisteredUnixMilli, 0
			if self := gateway.self(); vm.Incarnation != self.Incarnation {
				own, vm.Incarnation = object, self.Incarnation
			}
			listed, registered = true, vm == gateway.self()
		default:
			peers = append(peers, vm)
		}
	}
	gateway.mu.Lock()
	firstRead := gateway.peersReadAt.IsZero()
	gateway.peersReadAt = time.Now()
	if listed {
		gateway.fleet.MarkListed()
	}
	gateway.mu.Unlock()
	peers = gateway.withLostPeers(peers)
	gateway.setPeers(peers)
	gateway.quotas.listRead(readAt, peers, listed, registeredAt)
	self := gateway.self()
	if registered && own.Name != "" && !firstRead && !gateway.Draining() {
		self.RegisteredUnixMilli = registeredAt
		gateway.log.Info("replacing the entry of an earlier process", zap.Int64("revision", own.Revision))
		return false, store.ReplaceVM(ctx, own, self)
	}
	if registered || gateway.Draining() || oddRevision > 0 && oddRevision == gateway.oddRevision {
		return false, nil
	}
	gateway.log.Info("registering this VM in the store", zap.Int("peers", len(peers)))
	if self.RegisteredUnixMilli = registeredAt; registeredAt == 0 && gateway.quotas.enabled() {
		self.RegisteredUnixMilli = time.Now().UnixMilli()
	}
	err = store.PutVM(ctx, self)
	if gateway.oddRevision = 0; platform.KindOf(err) == platform.Invalid { // another writer's entry, which is left as it is
		gateway.oddRevision = oddRevision
	}
	return true, err
}

// setPeers replaces the list of peers.
func (gateway *Gateway) setPeers(listed []platform.VM) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.replacePeers(listed)
}

// replacePeers replaces the list of peers; the list may name this VM, which is left out, so that it never relays to itself. The caller holds mu.
func (gateway *Gateway) replacePeers(listed []platform.VM) {
	peers := slices.DeleteFunc(slices.Clone(listed), func(vm platform.VM) bool { return vm.Name == gateway.settings.VM })
	relays := make([]place.Endpoint, len(peers))
	for i, vm := range peers {
		relays[i] = place.Endpoint{ID: vm.Name, Service: fanout.RelayService(vm.FailureDomain), Address: vm.Address,
			FailureDomain: vm.FailureDomain, Slots: peerSlots, State: place.Ready, Cores: vm.Cores, Peer: true}
	}
	gateway.peers = peers
	maps.DeleteFunc(gateway.greetings, func(name string, _ rpc.Hello) bool {
		return !slices.ContainsFunc(peers, func(vm platform.VM) bool { return vm.Name == name })
	})
	if len(peers) < len(listed) {
		gateway.fleet.MarkListed()
	}
	gateway.fleet.ReplacePeers(time.Now(), relays)
	gateway.follower.SetPeers(toFollowPeers(peers))
	gateway.budgets.SetVMs(time.Now(), len(peers)+1)
}

// Greeted implements peer.Handler; it records the build of a peer, as each restart of the peer may change it.
func (gateway *Gateway) Greeted(hello rpc.Hello) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	before, known := gateway.greetings[hello.VM]
	gateway.greetings[hello.VM] = hello
	now := time.Now()
	gateway.fleet.RelayCapable(now, place.NamedCalls, hello.VM, hello.Can(rpc.NamedTargets))
	gateway.fleet.RelayCapable(now, place.MergedCalls, hello.VM, hello.Can(rpc.NamedTargets, rpc.RecordLimit))
	if !known || before.Build != hello.Build {
		gateway.log.Info("build of peer known", zap.String("peer", truncate(hello.VM)), zap.String("build", truncate(hello.Build)),
			zap.Int("capabilities", len(hello.Capabilities)))
	}
}

// unlisted reports whether the list of entry VMs, which this VM has just read, lacks a peer; the caller holds mu.
func (gateway *Gateway) unlisted(now time.Time, peer string) bool {
	endpoint, ok := gateway.fleet.Endpoint(peer)
	return now.Sub(gateway.peersReadAt) <= freshListAge && !(ok && endpoint.Peer)
}

// deregister removes this VM's entry from the store, so that peers stop sending it requests to relay.
func (gateway *Gateway) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	store := gateway.newStore(platform.VMsKind)
	defer store.Close()
	if err := store.DeleteVM(ctx, gateway.self()); err != nil {
		gateway.log.Info("removing own entry from the store failed", zap.Error(err))
	}
}
