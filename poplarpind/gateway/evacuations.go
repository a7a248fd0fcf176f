package gateway

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

// evacuatedDomains shows 1 for each failure domain that is evacuated, 0 once the evacuation has ended.
var evacuatedDomains = expvar.NewMap("evacuatedDomains")

// watchesEvacuations reports whether the deployment has evacuations.
func (gateway *Gateway) watchesEvacuations() bool {
	return gateway.settings.Bounds.MaxEvacuateDelay > 0
}

// revisions returns the revisions that this VM knows, from which it requests updates; the caller holds mu.
func (gateway *Gateway) revisions() rpc.StoreRevisions {
	revisions := gateway.storeCache.Revisions()
	revisions.EvacuationsEra, revisions.Evacuations = gateway.evacuations.Known()
	return revisions
}

// updateSince returns what a VM with these revisions lacks; the caller holds mu.
func (gateway *Gateway) updateSince(now time.Time, revisions rpc.StoreRevisions) rpc.StoreUpdate {
	update := gateway.storeCache.UpdateSince(revisions, gateway.storeReachable(now))
	if known := gateway.era.Known(); update.Through == 0 || update.Era < known && revisions.Servers > 0 { // outdated, except for a VM that knows nothing
		update = rpc.StoreUpdate{StoreReachable: update.StoreReachable, Config: update.Config, Era: known}
	}
	update.Evacuations = gateway.evacuations.Message(now, revisions.EvacuationsEra, revisions.Evacuations)
	return update
}

// evacuationsOf returns the set of evacuations that a complete list contains.
func evacuationsOf(objects []platform.Object, position platform.Position) *rpc.Evacuations {
	set := rpc.Evacuations{Era: position.Era, Revision: position.Revision}
	for _, object := range objects {
		if object.Name != "" {
			set.FailureDomains = append(set.FailureDomains, object.Name)
		}
	}
	return &set
}

// applyEvacuationChanges applies changes from the store, in order, and forwards the new set to the subscribers; the caller holds mu.
func (gateway *Gateway) applyEvacuationChanges(objects []platform.Object) {
	now, changed := time.Now(), false
	for _, object := range objects {
		if object.Name != "" && gateway.evacuations.Change(now, object.Era, object.Revision, object.Name, object.Deleted) {
			changed = true
		}
	}
	if !changed {
		return
	}
	gateway.refreshEvacuations(now, "store")
	gateway.forward(now, nil, nil, gateway.evacuations.Message(now, 0, 0))
}

// applyEvacuations applies a set if it is newer than the known one and returns what to forward, nil for nothing; the caller holds mu.
func (gateway *Gateway) applyEvacuations(now time.Time, source string, set *rpc.Evacuations) *rpc.Evacuations {
	if set == nil || !gateway.evacuations.Apply(now, *set) {
		return nil
	}
	gateway.refreshEvacuations(now, source)
	return gateway.evacuations.Message(now, 0, 0)
}

// refreshEvacuations puts the evacuations into force that are due; the caller holds mu.
func (gateway *Gateway) refreshEvacuations(now time.Time, source string) {
	began, ended := gateway.fleet.SetEvacuated(now, gateway.evacuations.InForce(now))
	era, revision := gateway.evacuations.Known()
	for _, name := range began {
		evacuatedDomains.Set(name, intVar(1))
		gateway.log.Warn("evacuation in force", zap.String("domain", truncate(name)), zap.Int64("era", era), zap.Int64("revision", revision), zap.String("source", source))
	}
	for _, name := range ended {
		evacuatedDomains.Set(name, intVar(0))
		gateway.log.Info("evacuation ended", zap.String("domain", truncate(name)), zap.Int64("era", era), zap.Int64("revision", revision), zap.String("source", source))
	}
}

// intVar returns an expvar variable with a value.
func intVar(value int64) expvar.Var {
	variable := new(expvar.Int)
	variable.Set(value)
	return variable
}
