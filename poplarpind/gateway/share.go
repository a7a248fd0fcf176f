package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
)

// shareInterval is the time between two messages with observations: so short that a target gets only a few calls meanwhile (tens a
// second from all VMs), and so long that a VM sends each peer at most 20 messages a second.
const shareInterval = 50 * time.Millisecond

const maxForwardedObservations = 4096 // observations to forward between two messages; further ones add little and are dropped

// reportedObservation is an observation with the VM that reported it.
type reportedObservation struct {
	place.Observation
	reporter string
}

// shareObservations sends observations to the VMs of this failure domain, which call the same targets. The VM that the others
// get their store updates from forwards what it receives, so that the number of messages grows with the number of VMs, not its
// square.
func (gateway *Gateway) shareObservations(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-gateway.observationsReady:
		}
		sleep(ctx, shareInterval)
		gateway.mu.Lock()
		for _, observation := range gateway.fleet.TakeObservations() {
			gateway.pendingObservations = append(gateway.pendingObservations, reportedObservation{observation, gateway.settings.VM})
		}
		pending := gateway.pendingObservations
		gateway.pendingObservations = nil
		if len(pending) > 0 {
			gateway.sendObservations(pending)
		}
		gateway.mu.Unlock()
	}
}

// signalObservations wakes shareObservations if there are observations to send; the caller holds mu.
func (gateway *Gateway) signalObservations() {
	if len(gateway.pendingObservations) == 0 && !gateway.fleet.HasObservations() {
		return
	}
	select {
	case gateway.observationsReady <- struct{}{}:
	default: // already signalled
	}
}

// sendObservations sends observations to the source of store updates and to the subscribers, within this failure domain; the
// caller holds mu.
func (gateway *Gateway) sendObservations(pending []reportedObservation) {
	if source, ok := gateway.fleet.Endpoint(gateway.plan.Source); ok && source.FailureDomain == gateway.settings.FailureDomain {
		if observations := observationsExceptFrom(pending, source.ID); len(observations) > 0 {
			gateway.mesh.Notify(source.ID, source.Address, rpc.MethodObservations, rpc.Observations{Observations: observations}, func() {})
		}
	}
	for name, subscriber := range gateway.subscribers {
		vm, ok := gateway.fleet.Endpoint(name)
		if !ok || vm.FailureDomain != gateway.settings.FailureDomain || name == gateway.plan.Source {
			continue
		}
		if observations := observationsExceptFrom(pending, name); len(observations) > 0 {
			subscriber.reply(rpc.MethodObservations, rpc.Observations{Observations: observations})
		}
	}
	observationCounts.Add("told", int64(len(pending)))
}

// observationsExceptFrom returns the observations that other VMs than vm reported.
func observationsExceptFrom(pending []reportedObservation, vm string) []place.Observation {
	var observations []place.Observation
	for _, observation := range pending {
		if observation.reporter != vm {
			observations = append(observations, observation.Observation)
		}
	}
	return observations
}

// receiveObservations applies observations of another VM. If this VM watches the store, it also keeps those of a subscriber, to
// forward them to the other subscribers and to its own source.
func (gateway *Gateway) receiveObservations(from string, observations []place.Observation) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	_, subscribed := gateway.subscribers[from]
	for _, observation := range observations {
		if gateway.fleet.ApplyObservation(now, observation) {
			gateway.log.Info("observation by peer changed target selection", zap.String("target", observation.Endpoint),
				zap.Float64("latencyRatio", observation.LatencyRatio), zap.String("peer", from))
		}
		// Only what a subscriber reports is forwarded, and never what this VM's own source reports, so that no observation circulates.
		if subscribed && gateway.plan.WatchStore && from != gateway.plan.Source && len(gateway.pendingObservations) < maxForwardedObservations {
			gateway.pendingObservations = append(gateway.pendingObservations, reportedObservation{observation, from})
		}
	}
	gateway.signalObservations()
	observationCounts.Add("heard", int64(len(observations)))
}
