package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
)

// shareEvery is the time between two messages that tell another VM what calls have shown of servers: short beside the tens of
// calls a second that a server gets from all VMs, long enough that a VM sends at most 20 of them a second to each.
const shareEvery = 50 * time.Millisecond

const mostRumours = 4096 // kept until they are passed on; later ones of the same span add little

// rumour is a finding and the VM whose call it comes from.
type rumour struct {
	place.Observation
	from string
}

// share tells the VMs of this failure domain, which call the same servers, what calls have shown. The VM that they all learn
// from passes on what it is told, so that messages grow with the number of VMs, not with its square.
func (gateway *Gateway) share(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gateway.toTell:
		}
		pause(ctx, shareEvery)
		gateway.mu.Lock()
		for _, finding := range gateway.fleet.TakeObservations() {
			gateway.rumours = append(gateway.rumours, rumour{finding, gateway.settings.VM})
		}
		rumours := gateway.rumours
		gateway.rumours = nil
		if len(rumours) > 0 {
			gateway.tell(rumours)
		}
		gateway.mu.Unlock()
	}
}

// wake lets share tell what there is; the caller holds the lock.
func (gateway *Gateway) wake() {
	if len(gateway.rumours) == 0 && !gateway.fleet.HasObservations() {
		return
	}
	select {
	case gateway.toTell <- struct{}{}:
	default: // it is awake
	}
}

// tell sends findings to the source of news and to the readers; the caller holds the lock.
func (gateway *Gateway) tell(rumours []rumour) {
	if source, ok := gateway.fleet.Endpoint(gateway.plan.Source); ok && source.FailureDomain == gateway.settings.FailureDomain {
		if list := except(rumours, source.ID); len(list) > 0 {
			gateway.mesh.Notify(source.ID, source.Address, rpc.MethodObservations, rpc.Observations{Observations: list}, func() {})
		}
	}
	for name, reader := range gateway.readers {
		vm, ok := gateway.fleet.Endpoint(name)
		if !ok || vm.FailureDomain != gateway.settings.FailureDomain || name == gateway.plan.Source {
			continue
		}
		if list := except(rumours, name); len(list) > 0 {
			reader.reply(rpc.MethodObservations, rpc.Observations{Observations: list})
		}
	}
	findings.Add("told", int64(len(rumours)))
}

// except returns the findings that a VM has not told itself.
func except(rumours []rumour, vm string) []place.Observation {
	var list []place.Observation
	for _, rumour := range rumours {
		if rumour.from != vm {
			list = append(list, rumour.Observation)
		}
	}
	return list
}

// hear takes what another VM's calls have shown, and keeps it for the readers if one of them told it.
func (gateway *Gateway) hear(from string, told []place.Observation) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	_, reads := gateway.readers[from]
	for _, finding := range told {
		if gateway.fleet.ApplyObservation(now, finding) {
			gateway.log.Info("another VM's call changes where calls go", zap.String("server", finding.Endpoint),
				zap.Float64("pace", finding.LatencyRatio), zap.String("from", from))
		}
		if reads && gateway.plan.WatchStore && from != gateway.plan.Source && len(gateway.rumours) < mostRumours { // never round in a ring
			gateway.rumours = append(gateway.rumours, rumour{finding, from})
		}
	}
	gateway.wake()
	findings.Add("heard", int64(len(told)))
}
