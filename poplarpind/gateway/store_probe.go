package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"poplarpin.dev/platform"
)

// awaitStore waits after a failed call of the store until it answers a ping. Loops that wait at the same time share the pings; a ping costs a
// tenth of a call.
func (gateway *Gateway) awaitStore(ctx context.Context, store *platform.Store, backoff time.Duration) {
	answered := gateway.storeProbe.DoChan("", func() (any, error) {
		gateway.pingUntilAnswer(ctx, store, backoff)
		return nil, nil
	})
	select {
	case <-answered:
	case <-ctx.Done():
	}
}

// pingUntilAnswer pings the store with a growing backoff until it answers or the context ends.
func (gateway *Gateway) pingUntilAnswer(ctx context.Context, store *platform.Store, backoff time.Duration) {
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
