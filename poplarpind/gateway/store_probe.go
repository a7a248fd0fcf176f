package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"poplarpin.dev/platform"
)

// storeProbe lets the loops that read the store wait together until it answers again.
type storeProbe struct {
	mu    sync.Mutex
	ended chan struct{} // closed at the end of the probe in progress; nil without one
}

// awaitStore waits after a failed call of the store until it answers a ping. Loops that wait at the same time share the pings; a ping costs a
// tenth of a call.
func (gateway *Gateway) awaitStore(ctx context.Context, store *platform.Store, backoff time.Duration) {
	probe := &gateway.storeProbe
	probe.mu.Lock()
	if inProgress := probe.ended; inProgress != nil {
		probe.mu.Unlock()
		select {
		case <-inProgress:
		case <-ctx.Done():
		}
		return
	}
	ended := make(chan struct{})
	probe.ended = ended
	probe.mu.Unlock()
	defer func() {
		probe.mu.Lock()
		defer probe.mu.Unlock()
		probe.ended = nil
		close(ended)
	}()
	for ctx.Err() == nil {
		sleep(ctx, backoff/2+rand.N(backoff/2))
		pingCtx, cancel := context.WithTimeout(ctx, storePingTimeout)
		err := store.Ping(pingCtx)
		cancel()
		if err == nil {
			return
		}
		backoff = min(2*backoff, gateway.backoffLimit())
	}
}
