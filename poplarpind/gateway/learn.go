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
	learnInterval = 200 * time.Millisecond  // between two looks at where to learn from
	meetWait      = 800 * time.Millisecond  // for the list of entry VMs at the start
	followEvery   = time.Second             // between two requests for news of one source
	followFor     = 2500 * time.Millisecond // for which a request for news counts
	heartbeat     = 400 * time.Millisecond  // between two signs of life to those that ask for news
	pingEvery     = 400 * time.Millisecond  // between two calls by which a watching VM knows that it has the store; a tenth of a call each
	pingTimeout   = 400 * time.Millisecond
	freshFor      = 1200 * time.Millisecond // since the store's last answer, while a VM counts as having it
)

// reader is a VM that asks for news.
type reader struct {
	reply   peer.Reply
	until   time.Time
	told    time.Time // the last sign of life
	through int64     // revision up to which it was told of servers
}

// learn keeps configuration and servers up to date, from the store or from another VM.
func (gateway *Gateway) learn(ctx context.Context) {
	var asked time.Time
	var cancel context.CancelFunc
	defer func() {
		if cancel != nil {
			cancel()
		}
	}()
	select { // whoever knows the others need not ask the store for what they know
	case <-gateway.met:
	case <-time.After(meetWait):
	}
	for ; ctx.Err() == nil; pause(ctx, learnInterval) {
		now := time.Now()
		gateway.mu.Lock()
		before := gateway.plan
		plan := gateway.follower.Tick(now)
		gateway.plan = plan
		source, _ := gateway.fleet.Endpoint(plan.Source)
		known := gateway.book.Revisions()
		gateway.signs(now)
		gateway.mu.Unlock()
		if plan != before {
			gateway.log.Info("source of news changed", zap.Bool("watch", plan.WatchStore), zap.String("from", plan.Source),
				zap.Int64("config", known.Config), zap.Int64("servers", known.Servers))
		}
		if plan.WatchStore && cancel == nil {
			cancel = gateway.watchStore(ctx)
		} else if !plan.WatchStore && cancel != nil {
			cancel()
			cancel = nil
		}
		if plan.Source != "" && (plan.Source != before.Source || now.Sub(asked) >= followEvery) {
			asked = now
			gateway.mesh.Notify(plan.Source, source.Address, rpc.MethodSubscribe, known, func() {})
		}
	}
}

// watchStore starts the watches of the store and returns what ends them.
func (gateway *Gateway) watchStore(ctx context.Context) context.CancelFunc {
	watching, cancel := context.WithCancel(ctx)
	go gateway.watch(watching, platform.ConfigKind)
	go gateway.watch(watching, platform.TargetsKind)
	go gateway.ping(watching)
	return cancel
}

// signs tells those that ask for news that this VM lives; the caller holds the lock.
func (gateway *Gateway) signs(now time.Time) {
	for name, reader := range gateway.readers {
		switch {
		case now.After(reader.until):
			delete(gateway.readers, name)
		case now.Sub(reader.told) >= heartbeat:
			reader.told = now
			reader.reply(rpc.MethodStoreUpdate, rpc.StoreUpdate{StoreReachable: gateway.good(now)})
		}
	}
}

// good reports whether this VM has the store itself; the caller holds the lock.
func (gateway *Gateway) good(now time.Time) bool {
	return gateway.follower.IsSource() && now.Sub(gateway.storeAnswered) < freshFor
}

// ping asks the store for nothing while others rely on this VM's view of it.
func (gateway *Gateway) ping(ctx context.Context) {
	store := gateway.newStore("ping")
	defer store.Close()
	for ; ctx.Err() == nil; pause(ctx, pingEvery) {
		gateway.mu.Lock()
		needed := len(gateway.readers) > 0
		gateway.mu.Unlock()
		if !needed {
			continue
		}
		limit, cancel := context.WithTimeout(ctx, pingTimeout)
		err := store.Ping(limit)
		cancel()
		gateway.mu.Lock()
		if now := time.Now(); err == nil {
			gateway.storeAnswered = now
		}
		gateway.mu.Unlock()
	}
}

func (gateway *Gateway) newStore(use string) *platform.Store {
	return platform.NewStore(gateway.storeAddress, func(op string) { storeCalls.Add(op+"."+use, 1) })
}

// read serves a VM that asks for news.
func (gateway *Gateway) read(from string, reply peer.Reply, known rpc.StoreRevisions) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if _, ok := gateway.readers[from]; !ok {
		gateway.log.Info("entry VM asks for news", zap.String("peer", from), zap.Int64("config", known.Config), zap.Int64("servers", known.Servers))
	}
	news := gateway.book.UpdateSince(known, gateway.good(now))
	gateway.readers[from] = &reader{reply: reply, until: now.Add(followFor), told: now, through: max(known.Servers, news.Through)}
	reply(rpc.MethodStoreUpdate, news)
}

// news takes what another VM tells.
func (gateway *Gateway) news(from string, news rpc.StoreUpdate) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.follower.HeardFrom(time.Now(), from, news.StoreReachable)
	gateway.take(from, news) // revisions see to it that old news do no harm
}

// take puts news in force and passes on what is new; the caller holds the lock.
func (gateway *Gateway) take(source string, news rpc.StoreUpdate) {
	config, servers := gateway.book.Apply(news)
	if config != nil {
		gateway.applyTable(source, *config)
	}
	for _, entry := range servers {
		gateway.applyServer(source, entry)
	}
	if news.Through > 0 {
		gateway.listed = true
	}
	if config == nil && len(servers) == 0 {
		return
	}
	now := time.Now()
	fresh := rpc.StoreUpdate{StoreReachable: gateway.good(now), Config: config, Servers: servers, Through: gateway.book.Revisions().Servers}
	for _, reader := range gateway.readers {
		fresh.Since = reader.through
		reader.told, reader.through = now, fresh.Through
		reader.reply(rpc.MethodStoreUpdate, fresh)
	}
}

// entryOf is an object of the store as VMs tell it to each other.
func entryOf(object platform.Object, lapsed bool) rpc.StoreObject {
	return rpc.StoreObject{Name: object.Name, Revision: object.Revision, Spec: object.Spec, Deleted: object.Deleted, Lapsed: object.Deleted && lapsed}
}

func objectOf(entry rpc.StoreObject) platform.Object {
	return platform.Object{Name: entry.Name, Revision: entry.Revision, Spec: entry.Spec, Deleted: entry.Deleted}
}

// peersOf are the entry VMs as the choice of a source needs them.
func peersOf(vms []platform.VM) []follow.Peer {
	peers := make([]follow.Peer, len(vms))
	for i, vm := range vms {
		peers[i] = follow.Peer{Name: vm.Name, FailureDomain: vm.FailureDomain, Cores: vm.Cores}
	}
	return peers
}
