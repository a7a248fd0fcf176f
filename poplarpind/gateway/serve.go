package gateway

import (
	"context"
	"expvar"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/merge"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
)

const (
	noConfigurationRetry = 500 * time.Millisecond // when a client may come back to a VM without a configuration
	onceDialTimeout      = 250 * time.Millisecond // for requests that may run once: another server is free to take them meanwhile
)

var (
	requests = expvar.NewMap("requests") // by outcome
	calls    = expvar.NewMap("calls")    // by outcome and by reason
	findings = expvar.NewMap("findings") // of servers' pace, told and heard
)

// Serve answers a request, or returns nil where the client has left.
func (gateway *Gateway) Serve(ctx context.Context, request *platform.Request) platform.Answer {
	gateway.active.Add(1)
	defer gateway.active.Add(-1)
	table := gateway.table.Load()
	if table == nil {
		requests.Add("noConfiguration", 1)
		gateway.log.Info("request refused", zap.String("request", clip(request.ID)), zap.String("reason", "no configuration is known"))
		return platform.Refusal{RetryAfter: noConfigurationRetry, Reason: "no configuration is known"}
	}
	found := table.Match(request.Host, request.Path)
	if found == nil {
		requests.Add("noRoute", 1)
		gateway.log.Info("request without route", zap.String("request", clip(request.ID)), zap.Int64("version", table.Version),
			zap.String("host", clip(request.Host)), zap.String("path", clip(request.Path)))
		return platform.NoRoute{}
	}
	if ok, retryAfter := gateway.admit(found); !ok {
		requests.Add("overloaded", 1)
		gateway.log.Info("request refused", zap.String("request", clip(request.ID)), zap.String("route", found.Name),
			zap.Int64("version", table.Version), zap.String("reason", "servers are overloaded"), zap.Duration("retryAfter", retryAfter))
		return platform.Refusal{RetryAfter: retryAfter, Reason: "servers are overloaded"}
	}
	job := gateway.newJob(request, found, table.Version)
	defer gateway.release(job)
	gateway.step(job, func(now time.Time) []fanout.Action { return job.run.Start(now) })
	select {
	case verdict := <-job.done:
		return gateway.answer(job, verdict)
	case <-ctx.Done():
		gateway.step(job, func(now time.Time) []fanout.Action { return job.run.Abort(now) })
		requests.Add("clientLeft", 1)
		gateway.logEnd(job, "clientLeft", "")
		return nil
	}
}

