package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/every"
)

const (
	longestWatch   = 25 * time.Second       // that one watch stays open without news
	watchPart      = 0.6                    // of the time for which the store must be calm; a waiting watch may miss a change while history is dropped
	batchWait      = 250 * time.Millisecond // between two watches of servers, so that one call brings several changes
	configWait     = 50 * time.Millisecond  // between two watches of the configuration
	leastBackoff   = 100 * time.Millisecond // after a failed call of the store
	mostBackoff    = 400 * time.Millisecond // a tenth of the time after which a VM that was cut off counts as in touch
	patientBackoff = 4                      // times that, for VMs that others watch rather than: an outage must not cost a call of each
	outageAfter    = 2                      // failed calls in a row that count as an outage, in which entries may lapse
	expireInterval = time.Second            // between looks for entries that did not come back, which get no calls meanwhile
)

var storeCalls = expvar.NewMap("storeCalls")

// watch keeps the objects of one kind as they are in the store.
func (gateway *Gateway) watch(ctx context.Context, kind string) {
	store := gateway.newStore(kind)
	defer store.Close()
	failures, backoff, seen := 0, leastBackoff, gateway.knownOf(kind)
	for ctx.Err() == nil {
		at, err := gateway.follow(ctx, store, kind, seen, failures >= outageAfter)
		if ctx.Err() != nil {
			return // another VM tells the news from now on
		}
		gateway.mu.Lock()
		now := time.Now()
		gateway.follower.StoreResult(now, err == nil)
		if err == nil {
			gateway.storeAnswered = now
		}
		gateway.mu.Unlock()
		if err == nil {
			if failures > 0 {
				gateway.log.Info("store regained", zap.String("kind", kind), zap.Int("failures", failures))
			}
			failures, backoff, seen = 0, leastBackoff, at
			continue
		}
		if failures++; failures == 1 || failures%outageLogEvery == 0 {
			gateway.log.Warn("store call failed", zap.String("kind", kind), zap.Int("failures", failures), zap.Error(err))
		}
		if platform.KindOf(err) == platform.Compacted {
			seen = 0
		}
		pause(ctx, backoff/2+rand.N(backoff/2))
		backoff = min(2*backoff, gateway.longestBackoff())
	}
}

// longestBackoff returns the most time between two tries of the store, longer for VMs that come late in the order of watchers.
func (gateway *Gateway) longestBackoff() time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return mostBackoff * time.Duration(min(1+gateway.follower.Rank()/2, patientBackoff))
}

const outageLogEvery = 20 // failed calls between two log lines

// knownOf returns the revision up to which a kind is known.
func (gateway *Gateway) knownOf(kind string) int64 {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	known := gateway.book.Revisions()
	if kind == platform.ConfigKind {
		return known.Config
	}
	return known.Servers
}

// follow makes one call of the store and takes what it brings: a list where nothing was seen, else a watch. It returns the
// revision to go on from.
func (gateway *Gateway) follow(ctx context.Context, store *platform.Store, kind string, seen int64, lapsed bool) (int64, error) {
	if seen == 0 {
		objects, at, err := store.List(ctx, kind)
		if err == nil {
			gateway.listedBy(kind, objects, at, lapsed)
		}
		return at, err
	}
	objects, at, err := store.Watch(ctx, kind, seen, gateway.watchWait())
	if err != nil {
		return seen, err
	}
	gateway.mu.Lock()
	gateway.take("store", newsOf(kind, objects, at, lapsed))
	gateway.mu.Unlock()
	if kind == platform.TargetsKind {
		pause(ctx, batchWait)
	} else {
		pause(ctx, configWait)
	}
	return at, nil
}

// newsOf makes news of objects of a kind that changed up to a revision.
func newsOf(kind string, objects []platform.Object, at int64, lapsed bool) rpc.StoreUpdate {
	news := rpc.StoreUpdate{}
	for _, object := range objects {
		entry := entryOf(object, lapsed)
		if kind == platform.ConfigKind {
			news.Config = &entry // the last is the newest
		} else if object.Name != "" {
			news.Servers = append(news.Servers, entry)
		}
	}
	if kind == platform.TargetsKind {
		news.Through = at
	}
	return news
}

// listedBy takes a whole list of a kind. Entries that it lacks are gone, or have lapsed where the store was away.
func (gateway *Gateway) listedBy(kind string, objects []platform.Object, at int64, lapsed bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	news := newsOf(kind, objects, at, lapsed)
	if kind == platform.TargetsKind {
		named := map[string]bool{}
		for _, object := range objects {
			named[object.Name] = true
		}
		news.Servers = append(news.Servers, gateway.book.Tombstones(named, at, lapsed)...)
	}
	gateway.take("store", news)
	gateway.log.Info("store listed", zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Int64("revision", at), zap.Bool("lapsed", lapsed))
}

// watchWait returns how long one watch stays open without news.
func (gateway *Gateway) watchWait() time.Duration {
	window := gateway.settings.Bounds.StabilityWindow
	if window <= 0 {
		return longestWatch
	}
	return min(time.Duration(float64(window)*watchPart), longestWatch)
}

// expire forgets servers whose entries lapsed and did not come back.
func (gateway *Gateway) expire(ctx context.Context) {
	every.Run(ctx, expireInterval, func() {
		gateway.mu.Lock()
		gone := gateway.fleet.Expire(time.Now())
		gateway.mu.Unlock()
		for _, id := range gone {
			gateway.log.Info("server gone", zap.String("server", id), zap.String("reason", "its entry lapsed and did not come back"))
		}
	})
}

func pause(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
