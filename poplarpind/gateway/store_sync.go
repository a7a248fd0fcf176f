package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

const (
	syncInterval      = 200 * time.Millisecond  // between two choices of the source of store updates
	firstPeersTimeout = 800 * time.Millisecond  // for the list of entry VMs at startup
	subscribeInterval = time.Second             // between two subscribe messages to the same source
	subscriptionTTL   = 2500 * time.Millisecond // for which a subscribe message keeps the subscription alive
	heartbeatInterval = 400 * time.Millisecond  // to subscribers that got no update meanwhile
	storePingInterval = 400 * time.Millisecond  // while there are subscribers; a ping costs a tenth of a List call
	storePingTimeout  = 400 * time.Millisecond
	storeAnswerTTL    = 1200 * time.Millisecond // for which the VM counts as connected to the store after an answer
)

// subscriber is a VM that gets store updates from this one.
type subscriber struct {
	reply       peer.Reply
	expires     time.Time
	lastSent    time.Time // time of the last message sent to it
	sentThrough int64     // revision up to which it was sent the targets
}

// syncStore keeps the configuration and the targets up to date, from the store or from another VM's updates.
func (gateway *Gateway) syncStore(ctx context.Context) {
	var subscribedAt time.Time
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
	for ; ctx.Err() == nil; sleep(ctx, syncInterval) {
		now := time.Now()
		gateway.mu.Lock()
		before := gateway.plan
		plan := gateway.follower.Tick(now)
		gateway.plan = plan
		source, _ := gateway.fleet.Endpoint(plan.Source)
		revisions := gateway.storeCache.Revisions()
		gateway.sendHeartbeats(now)
		gateway.mu.Unlock()
		if plan != before {
			gateway.log.Info("source of store updates changed", zap.Bool("watchStore", plan.WatchStore), zap.String("source", plan.Source),
				zap.Int64("config", revisions.Config), zap.Int64("targets", revisions.Servers))
		}
		if plan.WatchStore && cancel == nil {
			cancel = gateway.startWatches(ctx)
		} else if !plan.WatchStore && cancel != nil {
			cancel()
			cancel = nil
		}
		if plan.Source != "" && (plan.Source != before.Source || now.Sub(subscribedAt) >= subscribeInterval) {
			subscribedAt = now
			gateway.mesh.Notify(plan.Source, source.Address, rpc.MethodSubscribe, revisions, func() {})
		}
	}
}

// startWatches starts the watches of the store and returns the function that ends them.
func (gateway *Gateway) startWatches(ctx context.Context) context.CancelFunc {
	watchCtx, cancel := context.WithCancel(ctx)
	go gateway.watchKind(watchCtx, platform.ConfigKind)
	go gateway.watchKind(watchCtx, platform.TargetsKind)
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
			subscriber.reply(rpc.MethodStoreUpdate, rpc.StoreUpdate{StoreReachable: gateway.storeReachable(now), VMs: gateway.quotas.currentCount()})
		}
	}
}

// storeReachable reports whether this VM is connected to the store itself; the caller holds mu.
func (gateway *Gateway) storeReachable(now time.Time) bool {
	return gateway.follower.IsSource() && now.Sub(gateway.storeAnswered) < storeAnswerTTL
}

// pingStore checks the connection to the store while subscribers rely on this VM's view of it.
func (gateway *Gateway) pingStore(ctx context.Context) {
	store := gateway.newStore("ping")
	defer store.Close()
	for ; ctx.Err() == nil; sleep(ctx, storePingInterval) {
		gateway.mu.Lock()
		needed := len(gateway.subscribers) > 0
		gateway.mu.Unlock()
		if !needed {
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, storePingTimeout)
		err := store.Ping(pingCtx)
		cancel()
		gateway.mu.Lock()
		if now := time.Now(); err == nil {
			gateway.storeAnswered, gateway.viewConfirmed = now, now
		}
		gateway.mu.Unlock()
	}
}

// newStore returns a client of the store; its calls are counted in storeCalls by operation and use.
func (gateway *Gateway) newStore(use string) *platform.Store {
	return platform.NewStore(gateway.storeAddress, func(op string) { storeCalls.Add(op+"."+use, 1) })
}

// subscribe registers or renews a subscriber and sends it what it lacks.
func (gateway *Gateway) subscribe(from string, reply peer.Reply, revisions rpc.StoreRevisions) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if _, ok := gateway.subscribers[from]; !ok {
		gateway.log.Info("peer subscribed to store updates", zap.String("peer", from), zap.Int64("config", revisions.Config), zap.Int64("targets", revisions.Servers))
	}
	update := gateway.storeCache.UpdateSince(revisions, gateway.storeReachable(now))
	update.VMs = gateway.quotas.currentCount()
	gateway.subscribers[from] = &subscriber{reply: reply, expires: now.Add(subscriptionTTL), lastSent: now, sentThrough: max(revisions.Servers, update.Through)}
	reply(rpc.MethodStoreUpdate, update)
}

// receiveUpdate handles a store update from another VM.
func (gateway *Gateway) receiveUpdate(from string, update rpc.StoreUpdate) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	now := time.Now()
	if from == gateway.plan.Source && update.StoreReachable {
		gateway.viewConfirmed = now
		gateway.quotas.countHeard(update.VMs)
	}
	gateway.follower.HeardFrom(now, from, update.StoreReachable)
	gateway.applyUpdate(from, update) // also from a former source: revisions make stale updates harmless
}

// applyUpdate applies a store update and forwards what was new to the subscribers; the caller holds mu.
func (gateway *Gateway) applyUpdate(source string, update rpc.StoreUpdate) {
	config, targets := gateway.storeCache.Apply(update)
	if config != nil {
		gateway.applyConfig(source, *config)
	}
	for _, object := range targets {
		gateway.applyTarget(source, object)
	}
	if update.Through > 0 {
		gateway.targetsKnown = true
	}
	if config == nil && len(targets) == 0 {
		return
	}
	now := time.Now()
	forwarded := rpc.StoreUpdate{StoreReachable: gateway.storeReachable(now), Config: config, Servers: targets, Through: gateway.storeCache.Revisions().Servers, VMs: gateway.quotas.currentCount()}
	for _, subscriber := range gateway.subscribers {
		forwarded.Since = subscriber.sentThrough
		subscriber.lastSent, subscriber.sentThrough = now, forwarded.Through
		subscriber.reply(rpc.MethodStoreUpdate, forwarded)
	}
}

// toStoreObject converts an object of the store to the form that VMs exchange.
func toStoreObject(object platform.Object, afterOutage bool) rpc.StoreObject {
	return rpc.StoreObject{Name: object.Name, Revision: object.Revision, Spec: object.Spec, Deleted: object.Deleted, Lapsed: object.Deleted && afterOutage}
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
