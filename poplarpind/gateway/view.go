package gateway

import (
	"context"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

const (
	defaultMaxViewAge = 5 * time.Second // where the settings do not say how soon a configuration is in force
	idlePingDivisor   = 4               // without subscribers the store is pinged this often within the maximum age of the view
)

// maxViewAge returns the age up to which this VM's view of the store is current.
func (gateway *Gateway) maxViewAge() time.Duration {
	if delay := gateway.settings.Bounds.MaxConfigDelay; delay > 0 {
		return delay
	}
	return defaultMaxViewAge
}

// viewOutdated reports whether this VM may lack a configuration that is in force, and returns the age of its view.
func (gateway *Gateway) viewOutdated(now time.Time) (age time.Duration, outdated bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	age, ok := gateway.view.Age(now)
	return age, !ok || age > gateway.maxViewAge()
}

// sharedViewAge returns the age of this VM's view for its subscribers, 0 while the configuration has no accounts. The caller holds mu.
func (gateway *Gateway) sharedViewAge(now time.Time) config.Duration {
	if table := gateway.table.Load(); table == nil || !table.HasAccounts() {
		return 0
	}
	return gateway.dumpedViewAge(now)
}

// dumpedViewAge returns the age of this VM's view in whole milliseconds, rounded up, 0 if it was never confirmed. The caller holds mu.
func (gateway *Gateway) dumpedViewAge(now time.Time) config.Duration {
	age, ok := gateway.view.Age(now)
	if !ok {
		return 0
	}
	return config.Duration(age.Truncate(time.Millisecond) + time.Millisecond)
}

// confirmView records what an update of the source says about the age of this VM's view. With accounts an update must state the age; the
// source may not know the configuration with the accounts yet. The caller holds mu.
func (gateway *Gateway) confirmView(now time.Time, from string, update rpc.StoreUpdate) {
	if from != gateway.plan.Source || !update.StoreReachable {
		return
	}
	if table := gateway.table.Load(); update.ViewAge == 0 && table != nil && table.HasAccounts() {
		return
	}
	gateway.view.SourceConfirmed(now, update.ViewAge.Std())
}

// pingNeeded reports whether the store is to be pinged at this time after the last ping: always with subscribers, and less often while the
// configuration has accounts.
func (gateway *Gateway) pingNeeded(sinceLast time.Duration) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if len(gateway.subscribers) > 0 {
		return true
	}
	table := gateway.table.Load()
	return table != nil && table.HasAccounts() && sinceLast >= gateway.maxViewAge()/idlePingDivisor
}

// beginRead records that objects of a kind are about to be listed or watched and returns the context of the call, which restartReads ends.
func (gateway *Gateway) beginRead(ctx context.Context, kind string) (context.Context, context.CancelFunc) {
	callCtx, cancel := context.WithCancel(ctx)
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.reads[kind] = cancel
	if kind == platform.ConfigKind {
		gateway.view.ReadStarted(time.Now())
	}
	return callCtx, cancel
}

// endRead records the end of that call.
func (gateway *Gateway) endRead(kind string, ok bool) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	delete(gateway.reads, kind)
	if kind == platform.ConfigKind {
		gateway.view.ReadEnded(ok)
	}
}

// restartReads ends the calls in flight that list or watch objects of some kinds, so that they are sent again; the caller holds mu.
func (gateway *Gateway) restartReads(kinds ...string) {
	for _, kind := range kinds {
		if cancel, ok := gateway.reads[kind]; ok {
			cancel()
		}
	}
}