func (gateway *Gateway) newJob(request *platform.Request, found *route.Route, version int64) *job {
	now := time.Now()
	timeout := defaultTimeout
	if found.Timeout > 0 {
		timeout = found.Timeout
	}
	if request.Timeout > 0 {
		timeout = min(timeout, request.Timeout)
	}
	spec := fanout.Spec{
		Route:       found.Name,
		Idempotent:  found.Idempotent,
		MaxAttempts: max(found.MaxAttempts, 1),
		Objective:   found.Objective,
		Timeout:     timeout,
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.asked[found.Name]++
	switch destination := found.Destination.(type) {
	case route.Single:
		spec.Parts = []string{destination.Service}
	case route.Split:
		spec.Parts = []string{destination.Pick(gateway.random)}
	case route.Gather:
		spec.Parts, spec.Gather, spec.MinCoverage = destination.Shards, true, destination.MinCoverage
	}
	run := fanout.New(spec, fanout.SharedState{Fleet: gateway.fleet, Budgets: gateway.budgets, ResponseMargin: clientMargin + gateway.lag}, now)
	job := gateway.blankJob(request, found, version, now.Add(timeout))
	job.decider, job.run, job.started = run, run, now
	job.asked, job.gathered, job.done = map[int]string{}, map[int]rpc.GatherResult{}, make(chan fanout.Response, 1)
	return job
}

// blankJob returns a job that nothing decides on yet.
func (gateway *Gateway) blankJob(request *platform.Request, found *route.Route, version int64, deadline time.Time) *job {
	return &job{
		gateway: gateway, request: request, route: found, version: version, deadline: deadline,
		exchanges: map[int]*http1.Exchange{}, replies: map[int]platform.Reply{}, dropped: map[int]fanout.Cancel{},
	}
}

// legJob returns the job of parts that a VM elsewhere asks for.
func (gateway *Gateway) legJob(gather rpc.Gather, version int64, found *route.Route, services []string) *job {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	leg := fanout.NewRelayRun(found.Name, services, gather.ReportAfter.Std(), gateway.fleet, now)
	request := platform.NewForwardedRequest(gather.RequestID, gather.Method, gather.Head, gather.Body)
	job := gateway.blankJob(request, found, version, now.Add(gather.Timeout.Std()))
	job.decider, job.leg, job.started = leg, leg, now
	return job
}

// answer makes the client's answer of a verdict.
func (gateway *Gateway) answer(job *job, verdict fanout.Response) platform.Answer {
	switch verdict := verdict.(type) {
	case fanout.Deliver:
		outcome := "whole"
		if verdict.Missing > 0 {
			outcome = "partial"
		}
		gateway.count(job, outcome)
		gateway.logEnd(job, outcome, "")
		return gateway.delivered(job, verdict)
	case fanout.ForwardFailure:
		gateway.count(job, "serverFailed")
		gateway.logEnd(job, "serverFailed", "")
		return platform.Relayed{Reply: job.reply(verdict.Call)}
	case fanout.Refuse:
		gateway.count(job, "refused")
		gateway.logEnd(job, "refused", verdict.Reason)
		return platform.Refusal{RetryAfter: gateway.comeBack(verdict.RetryAfter), Reason: verdict.Reason}
	case fanout.GiveUp:
		gateway.count(job, "failed")
		gateway.logEnd(job, "failed", verdict.Reason)
		return platform.Failure{TimedOut: verdict.TimedOut, Reason: verdict.Reason}
	}
	return platform.Failure{Reason: "no verdict"}
}

func (job *job) reply(call int) platform.Reply {
	job.gateway.mu.Lock()
	defer job.gateway.mu.Unlock()
	return job.replies[call]
}

func (gateway *Gateway) delivered(job *job, deliver fanout.Deliver) platform.Answer {
	gather, ok := job.route.Destination.(route.Gather)
	if !ok {
		return platform.Relayed{Reply: job.reply(deliver.Calls[0])}
	}
	return gateway.merge(job, deliver, gather)
}

// merge puts together what the calls of an answer brought.
func (gateway *Gateway) merge(job *job, deliver fanout.Deliver, gather route.Gather) platform.Merged {
	merged := platform.Merged{Missing: deliver.Missing}
	parts := make([][]byte, 0, len(deliver.Calls))
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	for _, call := range deliver.Calls {
		if result, ok := job.gathered[call]; ok {
			merged.Stamps = append(merged.Stamps, result.Stamps...)
			parts = append(parts, result.Records)
			continue
		}
		reply := job.replies[call]
		merged.Stamps = append(merged.Stamps, reply.Stamp)
		parts = append(parts, reply.Body)
	}
	merged.Body = merge.TopRecords(parts, platform.RecordSize, gather.TopK)
	return merged
}

func (gateway *Gateway) count(job *job, outcome string) {
	requests.Add(outcome, 1)
	observe(job.route.Name, time.Since(job.started))
}

// logEnd writes the line that sums up a request.
func (gateway *Gateway) logEnd(job *job, outcome, reason string) {
	gateway.mu.Lock()
	in, extra, unhedged := job.run.AnsweredParts(), job.run.ExtraCalls(), job.run.SuppressedHedges()
	gateway.mu.Unlock()
	gateway.log.Info("request ended", zap.String("request", clip(job.request.ID)), zap.String("route", job.route.Name),
		zap.Int64("version", job.version), zap.String("outcome", outcome), zap.String("reason", reason),
		zap.Int("in", in), zap.Int("extra", extra), zap.Int("unhedged", unhedged), zap.Duration("spent", time.Since(job.started)),
		zap.Duration("wait", job.request.Timeout))
}
