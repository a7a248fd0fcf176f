package gateway

import (
	"context"
	"math"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// shareInterval is the time between two messages with observations: so short that a target gets only a few calls meanwhile (tens a
// second from all VMs), and so long that a VM sends each peer at most 20 messages a second.
const shareInterval = 50 * time.Millisecond

// Bounds of what is shared about suspects, most of which are innocent after a crash of many targets.
const (
	maxSharedSuspects  = 2 // a message names at most this many suspects
	maxPendingSuspects = 256
)

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
		for _, target := range gateway.fleet.TakeHints() {
			gateway.pendingHints = append(gateway.pendingHints, reportedHint{target, gateway.settings.VM})
		}
		for _, fingerprint := range gateway.suspects.TakeNews() { // at most maxNews
			gateway.pendingSuspects = append(gateway.pendingSuspects, reportedSuspect{fingerprint, gateway.settings.VM})
		}
		gateway.sendPending()
		gateway.mu.Unlock()
	}
}

// signalObservations wakes shareObservations if there are observations to send; the caller holds mu.
func (gateway *Gateway) signalObservations() {
	if len(gateway.pendingObservations)+len(gateway.pendingHints)+len(gateway.pendingSuspects) == 0 &&
		!gateway.fleet.HasObservations() && !gateway.fleet.HasHints() && !gateway.suspects.HasNews() {
		return
	}
	select {
	case gateway.observationsReady <- struct{}{}:
	default: // already signalled
	}
}

// pendingMessage holds news to be shared.
type pendingMessage struct {
	observations []reportedObservation
	hints        []reportedHint
	suspects     []reportedSuspect
}

// sendPending sends the pending news to the source of store updates and to the subscribers, within this failure domain, and this VM's
// own hints and suspects to some VMs of the others; the caller holds mu.
func (gateway *Gateway) sendPending() {
	count := min(len(gateway.pendingSuspects), maxSharedSuspects)
	pending := pendingMessage{gateway.pendingObservations, gateway.pendingHints, gateway.pendingSuspects[:count]}
	gateway.pendingObservations, gateway.pendingHints, gateway.pendingSuspects = nil, nil, gateway.pendingSuspects[count:]
	defer gateway.signalObservations()
	if len(pending.observations)+len(pending.hints)+len(pending.suspects) == 0 {
		return
	}
	if source, ok := gateway.fleet.Endpoint(gateway.plan.Source); ok && source.FailureDomain == gateway.settings.FailureDomain {
		if message, ok := gateway.messageExceptFrom(pending, source.ID); ok {
			gateway.mesh.Notify(source.ID, source.Address, peer.Message{Method: rpc.MethodObservations, Params: message})
		}
	}
	for name, subscriber := range gateway.subscribers {
		vm, ok := gateway.fleet.Endpoint(name)
		if !ok || vm.FailureDomain != gateway.settings.FailureDomain || name == gateway.plan.Source {
			continue
		}
		if message, ok := gateway.messageExceptFrom(pending, name); ok {
			subscriber.reply(rpc.MethodObservations, message)
		}
	}
	observationCounts.Add("told", int64(len(pending.observations)))
	gateway.sendElsewhere(pending)
}

// isElsewhere reports whether a VM is of another failure domain; the caller holds mu.
func (gateway *Gateway) isElsewhere(vm string) bool {
	endpoint, ok := gateway.fleet.Endpoint(vm)
	return ok && endpoint.FailureDomain != gateway.settings.FailureDomain
}

// receiveObservations applies observations of another VM. If this VM watches the store, it also keeps those of a subscriber that are news to
// the others, to forward them to the other subscribers and to its own source. Hints and suspects from another failure domain are forwarded in this one.
func (gateway *Gateway) receiveObservations(from string, message rpc.Observations) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	_, subscribed := gateway.subscribers[from]
	// Only what a subscriber reports is forwarded, and never what this VM's own source reports, so that no observation circulates.
	forward := subscribed && gateway.plan.WatchStore && from != gateway.plan.Source
	var changed []string
	var ratios []float64
	for _, observation := range message.Observations {
		crossed, news := false, false
		if forward {
			crossed, news = gateway.fleet.CollectObservation(now, observation)
		} else {
			crossed = gateway.fleet.ApplyObservation(now, observation)
		}
		if crossed {
			changed, ratios = append(changed, observation.Endpoint), append(ratios, math.Round(10*observation.LatencyRatio)/10)
		}
		if news && len(gateway.pendingObservations) < maxForwardedObservations {
			gateway.pendingObservations = append(gateway.pendingObservations, reportedObservation{observation, from})
		}
	}
	if len(changed) > 0 {
		gateway.log.Info("observations by peer changed target selection", zap.Strings("targets", changed), zap.Float64s("latencyRatios", ratios),
			zap.String("peer", from))
	}
	forwardHints := forward || gateway.isElsewhere(from)
	for _, target := range gateway.applyHints(now, from, message) {
		if forwardHints && len(gateway.pendingHints) < maxForwardedObservations {
			gateway.pendingHints = append(gateway.pendingHints, reportedHint{target, from})
		}
	}
	for _, fingerprint := range gateway.mergeSuspects(now, message) {
		if forwardHints && len(gateway.pendingSuspects) < maxPendingSuspects {
			gateway.pendingSuspects = append(gateway.pendingSuspects, reportedSuspect{fingerprint, from})
		}
	}
	gateway.signalObservations()
	observationCounts.Add("heard", int64(len(message.Observations)))
}
