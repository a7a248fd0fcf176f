package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

const (
	syncInterval      = 200 * time.Millisecond  // the source of store updates is chosen this often
	startSyncInterval = 50 * time.Millisecond   // the source is chosen this often until a configuration and the targets are known
	firstPeersTimeout = 800 * time.Millisecond  // the VM waits this long for the list of entry VMs when it starts
	subscribeInterval = time.Second             // a subscribe message to the same source is repeated after this time
	subscriptionTTL   = 2500 * time.Millisecond // a subscribe message keeps the subscription alive for this time
	heartbeatInterval = 400 * time.Millisecond  // a subscriber without an update gets a heartbeat after this time
	storePingInterval = 400 * time.Millisecond  // the store is pinged this often while there are subscribers; a ping costs a tenth of a List call
	storePingTimeout  = 400 * time.Millisecond  // a ping of the store takes this time at most
	storeAnswerTTL    = 1200 * time.Millisecond // the VM counts as connected to the store for this time after an answer
)

// subscriber is a VM that gets store updates from this one.
type subscriber struct {
	reply       peer.Reply
	expires     time.Time
	lastSent    time.Time // time of the last message sent to it
	sentThrough int64     // revision up to which it was sent the targets
	sentEra     int64     // of that revision
}

// syncStore keeps the configuration and the targets up to date, from the store or from another VM's updates.
func (gateway *Gateway) syncStore(ctx context.Context) {
	var subscribedAt time.Time
	var unsent atomic.Bool // the last subscribe message was not sent, as when the source has not started yet
	var cancel context.CancelFunc
	defer func() {
		if cancel != nil {
			cancel()
		}
	}()
	select { // a VM that knows its peers can subscribe to one rather than read the store
	case <-gateway.peersRead:
	case <-time.After(firstPeersTimeout):
	}
	for ; ctx.Err() == nil; sleep(ctx, gateway.syncPause()) {
		now := time.Now()
		gateway.pauses.Tick(now)
		gateway.mu.Lock()
		if gateway.noteEra(now) {
			subscribedAt = time.Time{} // the source may send a full update of the new era
		}
		before := gateway.plan
		gateway.view.Ticked(now)
		plan := gateway.follower.Tick(now)
		gateway.plan = plan
		source, _ := gateway.fleet.Endpoint(plan.Source)
		candidate, _ := gateway.fleet.Endpoint(plan.Candidate)
		revisions := gateway.revisions()
		gateway.refreshEvacuations(now, "hold ended")
		gateway.sendHeartbeats(now)
		gateway.mu.Unlock()
		if plan != before {
			gateway.log.Info("source of store updates changed", zap.Bool("watchStore", plan.WatchStore), zap.String("source", plan.Source), zap.String("candidate", plan.Candidate),
				zap.Int64("config", revisions.Config), zap.Int64("targets", revisions.Servers))
		}
		if plan.WatchStore && cancel == nil {
			cancel = gateway.startWatches(ctx)
		} else if !plan.WatchStore && cancel != nil {
			cancel()
			cancel = nil
		}
		if plan.Candidate != "" && plan.Candidate != before.Candidate {
			gateway.mesh.Notify(plan.Candidate, candidate.Address, peer.Message{Method: rpc.MethodSubscribe, Params: revisions})
		}
		if plan.Source != "" && (plan.Source != before.Source || unsent.Swap(false) || now.Sub(subscribedAt) >= subscribeInterval) {
			subscribedAt = now
			gateway.mesh.Notify(plan.Source, source.Address, peer.Message{Method: rpc.MethodSubscribe, Params: revisions, OnUnsent: func(peer.Kind) { unsent.Store(true) }})
		}
	}
}

// syncPause returns the time to the next choice of a source.
func (gateway *Gateway) syncPause() time.Duration {
	if gateway.bootstrapped() {
		return syncInterval
	}
	return startSyncInterval
}

// startWatches starts the watches of the store and returns the function that ends them.
func (gateway *Gateway) startWatches(ctx context.Context) context.CancelFunc {
	watchCtx, cancel := context.WithCancel(ctx)
	gateway.endRead(platform.ConfigKind, false) // the last watch may have ended long ago
	go gateway.watchKind(watchCtx, platform.ConfigKind)
	go gateway.watchKind(watchCtx, platform.TargetsKind)
	go gateway.loadQuarantines(watchCtx)
	if gateway.watchesEvacuations() {
		go gateway.watchKind(watchCtx, platform.EvacuationsKind)
	}
	go gateway.pingStore(watchCtx)
	return cancel
}

