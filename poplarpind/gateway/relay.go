package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

// relayedCall is a call that a peer relays for this VM.
type relayedCall struct {
	job     *job
	index   int
	relayVM string
}

// startRelay sends parts of a request to a peer, which calls targets of its failure domain for them.
func (gateway *Gateway) startRelay(job *job, relay fanout.Relay) {
	callCounts.Add("relayed", 1)
	gateway.mu.Lock()
	gateway.lastQueryID++
	queryID := strconv.FormatInt(gateway.lastQueryID, 36)
	gateway.relayedCalls[queryID] = relayedCall{job: job, index: relay.Call, relayVM: relay.VM.ID}
	job.relayQueries[relay.Call] = queryID
	gateway.mu.Unlock()
	message := rpc.Gather{
		QueryID: queryID, Route: job.route.Name, ShardsDigest: job.route.Destination.(route.Gather).ShardsDigest, Parts: relay.Parts,
		RequestID: job.request.ID, Method: job.request.Method, Head: job.request.Head(), Body: job.request.Body,
		Timeout:     config.Duration(max(time.Until(job.deadline), time.Millisecond)),
		ReportAfter: config.Duration(relay.ReportAfter),
	}
	gateway.mesh.Notify(relay.VM.ID, relay.VM.Address, rpc.MethodGather, message, func() {
		gateway.endRelay(queryID, relay.VM.ID, fanout.NotSent)
	})
}

// cancelRelay cancels a call at the peer that relays it; it reports whether the call was relayed.
func (gateway *Gateway) cancelRelay(job *job, index int) bool {
	gateway.mu.Lock()
	queryID, ok := job.relayQueries[index]
	call := gateway.relayedCalls[queryID]
	delete(gateway.relayedCalls, queryID)
	peer, known := gateway.fleet.Endpoint(call.relayVM)
	gateway.mu.Unlock()
	if ok && known {
		gateway.mesh.Notify(call.relayVM, peer.Address, rpc.MethodGatherCancel, rpc.GatherCancel{QueryID: queryID}, func() {})
	}
	return ok
}

// receiveGatherResult handles a peer's results for a relayed call.
func (gateway *Gateway) receiveGatherResult(from string, message rpc.GatherResult) {
	if message.Refused {
		gateway.endRelay(message.QueryID, from, fanout.Refused)
		return
	}
	gateway.mu.Lock()
	call, ok := gateway.relayedCalls[message.QueryID]
	if ok && call.relayVM == from && message.Final {
		delete(gateway.relayedCalls, message.QueryID)
	}
	gateway.mu.Unlock()
	if !ok || call.relayVM != from {
		return // cancelled meanwhile, or relayed by another peer
	}
	report := fanout.Report{Answered: message.Parts, Missing: message.Missing, Early: message.Overdue, Final: message.Final}
	for _, latency := range message.LatenciesMicros {
		report.Latencies = append(report.Latencies, time.Duration(latency)*time.Microsecond)
	}
	gateway.step(call.job, func(now time.Time) []fanout.Action {
		merged, actions := call.job.clientRun.RelayReport(now, call.index, report)
		if merged >= 0 {
			call.job.relayResults[merged] = message
		}
		return actions
	})
}

// endRelay ends a relayed call that will bring no more results.
func (gateway *Gateway) endRelay(queryID, relayVM string, outcome fanout.Outcome) {
	gateway.mu.Lock()
	call, ok := gateway.relayedCalls[queryID]
	delete(gateway.relayedCalls, queryID)
	gateway.mu.Unlock()
	if !ok {
		return // cancelled meanwhile
	}
	callCounts.Add("relay."+string(outcome), 1)
	gateway.log.Info("relayed call failed", zap.String("request", truncate(call.job.request.ID)),
		zap.String("relay", relayVM), zap.String("outcome", string(outcome)), zap.Duration("elapsed", time.Since(call.job.started)))
	gateway.step(call.job, func(now time.Time) []fanout.Action { return call.job.clientRun.RelayFailed(now, call.index, outcome) })
}

// LinkDown implements peer.Handler; it ends the calls that the peer relays, as their results may never come.
func (gateway *Gateway) LinkDown(name string) {
	gateway.mu.Lock()
	var lostQueries []string
	for queryID, call := range gateway.relayedCalls {
		if call.relayVM == name {
			lostQueries = append(lostQueries, queryID)
		}
	}
	gateway.follower.LinkLost(time.Now(), name)
	gateway.mu.Unlock()
	gateway.quotas.linkDown(name)
	gateway.log.Info("link to peer lost", zap.String("peer", name), zap.Int("calls", len(lostQueries)))
	for _, queryID := range lostQueries {
		gateway.endRelay(queryID, name, fanout.Lost)
	}
}

// AwaitsReply implements peer.Handler; it reports whether a peer relays calls for this VM.
func (gateway *Gateway) AwaitsReply(name string) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, call := range gateway.relayedCalls {
		if call.relayVM == name {
			return true
		}
	}
	return gateway.quotas.awaitsAnswer(name)
}

