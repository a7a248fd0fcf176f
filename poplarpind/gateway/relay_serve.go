package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// serveGather starts the calls to targets that a peer asks for, or refuses the request.
func (gateway *Gateway) serveGather(from string, reply peer.Reply, gather rpc.Gather) {
	refuse := func(reason string) {
		callCounts.Add("relayRefused", 1)
		gateway.log.Info("relay request refused", zap.String("request", truncate(gather.RequestID)), zap.String("peer", from), zap.String("reason", reason))
		reply(rpc.MethodGatherResult, rpc.GatherResult{QueryID: gather.QueryID, Refused: true, Final: true})
	}
	table := gateway.table.Load()
	if table == nil || table.ByName(gather.Route) == nil {
		refuse("unknown route")
		return
	}
	matched := table.ByName(gather.Route)
	services, ok := gateway.servicesOf(matched, gather)
	if !ok || matched.Idempotent == gather.Once {
		refuse("the route's shards, targets or kind, or the part indices do not match this VM's configuration")
		return
	}
	if !gateway.takesGather(matched, gather) {
		refuse(stoppingReason)
		return
	}
	if reason := gateway.forwardRefusal(gather); reason != "" {
		refuse(reason)
		return
	}
	if gather.Once {
		gateway.log.Info("relay request accepted", zap.String("request", truncate(gather.RequestID)), zap.String("peer", from), zap.Strings("targets", gather.Targets))
	}
	job := gateway.newRelayJob(gather, table.Version, matched, services)
	key := from + "/" + gather.QueryID
	job.report = func(report fanout.Report) {
		if report.Final { // once it is queued, see awaitRelayed
			defer func() {
				gateway.mu.Lock()
				defer gateway.mu.Unlock()
				if gateway.relayJobs[key] == job { // a peer's numbers start again when it restarts
					delete(gateway.relayJobs, key)
				}
			}()
		}
		if report.Refused {
			refuse("this VM does not reach the targets")
			return
		}
		if gather.Once {
			gateway.log.Info("relay request ended", zap.String("request", truncate(gather.RequestID)), zap.String("peer", from),
				zap.String("outcome", string(outcomeOfReport(report))), zap.Duration("elapsed", time.Since(job.started)))
		}
		reply(rpc.MethodGatherResult, gateway.inTermsOf(from, gateway.gatherResult(job, gather, report)))
		if report.Final {
			job.releaseResponses()
		}
	}
	if !gateway.addRelayJob(key, job) {
		refuse(stoppingReason)
		return
	}
	gateway.step(job, func(now time.Time) []fanout.Action { return job.relayRun.Start(now) })
}

// addRelayJob adds a job for a peer, unless the stop has begun to wait for the last ones.
func (gateway *Gateway) addRelayJob(key string, job *job) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.refusesRelays.Load() {
		return false
	}
	gateway.relayJobs[key] = job
	return true
}

// outcomeOfReport returns the outcome of the only call that a report is about.
func outcomeOfReport(report fanout.Report) fanout.Outcome {
	if len(report.Missing) > 0 {
		return report.Missing[0].Outcome
	}
	return fanout.Answered
}

// servicesOf returns the services of the parts that a peer asks for, and reports whether this VM's configuration has them.
func (gateway *Gateway) servicesOf(matched *route.Route, gather rpc.Gather) ([]string, bool) {
	services := make([]string, len(gather.Parts))
	if destination, ok := matched.Destination.(route.Gather); ok {
		if destination.ShardsDigest != gather.ShardsDigest || slices.Max(gather.Parts) >= len(destination.Shards) || slices.Min(gather.Parts) < 0 {
			return nil, false
		}
		for i, part := range gather.Parts {
			services[i] = destination.Shards[part]
		}
		return services, true
	}
	if gather.ShardsDigest != 0 || len(gather.Targets) != 1 || gather.Parts[0] != 0 {
		return nil, false
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	services[0] = gateway.fleet.ServiceOf(gather.Targets[0])
	return services, slices.Contains(matched.Services(), services[0])
}

// forwardRefusal returns why this VM does not make the calls to targets that a peer has chosen, "" if it does.
func (gateway *Gateway) forwardRefusal(gather rpc.Gather) string {
	if len(gather.Targets) == 0 {
		return ""
	}
	if waited := gateway.pauses.Waited(time.Now()); waited >= gather.Timeout.Std() {
		return pausedReason
	}
	if gateway.stop.Load() != nil {
		return stoppingReason
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if !gateway.forwardLimit.Allow(time.Now(), len(gather.Targets)) {
		return "this VM makes too many calls for others"
	}
	return ""
}

// serveGatherCancel ends the relay run that a peer cancels. VMs do not cancel requests that must run once: such a cancellation is a late one of an
// earlier incarnation of the peer, for a query with the same number.
func (gateway *Gateway) serveGatherCancel(from string, cancel rpc.GatherCancel) {
	key := from + "/" + cancel.QueryID
	gateway.mu.Lock()
	job := gateway.relayJobs[key]
	cancels, answered := job != nil && job.route.Idempotent, 0
	if cancels {
		answered = job.relayRun.AnsweredParts()
		delete(gateway.relayJobs, key)
	}
	gateway.mu.Unlock()
	if cancels {
		gateway.log.Info("relayed request cancelled", zap.String("request", truncate(job.request.ID)), zap.String("peer", from),
			zap.Duration("elapsed", time.Since(job.started)), zap.Int("answeredParts", answered))
		gateway.step(job, func(now time.Time) []fanout.Action { return job.relayRun.Abort(now) })
		job.releaseResponses()
	}
}

// recordLimitOf returns how many records a result for a peer must keep. The peer's version of the route decides, not this VM's: a peer of a build
// that does not state it gets all records.
func recordLimitOf(gather rpc.Gather) int {
	if gather.RecordLimit == 0 {
		return maxForwardedRecords
	}
	return min(gather.RecordLimit, maxForwardedRecords)
}

// gatherResult returns the message that carries a report to the requesting peer.
func (gateway *Gateway) gatherResult(job *job, gather rpc.Gather, report fanout.Report) rpc.GatherResult {
	result := rpc.GatherResult{QueryID: gather.QueryID, Overdue: report.Early, Final: report.Final}
	if _, ok := job.route.Destination.(route.Gather); ok {
		merged := gateway.merge(job, fanout.Deliver{Calls: report.Answered})
		result.Stamps, result.Records = merged.Stamps, merged.Body
	} else if response := job.reply(0); response.Status > 0 {
		result.Response = &rpc.Response{Status: response.Status, Header: response.Header, Body: response.Body}
		if len(report.Answered) > 0 {
			result.Stamps = []string{response.Stamp}
		}
	}
	for i, part := range report.Answered {
		result.Parts = append(result.Parts, gather.Parts[part])
		result.LatenciesMicros = append(result.LatenciesMicros, int(report.Latencies[i].Microseconds()))
	}
	for _, missing := range report.Missing {
		result.Missing = append(result.Missing, fanout.Missing{Part: gather.Parts[missing.Part], Outcome: missing.Outcome})
	}
	return result
}

// inTermsOf replaces the outcomes in a result that the build of a peer does not know.
func (gateway *Gateway) inTermsOf(peer string, result rpc.GatherResult) rpc.GatherResult {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if gateway.greetings[peer].Can(rpc.NamedTargets) {
		return result
	}
	for i := range result.Missing {
		if result.Missing[i].Outcome == fanout.Unreached {
			result.Missing[i].Outcome = fanout.NoCapacity
		}
	}
	return result
}
