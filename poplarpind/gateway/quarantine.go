package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/poison"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/every"
)

const (
	saveInterval       = time.Second // unsaved quarantines are written this often
	loadRetryInterval  = time.Second // a failed read of the saved quarantines is repeated after this time
	quarantineKeepTime = time.Hour   // a quarantine's object is deleted this time after its end, as clocks may differ
)

// saveQuarantines writes the quarantines that this VM has begun or ended to the store, until the store has them.
func (gateway *Gateway) saveQuarantines(ctx context.Context) {
	store := gateway.newStore(platform.QuarantinesKind)
	defer store.Close()
	every.Run(ctx, saveInterval, func() {
		gateway.mu.Lock()
		unsaved := gateway.suspects.Unsaved()
		gateway.mu.Unlock()
		for _, fingerprint := range unsaved {
			if err := gateway.saveQuarantine(ctx, store, fingerprint); err != nil {
				gateway.log.Info("saving a quarantine failed", zap.Stringer("fingerprint", fingerprint), zap.Error(err))
				return
			}
		}
	})
}

func (gateway *Gateway) saveQuarantine(ctx context.Context, store *platform.Store, fingerprint poison.Fingerprint) error {
	gateway.mu.Lock()
	quarantine, ok := gateway.suspects.Quarantine(time.Now(), fingerprint)
	gateway.mu.Unlock()
	var err error
	if ok {
		err = store.PutQuarantine(ctx, quarantine)
	} else {
		err = store.DeleteQuarantine(ctx, fingerprint)
	}
	if err != nil {
		return err
	}
	gateway.mu.Lock()
	gateway.suspects.Saved(fingerprint)
	gateway.mu.Unlock()
	return nil
}

// loadQuarantines reads the saved quarantines once, and deletes those that ended long ago.
func (gateway *Gateway) loadQuarantines(ctx context.Context) {
	store := gateway.newStore(platform.QuarantinesKind)
	defer store.Close()
	for ctx.Err() == nil {
		objects, _, err := store.List(ctx, platform.QuarantinesKind)
		if err == nil || platform.KindOf(err) == platform.NotFound {
			gateway.restoreQuarantines(ctx, store, objects)
			return
		}
		gateway.awaitStore(ctx, store, loadRetryInterval)
	}
}

func (gateway *Gateway) restoreQuarantines(ctx context.Context, store *platform.Store, objects []platform.Object) {
	now := time.Now()
	for _, object := range objects {
		quarantine, err := platform.DecodeQuarantine(object)
		switch {
		case err != nil:
			gateway.log.Info("object of a quarantine rejected", zap.String("name", truncate(object.Name)), zap.Error(err))
		case now.Sub(quarantine.Until) > quarantineKeepTime:
			if err := store.DeleteQuarantine(ctx, quarantine.Fingerprint); err != nil {
				gateway.log.Info("deleting a quarantine failed", zap.Stringer("fingerprint", quarantine.Fingerprint), zap.Error(err))
			}
		default:
			gateway.mu.Lock()
			gateway.suspects.Restore(now, quarantine)
			gateway.logSuspects()
			gateway.signalObservations()
			gateway.mu.Unlock()
		}
	}
}
