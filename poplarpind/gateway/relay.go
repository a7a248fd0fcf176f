package gateway

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
	"poplarpin.dev/poplarpind/peer"
)

// maxForwardedRecords is how many records a result for a peer holds at most, so that it fits into a message.
const maxForwardedRecords = rpc.MaxForwardedBody / platform.RecordSize

// relayedCall is a call that a peer relays for this VM.
type relayedCall struct {
	job     *job
	index   int
	relayVM string
	message peer.Delivery // zero until it is sent
}

// startRelay sends parts of a request to a peer, which calls targets of its failure domain for them.
func (gateway *Gateway) startRelay(job *job, relay fanout.Relay) {
	callCounts.Add("relayed", 1)
	if len(relay.Targets) > 0 {
		callCounts.Add("forwarded", 1)
		callCounts.Add("forwarded."+string(relay.Reason), 1)
		gateway.log.Info("calls forwarded", zap.String("request", truncate(job.request.ID)), zap.String("relay", relay.VM.ID),
			zap.String("reason", string(relay.Reason)), zap.Strings("targets", relay.Targets), zap.Strings("causes", relay.Causes), zap.Duration("elapsed", time.Since(job.started)))
	}
	gateway.mu.Lock()
	gateway.lastQueryID++
	queryID := strconv.FormatInt(gateway.lastQueryID, 36)
	gateway.relayedCalls[queryID] = relayedCall{job: job, index: relay.Call, relayVM: relay.VM.ID}
	job.relayQueries[relay.Call] = queryID
	deadline := job.deadline
	gateway.mu.Unlock()
	if len(job.request.Body) > rpc.MaxForwardedBody || job.recordLimit > maxForwardedRecords {
		gateway.endRelay(queryID, relay.VM.ID, fanout.NoCapacity)
		return
	}
	message := rpc.Gather{
		QueryID: queryID, Route: job.route.Name, ShardsDigest: shardsDigest(job.route), Parts: relay.Parts, Targets: relay.Targets, Once: !job.route.Idempotent,
		Pays: relay.Reason == fanout.BudgetSpent, RecordLimit: job.recordLimit,
		RequestID: job.request.ID, Method: job.request.Method, Head: job.request.Head(), Body: job.request.Body,
		ReportAfter: config.Duration(relay.ReportAfter),
	}
	gateway.mesh.Notify(relay.VM.ID, relay.VM.Address, peer.Message{
		Method: rpc.MethodGather,
		Prompt: true,
		Build: func() (any, bool) {
			message.Timeout = config.Duration(max(time.Until(deadline), time.Millisecond))
			return message, gateway.isRelayed(queryID)
		},
		OnSend: func(delivery peer.Delivery) { gateway.relayMessageSent(queryID, delivery) },
		OnUnsent: func(reason peer.Kind) {
			gateway.endRelay(queryID, relay.VM.ID, gateway.unsentOutcome(relay, relayKind(job.route), reason))
		},
	})
}

// relayMessageSent records how to find out whether the message of a relayed call is delivered.
func (gateway *Gateway) relayMessageSent(queryID string, delivery peer.Delivery) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if call, ok := gateway.relayedCalls[queryID]; ok {
		call.message = delivery
		gateway.relayedCalls[queryID] = call
	}
}

// isRelayed reports whether the results of a query that a peer relays are still awaited.
func (gateway *Gateway) isRelayed(queryID string) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	_, ok := gateway.relayedCalls[queryID]
	return ok
}

