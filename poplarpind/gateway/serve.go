package gateway

import (
	"context"
	"expvar"
	"sync"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/merge"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/conns"
	"poplarpin.dev/poplarpind/http1"
)

const (
	noConfigurationRetry     = 200 * time.Millisecond // retry delay for clients of a VM without a configuration, which it reads within that time
	pausedRetry              = 100 * time.Millisecond // retry delay for clients whose request may have waited while the process stood still
	falsePromiseReason       = "the target's status promises that the request has not run, but the target does not say so"
	noRoomRetry              = 100 * time.Millisecond // retry delay for clients whose request has no room here, while other VMs may have some
	noRoomReason             = "the requests of other clients leave no room"
	shortRequest             = 2 << 10 // bytes of a request whose copies do not count
	maxWrites                = 16      // calls of a long request that are being written at a time, about
	pausedReason             = "the request may have waited past its time"
	idempotentDialTimeout    = 100 * time.Millisecond // many round trips between regions; the kernel repeats a lost first packet after a second only
	nonIdempotentDialTimeout = 250 * time.Millisecond // short, so that the request can still run on another target
)

var (
	requestCounts     = expvar.NewMap("requests") // by outcome
	callCounts        = expvar.NewMap("calls")    // by outcome and by reason
	observationCounts = expvar.NewMap("findings") // observations taken for sending (once each, whatever the number of receivers) and received
)

// Serve answers a client request; it returns nil if the client has disconnected.
func (gateway *Gateway) Serve(ctx context.Context, request *platform.Request) (answer platform.Answer) {
	gateway.activeRequests.Add(1)
	defer gateway.activeRequests.Add(-1)
	table := gateway.table.Load()
	if table == nil {
		requestCounts.Add("noConfiguration", 1)
		gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("reason", "no configuration is known"))
		return platform.Refusal{RetryAfter: noConfigurationRetry, Reason: "no configuration is known"}
	}
	matched := table.Match(request.Host, request.Path)
	if matched == nil {
		requestCounts.Add("noRoute", 1)
		gateway.log.Info("request without route", zap.String("request", truncate(request.ID)), zap.Int64("version", table.Version),
			zap.String("host", truncate(request.Host)), zap.String("path", truncate(request.Path)))
		return platform.NoRoute{}
	}
	client := nextClient(ctx)
	if client.left {
		requestCounts.Add("clientLeft", 1)
		gateway.log.Info("client left before its request was taken up", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name))
		return nil
	}
	if waited := gateway.pauses.Waited(time.Now()); mayBeLate(request, matched, waited) {
		requestCounts.Add("waited", 1)
		gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name),
			zap.String("reason", pausedReason), zap.Duration("paused", waited), zap.Duration("clientTimeout", request.Timeout))
		return platform.Refusal{RetryAfter: pausedRetry, Reason: pausedReason}
	}
	account, rejection := gateway.authenticate(request, matched, table)
	if rejection != nil {
		return rejection
	}
	defer func() { countAnswer(account, answer) }()
	if !conns.Hold(ctx, callMemory(request, matched)) {
		requestCounts.Add("noRoom", 1)
		gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name), zap.String("reason", noRoomReason))
		return platform.Refusal{RetryAfter: noRoomRetry, Reason: noRoomReason}
	}
	verdict := gateway.checkSuspect(time.Now(), request.Fingerprint)
	if verdict.RefuseFor > 0 {
		return gateway.refuseQuarantined(request, matched.Name, verdict)
	}
	token, rejection, ok := gateway.quotas.take(ctx, request, matched, account, table)
	if !ok {
		return rejection
	}
	if !gateway.takes(request, matched) {
		gateway.quotas.refund(token)
		requestCounts.Add("stopping", 1)
		gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name), zap.String("reason", stoppingReason),
			zap.Duration("clientTimeout", request.Timeout))
		return platform.Refusal{RetryAfter: stoppingRetry, Reason: stoppingReason}
	}
	limiter, ok, retryAfter := gateway.admit(matched, account)
	if !ok {
		gateway.quotas.refund(token)
		requestCounts.Add("overloaded", 1)
		gateway.log.Info("request refused", zap.String("request", truncate(request.ID)), zap.String("route", matched.Name),
			zap.Int64("version", table.Version), zap.String("reason", overloadedReason), zap.Duration("retryAfter", retryAfter))
		return platform.Refusal{RetryAfter: retryAfter, Reason: overloadedReason}
	}
	job := gateway.newJob(request, matched, account, client.path, table.Version, verdict.Cautious)
	job.limiter, job.token = limiter, token
	defer gateway.release(job)
	context.AfterFunc(ctx, job.releaseResponses) // the context ends once the answer has been written
	gateway.step(job, func(now time.Time) []fanout.Action { return job.clientRun.Start(now) })
	for stopBegan := gateway.stopBegan; ; {
		select {
		case response := <-job.response:
			return gateway.answer(job, response)
		case <-stopBegan:
			gateway.step(job, func(time.Time) []fanout.Action { job.endByStop(); return nil })
			stopBegan = nil
		case <-ctx.Done():
			gateway.step(job, func(now time.Time) []fanout.Action { return job.clientRun.Abort(now) })
			requestCounts.Add("clientLeft", 1)
			gateway.logSummary(job, "clientLeft", "")
			return nil
		}
	}
}

