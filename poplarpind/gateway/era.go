package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/platform"
)

const (
	entryCheckJitter = time.Second      // all VMs notice a change of era at once, and each then checks its entry
	lostPeersHold    = 10 * time.Second // peers have this time to write the entries again that a restore of the store lost
)

// storeEras counts changes of the store's era, malformed headers, and answers discarded for a lower era.
var storeEras = expvar.NewMap("storeEras")

// noteEra handles a change of the store's era since the last call and reports whether there was one; the caller holds mu.
func (gateway *Gateway) noteEra(now time.Time) bool {
	era, changes := gateway.era.Changes()
	gateway.evacuations.NoteEra(now, era)
	if changes == gateway.eraChanges {
		return false
	}
	storeEras.Add("changes", int64(changes-gateway.eraChanges))
	gateway.eraChanges, gateway.eraChanged = changes, now
	revisions := gateway.storeCache.Revisions()
	gateway.log.Warn("store restored from an older copy", zap.Int64("era", era), zap.Int64("targetsEra", revisions.ServersEra),
		zap.Int64("targets", revisions.Servers), zap.Int64("configEra", revisions.ConfigEra), zap.Int64("config", revisions.Config))
	return true
}

// waitForPeersRead waits until the next read of the list of entry VMs. After a change of era it is read soon, as it may lack this VM, and so it is when
// a peer reports that it does; then missing is true.
func (gateway *Gateway) waitForPeersRead(ctx context.Context, wait time.Duration, handledChanges int) (missing bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := gateway.era.Changed()
		if _, changes := gateway.era.Changes(); changes != handledChanges {
			sleep(ctx, rand.N(entryCheckJitter))
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return false
		case <-gateway.entryMissing:
			return true
		case <-changed:
		}
	}
}

// withLostPeers returns a list of peers from the store with those that it lacks since a restore.
func (gateway *Gateway) withLostPeers(listed []platform.VM) []platform.VM {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.noteEra(time.Now())
	if gateway.eraChanged.IsZero() || time.Since(gateway.eraChanged) > lostPeersHold {
		return listed
	}
	for _, peer := range gateway.peers {
		if !slices.ContainsFunc(listed, func(vm platform.VM) bool { return vm.Name == peer.Name }) {
			listed = append(listed, peer)
		}
	}
	return listed
}
