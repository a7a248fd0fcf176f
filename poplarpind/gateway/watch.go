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
	minTargetsPause   = 250 * time.Millisecond // the pause between two watches of targets lasts this time at least, so that one call returns several changes
	maxTargetsPause   = 500 * time.Millisecond // the pause between two watches of targets lasts this time at most
	targetsPauseShare = 0.1                    // the pause is this share of the time within which a draining target must get no more calls
	alonePauseFactor  = 2                      // multiplies the pause of a VM without subscribers
	configWatchPause  = 50 * time.Millisecond  // the pause between two watches of the configuration
	minBackoff        = 100 * time.Millisecond // the backoff after the first failed store call
	maxBackoff        = 400 * time.Millisecond // the longest backoff: a tenth of the 4 s after which a VM that was cut off counts as connected again
	maxBackoffFactor  = 4                      // multiplies maxBackoff for VMs that rank low as watchers, so that an outage does not make every VM call the store
	emptyKindPause    = time.Second            // a kind that the store answered with 404 is requested again after this time
	outageFailures    = 2                      // this many failed calls in a row count as an outage, during which entries may lapse
	expireInterval    = time.Second            // targets whose grace period has passed are removed this often; they get no calls from its end on
	// An answer that cannot be read is asked for again after this time at most. It costs more than a ping, but a VM must follow soon once it is mended.
	maxUnreadableBackoff = time.Second
)

var storeCalls = expvar.NewMap("storeCalls")

// watchKind keeps the objects of one kind in step with the store.
func (gateway *Gateway) watchKind(ctx context.Context, kind string) {
	store := gateway.newStore(kind)
	defer store.Close()
	failures, backoff, known := 0, minBackoff, gateway.knownPosition(kind)
	read := store.List
	if kind == platform.EvacuationsKind {
		read = listStaleKind(store)
	}
	for ; ctx.Err() == nil; read = store.List {
		callCtx, cancel := gateway.beginRead(ctx, kind)
		position, err := gateway.listOrWatch(callCtx, store, read, kind, known, failures >= outageFailures)
		restarted := callCtx.Err() != nil
		cancel()
		if ctx.Err() != nil {
			return // another VM sends the updates from now on
		}
		gateway.endRead(kind, err == nil)
		if platform.KindOf(err) == platform.EraChanged {
			known = platform.Position{}
			continue
		}
		if restarted {
			continue
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
				gateway.log.Info("store reachable again", zap.String("kind", kind), zap.Int("failures", failures))
			}
			failures, backoff, known = 0, minBackoff, position
			continue
		}
		if failures++; failures == 1 || failures%failuresPerLogLine == 0 {
			gateway.log.Warn("store call failed", zap.String("kind", kind), zap.Int("failures", failures), zap.Error(err))
		}
		switch platform.KindOf(err) {
		case platform.Compacted:
			known = platform.Position{}
		case platform.Invalid: // the same call again would get the same unreadable answer
			known = gateway.otherRead(kind, known)
			sleep(ctx, backoff/2+rand.N(backoff/2))
			backoff = min(2*backoff, maxUnreadableBackoff)
			continue
		}
		backoff = min(backoff, gateway.backoffLimit())
		gateway.awaitStore(ctx, store, backoff)
		backoff = min(2*backoff, gateway.backoffLimit())
	}
}

// otherRead returns the position to continue from after an unreadable answer: none, for a list, after a watch; the known one after a list.
func (gateway *Gateway) otherRead(kind string, known platform.Position) platform.Position {
	if known.Revision > 0 {
		return platform.Position{}
	}
	return gateway.knownPosition(kind)
}

// backoffLimit returns the maximum backoff between store calls, which is longer for VMs that rank low as watchers.
func (gateway *Gateway) backoffLimit() time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return maxBackoff * time.Duration(min(1+gateway.follower.Rank()/2, maxBackoffFactor))
}

const failuresPerLogLine = 20 // one log line per this many failed calls

// knownPosition returns the position up to which the objects of a kind are known.
func (gateway *Gateway) knownPosition(kind string) platform.Position {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	revisions := gateway.storeCache.Revisions()
	position := platform.Position{Era: revisions.ServersEra, Revision: revisions.Servers}
	switch kind {
	case platform.ConfigKind:
		position = platform.Position{Era: revisions.ConfigEra, Revision: revisions.Config}
	case platform.EvacuationsKind:
		return platform.Position{} // the set has the revision of its last change, which the store may have compacted
	}
	return position
}

// listObjects is platform.Store.List or ListStale.
type listObjects func(ctx context.Context, kind string) ([]platform.Object, platform.Position, error)

