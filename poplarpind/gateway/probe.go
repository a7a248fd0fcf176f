package gateway

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/poplarpind/every"
)

const (
	probeInterval  = 250 * time.Millisecond // between two probes of failure domains that seem unreachable
	probeTimeout   = 200 * time.Millisecond // for connecting to one of their targets
	requestsDecay  = 0.95                   // applied to the request counts at each probe: half after 3.4 s
	minRequests    = 0.1                    // a route below this counts as unused
	minServedShare = 0.5                    // of the requests, which an isolated VM must be able to serve to stay in rotation
)

// probe checks failure domains that seem unreachable, and takes this VM out of the load balancer's rotation while it is
// isolated: while every other failure domain seems unreachable and the targets within reach cannot serve most requests.
func (gateway *Gateway) probe(ctx context.Context) {
	every.Run(ctx, probeInterval, gateway.probeOnce)
}

// probeOnce runs one round of probe.
func (gateway *Gateway) probeOnce() {
	now := time.Now()
	gateway.mu.Lock()
	gateway.decayRouteRequests()
	gateway.budgets.SetVMs(now, len(gateway.peers)+1)
	probes := gateway.fleet.Probes(now)
	isolated := gateway.fleet.Isolated(now) && !gateway.canServeMost(now)
	gateway.mu.Unlock()
	if gateway.isolated.Swap(isolated) != isolated {
		gateway.isolatedChanged.Store(&now)
		gateway.log.Warn("isolation changed", zap.Bool("isolated", isolated), zap.Int("unreachableDomains", len(probes)))
	}
	for _, probe := range probes {
		go gateway.tryConnect(probe)
	}
}

// retryAfter returns when a refused client should retry: if this VM is isolated, not before the load balancer has removed it.
func (gateway *Gateway) retryAfter(usual time.Duration) time.Duration {
	at := gateway.isolatedChanged.Load()
	if at == nil || !gateway.isolated.Load() {
		return usual
	}
	return max(balancerRemovalTime-time.Since(*at), usual)
}

// tryConnect connects to a target of a failure domain that seems unreachable.
func (gateway *Gateway) tryConnect(probe place.Probe) {
	conn, err := net.DialTimeout("tcp", probe.Address, probeTimeout)
	if err != nil {
		return // tried again at the next probe
	}
	_ = conn.Close() // nothing was sent on it
	gateway.mu.Lock()
	gateway.fleet.FailureDomainReached(probe.FailureDomain)
	gateway.mu.Unlock()
	gateway.log.Info("failure domain reached", zap.String("domain", probe.FailureDomain), zap.String("address", probe.Address))
}

// canServeMost reports whether reachable targets can serve most of the recent requests; the caller holds mu.
func (gateway *Gateway) canServeMost(now time.Time) bool {
	table := gateway.table.Load()
	if table == nil {
		return false
	}
	served, total := 0.0, 0.0
	for name, requests := range gateway.routeRequests {
		matched := table.ByName(name)
		if matched == nil {
			continue
		}
		minCoverage := 0.0
		if gather, ok := matched.Destination.(route.Gather); ok {
			minCoverage = gather.MinCoverage
		}
		total += requests
		if gateway.fleet.HasCoverage(now, matched.Services(), minCoverage) {
			served += requests
		}
	}
	return served >= minServedShare*total
}

// decayRouteRequests decays the request counts of the routes; the caller holds mu.
func (gateway *Gateway) decayRouteRequests() {
	for name := range gateway.routeRequests {
		if gateway.routeRequests[name] *= requestsDecay; gateway.routeRequests[name] < minRequests {
			delete(gateway.routeRequests, name)
		}
	}
}
