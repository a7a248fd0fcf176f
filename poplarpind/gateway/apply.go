package gateway

import (
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
)

// applyTable puts a configuration in force if it is newer than the one that is; the caller holds the lock.
func (gateway *Gateway) applyTable(source string, entry rpc.StoreObject) {
	table, problems, err := platform.DecodeRouteTable(objectOf(entry))
	if err != nil {
		gateway.log.Warn("configuration not usable", zap.String("source", source), zap.Int64("revision", entry.Revision), zap.Error(err))
		return
	}
	for _, problem := range problems {
		gateway.log.Warn("route left out", zap.Int64("version", table.Version), zap.Error(problem))
	}
	if current := gateway.table.Load(); current != nil && current.Version >= table.Version {
		return
	}
	gateway.table.Store(table)
	gateway.log.Info("configuration in force", zap.Int64("version", table.Version), zap.Int64("revision", entry.Revision),
		zap.String("source", source), zap.Int("routes", table.RouteCount()))
}

// applyServer takes a change of one server's entry; the caller holds the lock.
func (gateway *Gateway) applyServer(source string, entry rpc.StoreObject) {
	now := time.Now()
	if entry.Deleted {
		if entry.Lapsed {
			gateway.fleet.MarkLapsed(now, entry.Name)
		} else {
			gateway.fleet.Remove(entry.Name)
		}
		gateway.log.Info("server's entry gone", zap.String("server", clip(entry.Name)), zap.Int64("revision", entry.Revision),
			zap.String("source", source), zap.Bool("lapsed", entry.Lapsed))
		return
	}
	server, err := platform.DecodeTarget(objectOf(entry))
	if err != nil {
		gateway.fleet.Remove(entry.Name)
		gateway.log.Info("server's entry not usable", zap.String("server", clip(entry.Name)), zap.String("source", source), zap.Error(err))
		return
	}
	if gateway.fleet.Update(now, server) {
		gateway.log.Info("server's entry changed", zap.String("server", server.ID), zap.String("service", server.Service),
			zap.String("state", string(server.State)), zap.String("domain", server.FailureDomain), zap.Int64("revision", entry.Revision),
			zap.String("source", source))
	}
}