// listStaleKind returns ListStale, whose gaps the watch from there fills, with List where the stale list does not know the kind: it then has
// no position, and that of the targets may be later than the kind's first object.
func listStaleKind(store *platform.Store) listObjects {
	return func(ctx context.Context, kind string) ([]platform.Object, platform.Position, error) {
		objects, position, err := store.ListStale(ctx, kind)
		if platform.KindOf(err) == platform.NotFound {
			return store.List(ctx, kind)
		}
		return objects, position, err
	}
}

// listOrWatch makes one call of the store and applies its result: a list if no revision is known, else a watch. It returns the
// position to continue from.
func (gateway *Gateway) listOrWatch(ctx context.Context, store *platform.Store, list listObjects, kind string, known platform.Position, afterOutage bool) (platform.Position, error) {
	if known.Revision == 0 {
		before := gateway.knownPosition(platform.TargetsKind)
		objects, position, err := list(ctx, kind)
		if kind == platform.EvacuationsKind && platform.KindOf(err) == platform.NotFound { // a kind without objects
			position, err = before, nil
			if position.Revision == 0 || position.Era != gateway.era.Known() { // unknown until the targets are listed
				sleep(ctx, gateway.targetsPause())
				return platform.Position{}, nil
			}
		}
		if err == nil {
			gateway.applyList(kind, objects, position, afterOutage)
		}
		return position, err
	}
	objects, position, err := store.Watch(ctx, kind, known, gateway.settings.Bounds.WatchTimes())
	if kind == platform.EvacuationsKind && platform.KindOf(err) == platform.NotFound {
		sleep(ctx, emptyKindPause)
		return platform.Position{}, nil
	}
	if err != nil {
		return known, err
	}
	gateway.mu.Lock()
	if kind == platform.EvacuationsKind {
		gateway.applyEvacuationChanges(objects)
	} else {
		gateway.applyUpdate("store", storeUpdateOf(kind, objects, position, afterOutage))
	}
	gateway.mu.Unlock()
	if kind == platform.TargetsKind {
		sleep(ctx, gateway.targetsPause())
	} else {
		sleep(ctx, configWatchPause)
	}
	return position, nil
}

// targetsPause returns the pause between two watches of targets.
func (gateway *Gateway) targetsPause() time.Duration {
	share := time.Duration(float64(gateway.settings.Bounds.MaxDrainDelay) * targetsPauseShare)
	pause := min(max(share, minTargetsPause), maxTargetsPause)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if len(gateway.subscribers) == 0 {
		return pause * alonePauseFactor
	}
	return pause
}

// storeUpdateOf returns the store update for objects of a kind that changed up to a position.
func storeUpdateOf(kind string, objects []platform.Object, position platform.Position, afterOutage bool) rpc.StoreUpdate {
	update := rpc.StoreUpdate{}
	for _, object := range objects {
		stored := toStoreObject(object, afterOutage)
		switch {
		case object.Name == "": // unreadable
		case kind == platform.TargetsKind:
			update.Servers = append(update.Servers, stored)
		case object.Name == platform.ConfigName:
			update.Config = &stored // the last one is the newest
		}
	}
	if kind == platform.TargetsKind {
		update.Through, update.Era = position.Revision, position.Era
	}
	return update
}

// applyList applies a complete list of a kind. Targets that it lacks were deleted, or have lapsed after an outage of the store.
func (gateway *Gateway) applyList(kind string, objects []platform.Object, position platform.Position, afterOutage bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	update := storeUpdateOf(kind, objects, position, afterOutage)
	if kind == platform.EvacuationsKind {
		update = rpc.StoreUpdate{Evacuations: evacuationsOf(objects, position)}
	}
	update.Full = kind == platform.TargetsKind
	if update.Full && update.Era <= gateway.storeCache.Revisions().ServersEra {
		listed := map[string]bool{}
		for _, object := range objects {
			listed[object.Name] = true
		}
		update.Servers = append(update.Servers, gateway.storeCache.Tombstones(listed, position.Revision, afterOutage)...)
	}
	gateway.applyUpdate("store", update)
	gateway.log.Info("store listed", zap.String("kind", kind), zap.Int("objects", len(objects)), zap.Int64("era", position.Era),
		zap.Int64("revision", position.Revision), zap.Bool("afterOutage", afterOutage))
}

// expireLapsed removes targets whose entries lapsed and did not come back within the grace period.
func (gateway *Gateway) expireLapsed(ctx context.Context) {
	every.Run(ctx, expireInterval, func() {
		gateway.mu.Lock()
		now := time.Now()
		expired := gateway.fleet.Expire(now)
		gateway.suspects.Tick(now)
		gateway.logSuspects()
		gateway.signalObservations()
		gateway.logStateChanges()
		gateway.mu.Unlock()
		for _, id := range expired {
			gateway.log.Info("target removed", zap.String("target", id), zap.String("reason", "entry lapsed and did not come back"))
		}
	})
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