// sendHeartbeats drops expired subscribers and sends due heartbeats to the others; the caller holds mu.
func (gateway *Gateway) sendHeartbeats(now time.Time) {
	for name, subscriber := range gateway.subscribers {
		switch {
		case now.After(subscriber.expires):
			delete(gateway.subscribers, name)
		case now.Sub(subscriber.lastSent) >= heartbeatInterval:
			subscriber.lastSent = now
			subscriber.reply(rpc.MethodStoreUpdate, rpc.StoreUpdate{StoreReachable: gateway.storeReachable(now), ViewAge: gateway.sharedViewAge(now),
				Era: gateway.era.Known(), VMs: gateway.quotas.currentCount(), Unlisted: gateway.unlisted(now, name)})
		}
	}
}

// storeReachable reports whether this VM is connected to the store itself; the caller holds mu.
func (gateway *Gateway) storeReachable(now time.Time) bool {
	return gateway.follower.IsSource() && now.Sub(gateway.storeAnswered) < storeAnswerTTL
}

// pingStore checks the connection to the store while subscribers or the check of keys rely on this VM's view of it.
func (gateway *Gateway) pingStore(ctx context.Context) {
	store := gateway.newStore("ping")
	defer store.Close()
	var lastPing time.Time
	for ; ctx.Err() == nil; sleep(ctx, storePingInterval) {
		started := time.Now()
		if !gateway.pingNeeded(started.Sub(lastPing)) {
			continue
		}
		lastPing = started
		pingCtx, cancel := context.WithTimeout(ctx, storePingTimeout)
		err := store.Ping(pingCtx)
		cancel()
		if ctx.Err() != nil {
			return
		}
		gateway.mu.Lock()
		now := time.Now()
		if err == nil {
			gateway.storeAnswered = now
		}
		if gateway.view.Pinged(now, started, err == nil) {
			gateway.restartReads(platform.ConfigKind)
		}
		gateway.mu.Unlock()
	}
}

// newStore returns a client of the store; its calls are counted in storeCalls by operation and use.
func (gateway *Gateway) newStore(use string) *platform.Store {
	return platform.NewStore(gateway.storeAddress, gateway.era, gateway.settings.Bounds.StoreTimeout(), func(op string) { storeCalls.Add(op+"."+use, 1) })
}

// subscribe registers or renews a subscriber and sends it what it lacks.
func (gateway *Gateway) subscribe(from string, reply peer.Reply, revisions rpc.StoreRevisions) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	_, renewed := gateway.subscribers[from]
	if !renewed {
		gateway.log.Info("peer subscribed to store updates", zap.String("peer", from), zap.Int64("config", revisions.Config), zap.Int64("targets", revisions.Servers))
	}
	update := gateway.updateSince(now, revisions)
	update.ViewAge, update.VMs, update.Unlisted = gateway.sharedViewAge(now), gateway.quotas.currentCount(), gateway.unlisted(now, from)
	gateway.subscribers[from] = &subscriber{reply: reply, expires: now.Add(subscriptionTTL), lastSent: now, sentThrough: revisions.Servers, sentEra: revisions.ServersEra}
	gateway.subscribers[from].sent(update)
	reply(rpc.MethodStoreUpdate, update)
	gateway.sendKnown(now, reply, renewed)
}

// receiveUpdate handles a store update from another VM.
func (gateway *Gateway) receiveUpdate(from string, update rpc.StoreUpdate) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := time.Now()
	storeReachable := update.StoreReachable && update.Era >= gateway.era.Known() // a source of a lower era has a store that was replaced
	if storeReachable {
		gateway.confirmView(now, from, update)
		if from == gateway.plan.Source {
			gateway.quotas.countHeard(update.VMs, update.Unlisted)
			gateway.noteUnlisted(now, from, update.Unlisted)
		}
	}
	gateway.follower.HeardFrom(now, from, storeReachable)
	gateway.era.Raise(update.Era)
	gateway.applyUpdate(from, update) // also from a former source: eras and revisions make stale updates harmless
}

// noteUnlisted has the list of entry VMs read if another VM's lacks this VM, unless it was read a moment ago; the caller holds mu.
func (gateway *Gateway) noteUnlisted(now time.Time, peer string, unlisted bool) {
	if !unlisted || now.Sub(gateway.peersReadAt) <= freshListAge {
		return
	}
	select {
	case gateway.entryMissing <- struct{}{}:
		gateway.log.Info("a peer's list of entry VMs lacks this VM", zap.String("peer", peer))
	default:
	}
}