// callMemory returns the memory that copies of a long request take up while its calls are written.
func callMemory(request *platform.Request, matched *route.Route) int64 {
	bytes := len(request.Head()) + len(request.Body)
	if bytes <= shortRequest {
		return 0
	}
	calls := 1
	if gather, ok := matched.Destination.(route.Gather); ok {
		calls = min(len(gather.Shards), maxWrites)
	}
	return int64(calls) * int64(bytes)
}

// mayBeLate reports whether a client may have given up a request that is not idempotent, and sent it to another VM as a new one, while it
// waited for this process to run again.
func mayBeLate(request *platform.Request, matched *route.Route, waited time.Duration) bool {
	return !matched.Idempotent && request.Timeout > 0 && waited >= request.Timeout
}

// newJob returns a job for a client request; its timeout is the shorter one of the route's and the client's, or defaultTimeout if
// neither sets one.
func (gateway *Gateway) newJob(request *platform.Request, matched *route.Route, account *route.Account, path fanout.ClientPath, version int64, cautious bool) *job {
	now := time.Now()
	timeout := requestTimeout(matched.Timeout, request.Timeout)
	spec := fanout.Spec{
		Route:       matched.Name,
		Idempotent:  matched.Idempotent,
		MaxAttempts: max(matched.MaxAttempts, 1),
		Objective:   matched.Objective,
		Timeout:     timeout,
		Regions:     matched.AllowedRegions(account),
		Cautious:    cautious,
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.routeRequests[matched.Name]++
	recordLimit := 0
	switch destination := matched.Destination.(type) {
	case route.Single:
		spec.Parts = []string{destination.Service}
	case route.Split:
		spec.Parts = []string{destination.Pick(gateway.random)}
	case route.Gather:
		spec.Parts, spec.Gather, spec.MinCoverage, recordLimit = destination.Shards, true, destination.MinCoverage, destination.TopK
	}
	margin := path.Margin(gateway.settings.Cores)
	run := fanout.New(spec, fanout.SharedState{Fleet: gateway.fleet, Budgets: gateway.budgets, ResponseMargin: margin + gateway.responseDelay}, now)
	job := gateway.newBareJob(request, matched, version, now.Add(timeout))
	job.margin, job.recordLimit = margin, recordLimit
	job.account, job.machine, job.clientRun, job.started = account, run, run, now
	job.relayQueries, job.relayResults, job.response = map[int]string{}, map[int]rpc.GatherResult{}, make(chan fanout.Response, 1)
	job.endByStop()
	return job
}

// requestTimeout returns the shorter of the timeouts of a request's route and of its client, 0 standing for none.
func requestTimeout(ofRoute, ofClient time.Duration) time.Duration {
	switch {
	case ofRoute > 0 && ofClient > 0:
		return min(ofRoute, ofClient)
	case ofRoute > 0:
		return ofRoute
	case ofClient > 0:
		return ofClient
	}
	return defaultTimeout
}

// newBareJob returns a job without a state machine.
func (gateway *Gateway) newBareJob(request *platform.Request, matched *route.Route, version int64, deadline time.Time) *job {
	return &job{
		gateway: gateway, request: request, fingerprint: sync.OnceValue(request.Fingerprint), route: matched, version: version, deadline: deadline,
		exchanges: map[int]*http1.Exchange{}, replies: map[int]platform.Reply{}, cancelled: map[int]fanout.Cancel{},
	}
}

// newRelayJob returns a job for the parts that a peer asks for.
func (gateway *Gateway) newRelayJob(gather rpc.Gather, version int64, matched *route.Route, services []string) *job {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	spec := fanout.RelaySpec{Route: matched.Name, Services: services, Targets: gather.Targets, ReportAfter: gather.ReportAfter.Std(), Once: gather.Once}
	if gather.Pays {
		spec.Budgets = gateway.budgets
	}
	relayRun := fanout.NewRelayRun(spec, gateway.fleet, now)
	request := platform.NewForwardedRequest(gather.RequestID, gather.Method, gather.Head, gather.Body)
	job := gateway.newBareJob(request, matched, version, now.Add(gather.Timeout.Std()))
	job.machine, job.relayRun, job.started, job.recordLimit = relayRun, relayRun, now, recordLimitOf(gather)
	job.endByStop()
	return job
}

// answer turns the response that a run decided on into the answer to the client.
func (gateway *Gateway) answer(job *job, response fanout.Response) platform.Answer {
	switch response := response.(type) {
	case fanout.Deliver:
		outcome := "whole"
		if response.Missing > 0 {
			outcome = "partial"
		}
		gateway.recordOutcome(job, outcome)
		gateway.logSummary(job, outcome, "")
		return gateway.deliver(job, response)
	case fanout.ForwardFailure:
		gateway.recordOutcome(job, "serverFailed")
		gateway.logSummary(job, "serverFailed", "")
		return gateway.relayed(job, response.Call)
	case fanout.Refuse:
		gateway.refundUnsent(job)
		gateway.recordOutcome(job, "refused")
		gateway.logSummary(job, "refused", response.Reason)
		return gateway.refusal(job, response)
	case fanout.GiveUp:
		gateway.recordOutcome(job, "failed")
		gateway.logSummary(job, "failed", response.Reason)
		return platform.Failure{TimedOut: response.TimedOut, Reason: response.Reason}
	}
	return platform.Failure{Reason: "no verdict"}
}

func (job *job) reply(call int) platform.Reply {
	job.gateway.mu.Lock()
	defer job.gateway.mu.Unlock()
	return job.replies[call]
}

func (gateway *Gateway) deliver(job *job, deliver fanout.Deliver) platform.Answer {
	if _, ok := job.route.Destination.(route.Gather); !ok {
		return gateway.relayed(job, deliver.Calls[0])
	}
	return gateway.merge(job, deliver)
}

// relayed passes on the response of a target that has run the request, unless its status would promise the client the opposite.
func (gateway *Gateway) relayed(job *job, call int) platform.Answer {
	reply := job.reply(call)
	if !reply.PromisesNotRun() {
		return platform.Relayed{Reply: reply}
	}
	callCounts.Add("falsePromise", 1)
	gateway.log.Info("response of a target not passed on", zap.String("request", truncate(job.request.ID)), zap.String("route", job.route.Name),
		zap.Int("status", reply.Status), zap.String("reason", falsePromiseReason))
	return platform.Failure{Reason: falsePromiseReason}
}

// merge combines the records of the calls that make up a response and keeps the top ones.
func (gateway *Gateway) merge(job *job, deliver fanout.Deliver) platform.Merged {
	merged := platform.Merged{Missing: deliver.Missing}
	parts := make([][]byte, 0, len(deliver.Calls))
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, call := range deliver.Calls {
		if result, ok := job.relayResults[call]; ok {
			merged.Stamps = append(merged.Stamps, result.Stamps...)
			parts = append(parts, result.Records)
			continue
		}
		reply := job.replies[call]
		merged.Stamps = append(merged.Stamps, reply.Stamp)
		parts = append(parts, reply.Body)
	}
	merged.Body = merge.TopRecords(parts, platform.RecordSize, job.recordLimit)
	return merged
}

func (gateway *Gateway) recordOutcome(job *job, outcome string) {
	requestCounts.Add(outcome, 1)
	recordLatency(job.route.Name, time.Since(job.started))
}

// logSummary logs the summary of a request.
func (gateway *Gateway) logSummary(job *job, outcome, reason string) {
	gateway.mu.Lock()
	answered, extra, suppressed, missing := job.clientRun.AnsweredParts(), job.clientRun.ExtraCalls(), job.clientRun.SuppressedHedges(), job.clientRun.MissingCauses()
	gateway.mu.Unlock()
	gateway.log.Info("request ended", zap.String("request", truncate(job.request.ID)), zap.String("route", job.route.Name),
		zap.Int64("version", job.version), zap.String("outcome", outcome), zap.String("reason", reason),
		zap.Int("answeredParts", answered), zap.Int("extraCalls", extra), zap.Int("suppressedHedges", suppressed), zap.Stringer("missing", missing), zap.Duration("elapsed", time.Since(job.started)),
		zap.Duration("clientTimeout", job.request.Timeout), zap.Duration("margin", job.margin))
}
