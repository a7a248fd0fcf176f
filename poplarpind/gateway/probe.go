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
	probeInterval = 250 * time.Millisecond // between two looks at failure domains that seem cut off
	probeTimeout  = 200 * time.Millisecond // for a connection to one of their servers
	askedFactor   = 0.95                   // that a route's requests count less by at each look: half after 3.4 s
	leastAsked    = 0.1                    // below which a route counts as not in use
	leastServed   = 0.5                    // share of the requests that this VM must be able to serve to stay in rotation
)

// probe tries failure domains that seem cut off, and takes this VM out of the balancer's rotation while it is cut off from
// servers that its clients need.
func (gateway *Gateway) probe(ctx context.Context) {
	every.Run(ctx, probeInterval, gateway.look)
}

// look does so once.
func (gateway *Gateway) look() {
	now := time.Now()
	gateway.mu.Lock()
	gateway.forget()
	gateway.budgets.SetVMs(now, len(gateway.peers)+1)
	probes := gateway.fleet.Probes(now)
	stranded := gateway.fleet.Isolated(now) && !gateway.selfSufficient(now)
	gateway.mu.Unlock()
	if gateway.stranded.Swap(stranded) != stranded {
		gateway.strandedAt.Store(&now)
		gateway.log.Warn("reach of other failure domains changed", zap.Bool("stranded", stranded), zap.Int("cutOff", len(probes)))
	}
	for _, probe := range probes {
		go gateway.try(probe)
	}
}

// comeBack returns when a client that was refused may come back: while this VM is stranded, once the balancer sends it elsewhere.
func (gateway *Gateway) comeBack(usual time.Duration) time.Duration {
	at := gateway.strandedAt.Load()
	if at == nil || !gateway.stranded.Load() {
		return usual
	}
	return max(rotationSpan-time.Since(*at), usual)
}

// try connects to a server of a failure domain that seems cut off.
func (gateway *Gateway) try(probe place.Probe) {
	conn, err := net.DialTimeout("tcp", probe.Address, probeTimeout)
	if err != nil {
		return // it is tried again as long as it seems cut off
	}
	_ = conn.Close() // nothing was sent on it
	gateway.mu.Lock()
	gateway.fleet.FailureDomainReached(probe.FailureDomain)
	gateway.mu.Unlock()
	gateway.log.Info("failure domain reached", zap.String("domain", probe.FailureDomain), zap.String("address", probe.Address))
}

// selfSufficient reports whether most of the requests that come can be served by servers that can be reached; the caller
// holds the lock.
func (gateway *Gateway) selfSufficient(now time.Time) bool {
	table := gateway.table.Load()
	if table == nil {
		return false
	}
	served, total := 0.0, 0.0
	for name, asked := range gateway.asked {
		found := table.ByName(name)
		if found == nil {
			continue
		}
		least := 0.0
		if gather, ok := found.Destination.(route.Gather); ok {
			least = gather.MinCoverage
		}
		total += asked
		if gateway.fleet.HasCoverage(now, found.Services(), least) {
			served += asked
		}
	}
	return served >= leastServed*total
}

// forget lets the requests of each route count less the longer ago they were; the caller holds the lock.
func (gateway *Gateway) forget() {
	for name := range gateway.asked {
		if gateway.asked[name] *= askedFactor; gateway.asked[name] < leastAsked {
			delete(gateway.asked, name)
		}
	}
}