// applyUpdate applies a store update and forwards what was new to the subscribers; the caller holds mu.
func (gateway *Gateway) applyUpdate(source string, update rpc.StoreUpdate) {
	if object := update.Config; object != nil && platform.IsUnreadable(object.Spec) {
		gateway.log.Warn("unreadable configuration ignored", zap.String("source", source), zap.Int64("revision", object.Revision))
		update.Config = nil // the last one stays, also for VMs that start
	}
	config, targets := gateway.storeCache.Apply(update)
	if config != nil {
		gateway.applyConfig(source, *config)
	} else if update.Config != nil && update.Config.Era > 0 && source == "store" {
		gateway.log.Info("configuration not newer than the current one", zap.Int64("era", update.Config.Era), zap.Int64("revision", update.Config.Revision))
	}
	for _, object := range targets {
		gateway.applyTarget(source, object)
	}
	if gateway.storeCache.Revisions().Servers > 0 {
		gateway.targetsKnown = true
	}
	now := time.Now()
	evacuations := gateway.applyEvacuations(now, source, update.Evacuations)
	if config == nil && len(targets) == 0 && evacuations == nil {
		return
	}
	gateway.forward(now, config, targets, evacuations)
}

// forward sends changes to the subscribers; the caller holds mu.
func (gateway *Gateway) forward(now time.Time, config *rpc.StoreObject, targets []rpc.StoreObject, evacuations *rpc.Evacuations) {
	revisions := gateway.storeCache.Revisions()
	forwarded := rpc.StoreUpdate{StoreReachable: gateway.storeReachable(now), ViewAge: gateway.sharedViewAge(now), Config: config, Servers: targets,
		Through: revisions.Servers, Evacuations: evacuations, Era: revisions.ServersEra,
		VMs: gateway.quotas.currentCount()}
	known := gateway.era.Known()
	for name, subscriber := range gateway.subscribers {
		forwarded.Unlisted = gateway.unlisted(now, name)
		// A subscriber of a lower era needs the full list, and so does one that may know targets whose deletion this VM has not seen.
		if revisions.ServersEra != known || subscriber.sentEra != known || !gateway.storeCache.KnowsDeletionsSince(subscriber.sentThrough) {
			update := gateway.updateSince(now, rpc.StoreRevisions{Servers: subscriber.sentThrough, ServersEra: subscriber.sentEra,
				Config: revisions.Config, ConfigEra: revisions.ConfigEra})
			update.Config, update.Evacuations, update.ViewAge, update.VMs, update.Unlisted = config, evacuations, forwarded.ViewAge, forwarded.VMs, forwarded.Unlisted
			subscriber.lastSent = now
			subscriber.sent(update)
			subscriber.reply(rpc.MethodStoreUpdate, update)
			continue
		}
		update := forwarded
		update.Since = subscriber.sentThrough
		subscriber.lastSent, subscriber.sentEra, subscriber.sentThrough = now, update.Era, update.Through
		subscriber.reply(rpc.MethodStoreUpdate, update)
	}
}

// sent records which targets an update carries.
func (subscriber *subscriber) sent(update rpc.StoreUpdate) {
	if update.Through > 0 {
		subscriber.sentEra, subscriber.sentThrough = update.Era, update.Through
	}
}

// toStoreObject converts an object of the store to the form that VMs exchange.
func toStoreObject(object platform.Object, afterOutage bool) rpc.StoreObject {
	return rpc.StoreObject{Name: object.Name, Era: object.Era, Revision: object.Revision, Spec: object.Spec, Deleted: object.Deleted, Lapsed: object.Deleted && afterOutage}
}

func toPlatformObject(object rpc.StoreObject) platform.Object {
	return platform.Object{Name: object.Name, Revision: object.Revision, Spec: object.Spec, Deleted: object.Deleted}
}

// toFollowPeers converts entry VMs to the form that the choice of a source uses.
func toFollowPeers(vms []platform.VM) []follow.Peer {
	peers := make([]follow.Peer, len(vms))
	for i, vm := range vms {
		peers[i] = follow.Peer{Name: vm.Name, FailureDomain: vm.FailureDomain, Cores: vm.Cores}
	}
	return peers
}
