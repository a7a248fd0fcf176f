package gateway

import (
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

// applyConfig applies a configuration if it is newer than the current one; the caller holds mu.
func (gateway *Gateway) applyConfig(source string, object rpc.StoreObject) {
	table, problems, err := platform.DecodeRouteTable(toPlatformObject(object))
	if err != nil {
		gateway.log.Warn("configuration rejected", zap.String("source", source), zap.Int64("revision", object.Revision), zap.Error(err))
		return
	}
	for _, problem := range problems {
		message := "route ignored"
		if failure, ok := problem.(*route.Error); ok && failure.Account != "" {
			message = "account or key ignored"
		}
		gateway.log.Warn(message, zap.Int64("version", table.Version), zap.Error(problem))
	}
	if current := gateway.table.Load(); current != nil && current.Version >= table.Version {
		return
	}
	gateway.table.Store(table)
	gateway.fleet.SetTable(table)
	gateway.log.Info("configuration applied", zap.Int64("version", table.Version), zap.Int64("revision", object.Revision),
		zap.String("source", source), zap.Int("routes", table.RouteCount()), zap.Int("accounts", len(table.Accounts())))
}

// applyTarget applies a change of one target's entry in the store. The target of a lapsed entry stays until its grace period has
// passed. The caller holds mu.
func (gateway *Gateway) applyTarget(source string, object rpc.StoreObject) {
	now := time.Now()
	if object.Deleted {
		if object.Lapsed {
			gateway.fleet.MarkLapsed(now, object.Name)
		} else {
			gateway.fleet.Remove(object.Name)
		}
		gateway.log.Info("target entry deleted or lapsed", zap.String("target", truncate(object.Name)), zap.Int64("revision", object.Revision),
			zap.String("source", source), zap.Bool("lapsed", object.Lapsed))
		return
	}
	target, err := platform.DecodeTarget(toPlatformObject(object))
	if err != nil {
		gateway.fleet.Remove(object.Name)
		gateway.log.Info("target entry rejected", zap.String("target", truncate(object.Name)), zap.String("source", source), zap.Error(err))
		return
	}
	if gateway.fleet.Update(now, target) {
		gateway.log.Info("target entry changed", zap.String("target", target.ID), zap.String("service", target.Service),
			zap.String("state", string(target.State)), zap.String("domain", target.FailureDomain), zap.Int64("revision", object.Revision),
			zap.String("source", source))
	}
}