// Notify implements peer.Handler.
func (gateway *Gateway) Notify(from string, reply peer.Reply, method string, params json.RawMessage) error {
	switch method {
	case rpc.MethodGather:
		return peer.Handle(params, func(gather rpc.Gather) { gateway.serveGather(from, reply, gather) })
	case rpc.MethodGatherCancel:
		return peer.Handle(params, func(cancel rpc.GatherCancel) { gateway.serveGatherCancel(from, cancel) })
	case rpc.MethodSubscribe:
		return peer.Handle(params, func(revisions rpc.StoreRevisions) { gateway.subscribe(from, reply, revisions) })
	case rpc.MethodStoreUpdate:
		return peer.Handle(params, func(update rpc.StoreUpdate) { gateway.receiveUpdate(from, update) })
	case rpc.MethodObservations:
		return peer.Handle(params, func(observations rpc.Observations) { gateway.receiveObservations(from, observations) })
	case rpc.MethodQuotaLoan:
		return peer.Handle(params, func(loan rpc.QuotaLoan) { gateway.quotas.receive(from, reply, loan) })
	case rpc.MethodQuotaAsk:
		return peer.Handle(params, func(ask rpc.QuotaAsk) { gateway.quotas.receive(from, reply, ask) })
	case rpc.MethodQuotaGrant:
		return peer.Handle(params, func(grant rpc.QuotaGrant) { gateway.quotas.receive(from, reply, grant) })
	case rpc.MethodGatherResult:
		return peer.Handle(params, func(result rpc.GatherResult) { gateway.receiveGatherResult(from, result) })
	}
	return &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such notification"}
}

// Call implements peer.Handler.
func (gateway *Gateway) Call(_ context.Context, _, method string, _ json.RawMessage) (any, error) {
	return nil, &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such call"}
}

// serveGather starts the calls to targets that a peer asks for, or refuses the request.
func (gateway *Gateway) serveGather(from string, reply peer.Reply, gather rpc.Gather) {
	refuse := func(reason string) {
		gateway.log.Info("relay request refused", zap.String("request", truncate(gather.RequestID)), zap.String("peer", from), zap.String("reason", reason))
		reply(rpc.MethodGatherResult, rpc.GatherResult{QueryID: gather.QueryID, Refused: true, Final: true})
	}
	table := gateway.table.Load()
	if table == nil || table.ByName(gather.Route) == nil {
		refuse("unknown route")
		return
	}
	matched := table.ByName(gather.Route)
	destination, ok := matched.Destination.(route.Gather)
	if !ok || destination.ShardsDigest != gather.ShardsDigest || slices.Max(gather.Parts) >= len(destination.Shards) || slices.Min(gather.Parts) < 0 {
		refuse("the route's shards or the part indices do not match this VM's configuration")
		return
	}
	services := make([]string, len(gather.Parts))
	for i, part := range gather.Parts {
		services[i] = destination.Shards[part]
	}
	job := gateway.newRelayJob(gather, table.Version, matched, services)
	key := from + "/" + gather.QueryID
	job.report = func(report fanout.Report) {
		if report.Final {
			gateway.mu.Lock()
			delete(gateway.relayJobs, key)
			gateway.mu.Unlock()
		}
		reply(rpc.MethodGatherResult, gateway.gatherResult(job, gather, destination, report))
		if report.Final {
			job.releaseResponses()
		}
	}
	gateway.mu.Lock()
	gateway.relayJobs[key] = job
	gateway.mu.Unlock()
	gateway.step(job, func(now time.Time) []fanout.Action { return job.relayRun.Start(now) })
}

// serveGatherCancel ends the relay run that a peer cancels.
func (gateway *Gateway) serveGatherCancel(from string, cancel rpc.GatherCancel) {
	key := from + "/" + cancel.QueryID
	gateway.mu.Lock()
	job := gateway.relayJobs[key]
	delete(gateway.relayJobs, key)
	gateway.mu.Unlock()
	if job != nil {
		gateway.step(job, func(now time.Time) []fanout.Action { return job.relayRun.Abort(now) })
		job.releaseResponses()
	}
}

// gatherResult returns the message that carries a report to the requesting peer.
func (gateway *Gateway) gatherResult(job *job, gather rpc.Gather, destination route.Gather, report fanout.Report) rpc.GatherResult {
	merged := gateway.merge(job, fanout.Deliver{Calls: report.Answered}, destination)
	result := rpc.GatherResult{QueryID: gather.QueryID, Stamps: merged.Stamps, Records: merged.Body, Overdue: report.Early, Final: report.Final}
	for i, part := range report.Answered {
		result.Parts = append(result.Parts, gather.Parts[part])
		result.LatenciesMicros = append(result.LatenciesMicros, int(report.Latencies[i].Microseconds()))
	}
	for _, missing := range report.Missing {
		result.Missing = append(result.Missing, fanout.Missing{Part: gather.Parts[missing.Part], Outcome: missing.Outcome})
	}
	return result
}
