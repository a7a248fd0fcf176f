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

// asked is a call that a VM elsewhere relays.
type asked struct {
	job  *job
	call int
	vm   string
}

// ask hands parts of a request to a VM elsewhere.
func (gateway *Gateway) ask(job *job, relay fanout.Relay) {
	calls.Add("relayed", 1)
	gateway.mu.Lock()
	gateway.queries++
	query := strconv.FormatInt(gateway.queries, 36)
	gateway.relayed[query] = asked{job: job, call: relay.Call, vm: relay.VM.ID}
	job.asked[relay.Call] = query
	gateway.mu.Unlock()
	message := rpc.Gather{
		QueryID: query, Route: job.route.Name, ShardsDigest: job.route.Destination.(route.Gather).ShardsDigest, Parts: relay.Parts,
		RequestID: job.request.ID, Method: job.request.Method, Head: job.request.Head(), Body: job.request.Body,
		Timeout:     config.Duration(max(time.Until(job.deadline), time.Millisecond)),
		ReportAfter: config.Duration(relay.ReportAfter),
	}
	gateway.mesh.Notify(relay.VM.ID, relay.VM.Address, rpc.MethodGather, message, func() {
		gateway.relayLost(query, relay.VM.ID, fanout.NotSent)
	})
}

// unask withdraws a call from the VM that relays it.
func (gateway *Gateway) unask(job *job, call int) bool {
	gateway.mu.Lock()
	query, ok := job.asked[call]
	found := gateway.relayed[query]
	delete(gateway.relayed, query)
	peer, known := gateway.fleet.Endpoint(found.vm)
	gateway.mu.Unlock()
	if ok && known {
		gateway.mesh.Notify(found.vm, peer.Address, rpc.MethodGatherCancel, rpc.GatherCancel{QueryID: query}, func() {})
	}
	return ok
}

// gathered takes what a VM elsewhere gathered.
func (gateway *Gateway) gathered(from string, message rpc.GatherResult) {
	if message.Refused {
		gateway.relayLost(message.QueryID, from, fanout.Refused)
		return
	}
	gateway.mu.Lock()
	found, ok := gateway.relayed[message.QueryID]
	if ok && found.vm == from && message.Final {
		delete(gateway.relayed, message.QueryID)
	}
	gateway.mu.Unlock()
	if !ok || found.vm != from {
		return // it was withdrawn meanwhile
	}
	report := fanout.Report{Answered: message.Parts, Missing: message.Missing, Early: message.Overdue, Final: message.Final}
	for _, took := range message.LatenciesMicros {
		report.Latencies = append(report.Latencies, time.Duration(took)*time.Microsecond)
	}
	gateway.step(found.job, func(now time.Time) []fanout.Action {
		bundle, actions := found.job.run.RelayReport(now, found.call, report)
		if bundle >= 0 {
			found.job.gathered[bundle] = message
		}
		return actions
	})
}

// relayLost ends a call that a VM elsewhere was to relay.
func (gateway *Gateway) relayLost(query, vm string, outcome fanout.Outcome) {
	gateway.mu.Lock()
	found, ok := gateway.relayed[query]
	delete(gateway.relayed, query)
	gateway.mu.Unlock()
	if !ok {
		return // it was withdrawn meanwhile
	}
	calls.Add("relay."+string(outcome), 1)
	gateway.log.Info("relayed call ended without answer", zap.String("request", clip(found.job.request.ID)),
		zap.String("relay", vm), zap.String("outcome", string(outcome)), zap.Duration("after", time.Since(found.job.started)))
	gateway.step(found.job, func(now time.Time) []fanout.Action { return found.job.run.RelayFailed(now, found.call, outcome) })
}

// LinkDown implements peer.Handler: what was asked of a VM may not come any more.
func (gateway *Gateway) LinkDown(name string) {
	gateway.mu.Lock()
	var lost []string
	for query, found := range gateway.relayed {
		if found.vm == name {
			lost = append(lost, query)
		}
	}
	gateway.follower.LinkLost(time.Now(), name)
	gateway.mu.Unlock()
	gateway.log.Info("link to entry VM lost", zap.String("peer", name), zap.Int("calls", len(lost)))
	for _, query := range lost {
		gateway.relayLost(query, name, fanout.Lost)
	}
}

