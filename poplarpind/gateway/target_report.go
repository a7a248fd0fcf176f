package gateway

import (
	"expvar"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/poison"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/peer"
)

// hintReceivers is the number of VMs of each other failure domain that get a hint; with two, one of them may be down.
const hintReceivers = 2

// targetReports counts load reports, changes of state, hints of other VMs that were news, and ignored headers by name.
var targetReports = expvar.NewMap("targetReports")

// reportedHint names a target that has said something of itself, with the VM that reported it.
type reportedHint struct {
	target   string
	reporter string
}

// applyReport records what a target said of itself in an answer; the caller holds mu.
func (gateway *Gateway) applyReport(now time.Time, target place.Endpoint, reply platform.Reply) {
	for _, header := range reply.Ignored {
		targetReports.Add("ignored."+header, 1)
	}
	if reply.Report.Load != nil {
		targetReports.Add("load", 1)
	}
	gateway.fleet.ApplyReport(now, target, reply.Report)
	gateway.logStateChanges()
}

// logStateChanges logs and counts the changes of state since the last call; the caller holds mu.
func (gateway *Gateway) logStateChanges() {
	for _, change := range gateway.fleet.TakeStateChanges() {
		targetReports.Add(change.State, 1)
		gateway.log.Info("target state changed", zap.String("target", change.Target), zap.String("service", change.Service),
			zap.String("state", change.State), zap.Duration("left", change.Left), zap.Float64("limit", change.Limit))
	}
}

// applyHints applies hints of another VM and returns the targets for which they were news; the caller holds mu.
func (gateway *Gateway) applyHints(now time.Time, from string, message rpc.Observations) []string {
	var news []string
	for _, hint := range message.Leaving {
		if gateway.fleet.ApplyLeavingHint(now, hint) {
			news = append(news, hint.Target)
		}
	}
	for _, hint := range message.Paused {
		if gateway.fleet.ApplyPauseHint(now, hint) {
			news = append(news, hint.Target)
		}
	}
	for _, hint := range message.Limited {
		if gateway.fleet.ApplyLimitHint(now, hint) {
			news = append(news, hint.Target)
		}
	}
	gateway.logStateChanges()
	for _, target := range news {
		targetReports.Add("hint", 1)
		gateway.log.Info("peer reported the state of a target", zap.String("target", target), zap.String("peer", from))
	}
	return news
}

// messageExceptFrom returns the message with the reports of other VMs than vm, and whether it says anything; the caller holds mu.
func (gateway *Gateway) messageExceptFrom(pending pendingMessage, vm string) (rpc.Observations, bool) {
	var message rpc.Observations
	for _, observation := range pending.observations {
		if observation.reporter != vm {
			message.Observations = append(message.Observations, observation.Observation)
		}
	}
	var targets []string
	for _, hint := range pending.hints {
		if hint.reporter != vm {
			targets = append(targets, hint.target)
		}
	}
	message.Hints = gateway.fleet.Hints(time.Now(), targets)
	message.Suspects = gateway.suspectsExceptFrom(pending.suspects, vm)
	return message, !isEmpty(message)
}

// isEmpty reports whether a message says nothing.
func isEmpty(message rpc.Observations) bool {
	return len(message.Observations)+len(message.Suspects) == 0 && message.Hints.Empty()
}

// sendElsewhere sends this VM's own hints and suspects to some VMs of each other failure domain, which forward them there; the caller holds mu.
func (gateway *Gateway) sendElsewhere(pending pendingMessage) {
	var targets []string
	for _, hint := range pending.hints {
		if hint.reporter == gateway.settings.VM {
			targets = append(targets, hint.target)
		}
	}
	var suspects []poison.Fingerprint
	for _, suspect := range pending.suspects {
		if suspect.reporter == gateway.settings.VM {
			suspects = append(suspects, suspect.fingerprint)
		}
	}
	now := time.Now()
	message := rpc.Observations{Hints: gateway.fleet.Hints(now, targets), Suspects: gateway.suspects.Reports(now, suspects)}
	if isEmpty(message) {
		return
	}
	for _, name := range follow.WatchersElsewhere(toFollowPeers(gateway.peers), gateway.settings.FailureDomain, hintReceivers) {
		if vm, ok := gateway.fleet.Endpoint(name); ok {
			gateway.mesh.Notify(name, vm.Address, peer.Message{Method: rpc.MethodObservations, Params: message})
		}
	}
}

// sendKnown sends a new subscriber the present hints and suspects, and at each renewal which requests are in quarantine; the caller holds mu.
func (gateway *Gateway) sendKnown(now time.Time, reply peer.Reply, renewed bool) {
	message := rpc.Observations{Suspects: gateway.suspects.Quarantines(now)}
	if !renewed {
		message = rpc.Observations{Hints: gateway.fleet.AllHints(now), Suspects: gateway.suspects.RecentReports(now)}
	}
	if !isEmpty(message) {
		reply(rpc.MethodObservations, message)
	}
}