// unsentOutcome returns the outcome of a relayed call whose message was not sent.
func (gateway *Gateway) unsentOutcome(relay fanout.Relay, kind place.RelayKind, reason peer.Kind) fanout.Outcome {
	if reason != peer.Incapable {
		return fanout.NotSent
	}
	if relay.Reason == fanout.BudgetSpent {
		return fanout.Unpaid
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.fleet.RelayCapable(time.Now(), kind, relay.VM.ID, false)
	return fanout.NoCapacity // the VM itself is well
}

// relayKind returns the kind of the relayed calls for requests of a route.
func relayKind(matched *route.Route) place.RelayKind {
	if _, ok := matched.Destination.(route.Gather); ok {
		return place.MergedCalls
	}
	return place.NamedCalls
}

// shardsDigest returns the digest of a route's shards, 0 for a route without any.
func shardsDigest(matched *route.Route) uint64 {
	gather, _ := matched.Destination.(route.Gather)
	return gather.ShardsDigest
}

// cancelRelay cancels a call at the peer that relays it, or only forgets it if the call must be left to complete; it reports whether the
// call was relayed.
func (gateway *Gateway) cancelRelay(job *job, cancel fanout.Cancel) bool {
	gateway.mu.Lock()
	queryID, ok := job.relayQueries[cancel.Call]
	call := gateway.relayedCalls[queryID]
	delete(gateway.relayedCalls, queryID)
	relay, known := gateway.fleet.Endpoint(call.relayVM)
	gateway.mu.Unlock()
	if ok && known && cancel.CloseConnection {
		gateway.mesh.Notify(call.relayVM, relay.Address, peer.Message{Method: rpc.MethodGatherCancel, Params: rpc.GatherCancel{QueryID: queryID}})
	}
	return ok
}

// receiveGatherResult handles a peer's results for a relayed call.
func (gateway *Gateway) receiveGatherResult(from string, message rpc.GatherResult) {
	if message.Refused && !hasResults(message) {
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
	message = withoutInvalidResponse(message)
	report := fanout.Report{Answered: message.Parts, Missing: message.Missing, Early: message.Overdue, Final: message.Final}
	for _, latency := range message.LatenciesMicros {
		report.Latencies = append(report.Latencies, time.Duration(latency)*time.Microsecond)
	}
	gateway.step(call.job, func(now time.Time) []fanout.Action {
		merged, actions := call.job.clientRun.RelayReport(now, call.index, report)
		call.job.keepResult(call.index, merged, message)
		return actions
	})
}

// withoutInvalidResponse returns a result without a response whose status no target may give. Relays of earlier builds pass such responses on.
func withoutInvalidResponse(message rpc.GatherResult) rpc.GatherResult {
	if message.Response == nil || http1.FinalStatus(message.Response.Status) {
		return message
	}
	invalid := make([]fanout.Missing, 0, len(message.Parts)+len(message.Missing))
	for _, part := range message.Parts {
		invalid = append(invalid, fanout.Missing{Part: part, Outcome: fanout.InvalidResponse})
	}
	for _, missing := range message.Missing {
		invalid = append(invalid, fanout.Missing{Part: missing.Part, Outcome: fanout.InvalidResponse})
	}
	message.Response, message.Parts, message.Stamps, message.LatenciesMicros, message.Missing = nil, nil, nil, nil, invalid
	return message
}

// hasResults reports whether a message of a relay tells of a call to a target.
func hasResults(message rpc.GatherResult) bool {
	return len(message.Parts) > 0 || len(message.Missing) > 0 || message.Response != nil
}

// keepResult stores the results of a relayed call, under the index of its merged results if it has any; the caller holds the gateway's mu.
func (job *job) keepResult(index, merged int, result rpc.GatherResult) {
	if result.Response == nil {
		if merged >= 0 {
			job.relayResults[merged] = result
		}
		return
	}
	if merged >= 0 {
		index = merged
	}
	job.replies[index] = platform.Reply{Status: result.Response.Status, Header: result.Response.Header, Body: result.Response.Body}
}

// endRelay ends a relayed call that will bring no more results.
func (gateway *Gateway) endRelay(queryID, relayVM string, outcome fanout.Outcome) {
	gateway.mu.Lock()
	call, ok := gateway.relayedCalls[queryID]
	ok = ok && call.relayVM == relayVM
	if ok {
		delete(gateway.relayedCalls, queryID)
	}
	gateway.mu.Unlock()
	if !ok {
		return // cancelled meanwhile, or relayed by another peer
	}
	callCounts.Add("relay."+string(outcome), 1)
	gateway.log.Info("relayed call failed", zap.String("request", truncate(call.job.request.ID)),
		zap.String("relay", relayVM), zap.String("outcome", string(outcome)), zap.Duration("elapsed", time.Since(call.job.started)))
	gateway.step(call.job, func(now time.Time) []fanout.Action { return call.job.clientRun.RelayFailed(now, call.index, outcome) })
}

// LinkDown implements peer.Handler; it ends the calls that the peer relays, as their results may never come.
func (gateway *Gateway) LinkDown(name string) {
	gateway.mu.Lock()
	lostQueries := map[string]fanout.Outcome{}
	for queryID, call := range gateway.relayedCalls {
		if call.relayVM != name {
			continue
		}
		lostQueries[queryID] = fanout.Lost
		if call.message.Undelivered() {
			lostQueries[queryID] = fanout.Undelivered
		}
	}
	gateway.follower.LinkLost(time.Now(), name)
	gateway.mu.Unlock()
	gateway.quotas.linkDown(name)
	gateway.log.Info("link to peer lost", zap.String("peer", name), zap.Int("calls", len(lostQueries)))
	for queryID, outcome := range lostQueries {
		gateway.endRelay(queryID, name, outcome)
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
