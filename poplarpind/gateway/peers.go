package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/platform"
)

const (
	peersInterval     = 4 * time.Second        // between two readings of the entry VMs' entries; a tenth of a call each
	followersInterval = 20 * time.Second       // of VMs that learn from another
	peersRetry        = time.Second            // after a failed one
	startReads        = 2                      // readings after the start that follow each other quickly, as all VMs may have started
	peerSlots         = 16                     // requests that an entry VM relays at once without being slower for it
	leaveTimeout      = time.Second            // for the farewell of a planned stop
	enterWait         = 300 * time.Millisecond // after entering the list, for VMs that start at the same time to enter it too
)

// keepPeers enters this VM in the store and keeps the list of the other entry VMs.
func (gateway *Gateway) keepPeers(ctx context.Context) {
	store := gateway.newStore(platform.VMsKind)
	defer store.Close()
	reads, started := 0, false
	for ; ctx.Err() == nil; reads++ {
		wait := gateway.peersWait(reads)
		entered, err := gateway.readPeers(ctx, store, true)
		if err == nil && entered && !started { // whoever started at the same time is on the list soon
			pause(ctx, enterWait)
			_, err = gateway.readPeers(ctx, store, false)
		}
		if err != nil {
			gateway.log.Info("entry VMs not read", zap.Error(err))
			wait = peersRetry
		}
		if !started {
			started = true
			close(gateway.met)
		}
		pause(ctx, wait)
	}
}

// peersWait returns the time to the next reading: short while the system starts, long for VMs that learn from others.
func (gateway *Gateway) peersWait(reads int) time.Duration {
	if reads < startReads {
		return peersRetry
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.plan.WatchStore {
		return peersInterval
	}
	return followersInterval
}

// self is this VM's entry in the store.
func (gateway *Gateway) self() platform.VM {
	return platform.VM{Name: gateway.settings.VM, FailureDomain: gateway.settings.FailureDomain,
		Address: gateway.settings.MeshAddress(), StateAddress: gateway.settings.PeerAddress, Cores: gateway.settings.Cores}
}

// readPeers reads the list of entry VMs, or a somewhat older one for a tenth of the price, and reports whether it entered this
// VM because it was not in it.
func (gateway *Gateway) readPeers(ctx context.Context, store *platform.Store, stale bool) (bool, error) {
	var objects []platform.Object
	var err error
	if stale {
		objects, err = store.ListStale(ctx, platform.VMsKind)
	} else {
		objects, _, err = store.List(ctx, platform.VMsKind)
	}
	if err != nil && platform.KindOf(err) != platform.NotFound {
		return false, err
	}
	listed := false
	var peers []platform.VM
	for _, object := range objects {
		vm, err := platform.DecodeVM(object)
		switch {
		case err != nil:
			gateway.log.Info("entry VM's entry not usable", zap.String("name", clip(object.Name)), zap.Error(err))
		case vm.Name == gateway.settings.VM:
			listed = vm == gateway.self()
		default:
			peers = append(peers, vm)
		}
	}
	gateway.meet(peers)
	if listed || gateway.Draining() {
		return false, nil
	}
	gateway.log.Info("entering the list of entry VMs", zap.Int("peers", len(peers)))
	return true, store.PutVM(ctx, gateway.self())
}

// meet takes the list of the other entry VMs.
func (gateway *Gateway) meet(peers []platform.VM) {
	relays := make([]place.Endpoint, len(peers))
	for i, vm := range peers {
		relays[i] = place.Endpoint{ID: vm.Name, Service: fanout.RelayService(vm.FailureDomain), Address: vm.Address,
			FailureDomain: vm.FailureDomain, Slots: peerSlots, State: place.Ready, Cores: vm.Cores, Peer: true}
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.peers = peers
	gateway.fleet.ReplacePeers(time.Now(), relays)
	gateway.follower.SetPeers(peersOf(peers))
	gateway.budgets.SetVMs(time.Now(), len(peers)+1)
}

// leave takes this VM off the list, so that the others do not ask it any more.
func (gateway *Gateway) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	store := gateway.newStore(platform.VMsKind)
	defer store.Close()
	if err := store.DeleteVM(ctx, gateway.settings.VM); err != nil {
		gateway.log.Info("not taken off the list of entry VMs", zap.Error(err))
	}
}
