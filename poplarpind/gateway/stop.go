package gateway

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/stop"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/conns"
)

const (
	stopPollInterval = 20 * time.Millisecond // a stop looks for requests in flight this often
	stoppingRetry    = 50 * time.Millisecond // retry delay for clients of a VM that stops, since other VMs serve
	stoppingReason   = "this VM is stopping"
)

// shutdown stops gracefully: it waits until the load balancer has removed this VM, and then until the requests in flight of its clients and of peers
// have ended. Those that would last longer are answered shortly before the process ends.
func (gateway *Gateway) shutdown(clients net.Listener, states *conns.States, bodies *platform.Bodies) {
	stop := gateway.Drain()
	ctx, cancel := context.WithDeadline(context.Background(), stop.ExitAt())
	defer cancel()
	defer time.AfterFunc(time.Until(stop.AnswerBy()), bodies.End).Stop()
	gateway.deregister(ctx)
	sleep(ctx, time.Until(stop.RemovedAt()))
	err := states.Drain(ctx, clients)
	gateway.awaitRelayed(ctx)
	gateway.log.Info("entry VM stopped", zap.Int64("active", gateway.ActiveRequests()), zap.Error(err))
}

// takes reports whether a client's request is likely to be answered before this VM stops.
func (gateway *Gateway) takes(request *platform.Request, matched *route.Route) bool {
	return gateway.takesFor(matched, requestTimeout(matched.Timeout, request.Timeout))
}

// takesGather reports whether the parts that a peer asks for are likely to be answered before this VM stops.
func (gateway *Gateway) takesGather(matched *route.Route, gather rpc.Gather) bool {
	return gateway.takesFor(matched, gather.Timeout.Std())
}

func (gateway *Gateway) takesFor(matched *route.Route, timeout time.Duration) bool {
	stop := gateway.stop.Load()
	if stop == nil {
		return true
	}
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	return stop.Takes(time.Now(), gateway.stopRequest(matched, timeout))
}

// stopRequest describes a request to a stop; the caller holds mu.
func (gateway *Gateway) stopRequest(matched *route.Route, timeout time.Duration) stop.Request {
	_, gather := matched.Destination.(route.Gather)
	gateway.fleet.SetObjective(matched.Name, matched.Objective) // of a route without requests so far
	return stop.Request{Timeout: timeout, P95: gateway.fleet.Baseline(matched.Name).P95(), Gather: gather, Idempotent: matched.Idempotent}
}

// endByStop makes a job end in time for its answer if this VM stops; the caller holds mu.
func (job *job) endByStop() {
	stop := job.gateway.stop.Load()
	if stop == nil {
		return
	}
	if job.clientRun != nil {
		job.clientRun.EndBy(stop.AnswerBy(), job.gateway.stopRequest(job.route, job.deadline.Sub(job.started)).TimeNeeded())
	}
	if stop.AnswerBy().Before(job.deadline) {
		job.deadline = stop.AnswerBy()
	}
}

// awaitRelayed refuses further parts of peers, and waits until all results for peers have been sent.
func (gateway *Gateway) awaitRelayed(ctx context.Context) {
	gateway.refusesRelays.Store(true)
	inFlight := func() bool {
		gateway.mu.Lock()
		defer gateway.mu.Unlock()
		return len(gateway.relayJobs) > 0
	}
	for inFlight() && ctx.Err() == nil {
		sleep(ctx, stopPollInterval)
	}
	sleep(ctx, stopPollInterval) // lets the links send the last results
}