// AwaitsReply implements peer.Handler: whether a VM relays calls for this one.
func (gateway *Gateway) AwaitsReply(name string) bool {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, asked := range gateway.relayed {
		if asked.vm == name {
			return true
		}
	}
	return false
}

// Notify implements peer.Handler.
func (gateway *Gateway) Notify(from string, reply peer.Reply, method string, params json.RawMessage) error {
	switch method {
	case rpc.MethodGather:
		return peer.Handle(params, func(gather rpc.Gather) { gateway.gatherFor(from, reply, gather) })
	case rpc.MethodGatherCancel:
		return peer.Handle(params, func(cancel rpc.GatherCancel) { gateway.cancelFor(from, cancel) })
	case rpc.MethodSubscribe:
		return peer.Handle(params, func(known rpc.StoreRevisions) { gateway.read(from, reply, known) })
	case rpc.MethodStoreUpdate:
		return peer.Handle(params, func(news rpc.StoreUpdate) { gateway.news(from, news) })
	case rpc.MethodObservations:
		return peer.Handle(params, func(told rpc.Observations) { gateway.hear(from, told.Observations) })
	case rpc.MethodGatherResult:
		return peer.Handle(params, func(result rpc.GatherResult) { gateway.gathered(from, result) })
	}
	return &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such notification"}
}

// Call implements peer.Handler.
func (gateway *Gateway) Call(_ context.Context, _, method string, _ json.RawMessage) (any, error) {
	return nil, &peer.Error{Op: method, Kind: peer.Rejected, Detail: "no such call"}
}

// gatherFor calls servers for a VM elsewhere.
func (gateway *Gateway) gatherFor(from string, reply peer.Reply, gather rpc.Gather) {
	refuse := func(reason string) {
		gateway.log.Info("relaying refused", zap.String("request", clip(gather.RequestID)), zap.String("for", from), zap.String("reason", reason))
		reply(rpc.MethodGatherResult, rpc.GatherResult{QueryID: gather.QueryID, Refused: true, Final: true})
	}
	table := gateway.table.Load()
	if table == nil || table.ByName(gather.Route) == nil {
		refuse("no such route")
		return
	}
	found := table.ByName(gather.Route)
	destination, ok := found.Destination.(route.Gather)
	if !ok || destination.ShardsDigest != gather.ShardsDigest || slices.Max(gather.Parts) >= len(destination.Shards) || slices.Min(gather.Parts) < 0 {
		refuse("the route has other shards here")
		return
	}
	services := make([]string, len(gather.Parts))
	for i, part := range gather.Parts {
		services[i] = destination.Shards[part]
	}
	job := gateway.legJob(gather, table.Version, found, services)
	key := from + "/" + gather.QueryID
	job.report = func(report fanout.Report) {
		if report.Final {
			gateway.mu.Lock()
			delete(gateway.serving, key)
			gateway.mu.Unlock()
		}
		reply(rpc.MethodGatherResult, gateway.message(job, gather, destination, report))
	}
	gateway.mu.Lock()
	gateway.serving[key] = job
	gateway.mu.Unlock()
	gateway.step(job, func(now time.Time) []fanout.Action { return job.leg.Start(now) })
}

// cancelFor ends what a VM elsewhere does not need any more.
func (gateway *Gateway) cancelFor(from string, cancel rpc.GatherCancel) {
	key := from + "/" + cancel.QueryID
	gateway.mu.Lock()
	job := gateway.serving[key]
	delete(gateway.serving, key)
	gateway.mu.Unlock()
	if job != nil {
		gateway.step(job, func(now time.Time) []fanout.Action { return job.leg.Abort(now) })
	}
}

// message makes the message of a report to a VM elsewhere.
func (gateway *Gateway) message(job *job, gather rpc.Gather, destination route.Gather, report fanout.Report) rpc.GatherResult {
	merged := gateway.merge(job, fanout.Deliver{Calls: report.Answered}, destination)
	message := rpc.GatherResult{QueryID: gather.QueryID, Stamps: merged.Stamps, Records: merged.Body, Overdue: report.Early, Final: report.Final}
	for i, part := range report.Answered {
		message.Parts = append(message.Parts, gather.Parts[part])
		message.LatenciesMicros = append(message.LatenciesMicros, int(report.Latencies[i].Microseconds()))
	}
	for _, missing := range report.Missing {
		message.Missing = append(message.Missing, fanout.Missing{Part: gather.Parts[missing.Part], Outcome: missing.Outcome})
	}
	return message
}
