package gateway

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/stop"
	"poplarpin.dev/poplarpind/every"
)

const (
	probeInterval   = 250 * time.Millisecond // failure domains that seem cut off are probed this often
	probeTimeout    = 200 * time.Millisecond // a probe of a failure domain that is cut off takes this time at most
	suspectInterval = 50 * time.Millisecond  // failure domains with unanswered calls are looked at this often; an idle VM does not wake up for it
	suspectTimeout  = 120 * time.Millisecond // a probe of an endpoint that does not answer takes this time at most: several round trips between regions
	requestsDecay   = 0.95                   // multiplies the request counts at each probe, which halves them in 3.4 s
	minRequests     = 0.1                    // a route with a lower count is unused
	minServedShare  = 0.5                    // a VM that can serve this share of the recent requests stays in rotation though all other failure domains seem cut off
)

// probe checks failure domains that seem cut off, and takes this VM out of the load balancer's rotation while it is isolated:
// while every other failure domain seems cut off and the targets within reach cannot serve most of the recent requests.
func (gateway *Gateway) probe(ctx context.Context) {
	every.Run(ctx, probeInterval, gateway.probeOnce)
}

// watchSuspects looks at the failure domains with unanswered calls until there are none; the caller holds mu.
func (gateway *Gateway) watchSuspects() {
	if gateway.suspectsWatched || !gateway.fleet.AwaitsAnswers(time.Now()) {
		return
	}
	gateway.suspectsWatched = true
	time.AfterFunc(suspectInterval, gateway.probeSuspects)
}

// probeSuspects probes failure domains that have not answered for a short time.
func (gateway *Gateway) probeSuspects() {
	gateway.mu.Lock()
	probes := gateway.fleet.SuspectProbes(time.Now())
	gateway.suspectsWatched = false
	gateway.watchSuspects()
	gateway.mu.Unlock()
	for _, probe := range probes {
		go gateway.probeSuspect(probe)
	}
}

// probeSuspect connects to an endpoint of a failure domain that does not answer and records if that fails.
func (gateway *Gateway) probeSuspect(probe place.Probe) {
	if gateway.tryConnect(probe, suspectTimeout) {
		return
	}
	gateway.mu.Lock()
	gateway.fleet.ProbeFailed(probe)
	gateway.mu.Unlock()
	gateway.checkIsolation()
}

// probeOnce runs one round of probe.
func (gateway *Gateway) probeOnce() {
	now := time.Now()
	gateway.mu.Lock()
	gateway.decayRouteRequests()
	gateway.budgets.SetVMs(now, len(gateway.peers)+1) // this VM's share of the slack grows some time after startup
	probes := gateway.fleet.Probes(now)
	gateway.mu.Unlock()
	gateway.checkIsolation()
	for _, probe := range probes {
		go gateway.tryConnect(probe, probeTimeout)
	}
}

// checkIsolation updates whether this VM is isolated.
func (gateway *Gateway) checkIsolation() {
	now := time.Now()
	gateway.mu.Lock()
	isolated := gateway.fleet.Isolated(now) && !gateway.canServeMost(now)
	targets, vms := gateway.fleet.CutOffDomains(now)
	gateway.mu.Unlock()
	if before := gateway.cutOffTargets.Swap(int64(targets)); before != int64(targets) {
		gateway.log.Warn("reach of targets changed", zap.Int("domainsWithoutTargets", targets), zap.Int("domainsWithoutVMs", vms))
	}
	if gateway.isolated.Swap(isolated) != isolated {
		gateway.isolatedChanged.Store(&now)
		gateway.log.Warn("isolation changed", zap.Bool("isolated", isolated), zap.Int("cutOffDomains", targets))
	}
}

// retryAfter returns when a refused client should retry: if this VM is isolated, not before the load balancer has removed it.
func (gateway *Gateway) retryAfter(minDelay time.Duration) time.Duration {
	changedAt := gateway.isolatedChanged.Load()
	if changedAt == nil || !gateway.isolated.Load() {
		return minDelay
	}
	return max(stop.RemovalTime-time.Since(*changedAt), minDelay)
}

// tryConnect connects to a target or VM of a failure domain that seems cut off and reports whether it succeeded; the domain's targets, or its
// VMs, then count as reachable.
func (gateway *Gateway) tryConnect(probe place.Probe, timeout time.Duration) bool {
	conn, err := net.DialTimeout("tcp", probe.Address, timeout)
	if err != nil {
		return false // tried again at the next probe
	}
	_ = conn.Close() // nothing was sent on it
	gateway.mu.Lock()
	gateway.fleet.Reached(probe)
	gateway.mu.Unlock()
	gateway.log.Info("failure domain reached", zap.String("domain", probe.FailureDomain), zap.Bool("probedVM", probe.VM()), zap.String("address", probe.Address))
	return true
}

// canServeMost reports whether targets that can be called can serve at least minServedShare of the recent requests, also if there
// were none; the caller holds mu.
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
		if gateway.fleet.HasCoverage(now, relayKind(matched), matched.Services(), minCoverage) {
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
