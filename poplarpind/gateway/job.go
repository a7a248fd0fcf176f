package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
)

// decider is what decides on a job.
type decider interface {
	Result(now time.Time, call int, outcome fanout.Outcome) []fanout.Action
	Tick(now time.Time) []fanout.Action
	Next() time.Time
	Finished() bool
}

// job is a request that is under way, with what decides on it. The gateway's lock guards it.
type job struct {
	gateway   *Gateway
	request   *platform.Request
	route     *route.Route
	version   int64
	decider   decider
	run       *fanout.Run      // nil for parts that a VM elsewhere asks for
	leg       *fanout.RelayRun // nil for clients' requests
	report    func(fanout.Report)
	exchanges map[int]*http1.Exchange
	replies   map[int]platform.Reply
	dropped   map[int]fanout.Cancel // before their exchange was known
	asked     map[int]string        // the queries of calls that VMs elsewhere relay
	gathered  map[int]rpc.GatherResult
	timer     *time.Timer
	timerAt   time.Time
	started   time.Time
	deadline  time.Time
	done      chan fanout.Response
}

// step lets the run take an event and carries out what follows.
func (gateway *Gateway) step(job *job, event func(now time.Time) []fanout.Action) {
	gateway.mu.Lock()
	now := time.Now()
	actions := event(now)
	gateway.wake()
	job.schedule(now)
	gateway.mu.Unlock()
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			gateway.send(job, action)
		case fanout.Relay:
			gateway.ask(job, action)
		case fanout.Report:
			job.report(action)
		case fanout.Cancel:
			job.drop(action)
		case fanout.Finish:
			job.done <- action.Response
		}
	}
}

// schedule sets the timer to the run's next date; the caller holds the lock.
func (job *job) schedule(now time.Time) {
	if job.decider.Finished() {
		if job.timer != nil {
			job.timer.Stop()
		}
		return
	}
	next := job.decider.Next()
	if job.timer == nil {
		job.timer = time.AfterFunc(next.Sub(now), job.tick)
		job.timerAt = next
		return
	}
	if next.Before(job.timerAt) || !now.Before(job.timerAt) {
		job.timer.Reset(max(next.Sub(now), 0))
		job.timerAt = next
	}
}

func (job *job) tick() {
	job.gateway.step(job, func(now time.Time) []fanout.Action {
		if job.decider.Finished() {
			return nil
		}
		job.timerAt = now
		return job.decider.Tick(now)
	})
}

// send makes a call to a server.
func (gateway *Gateway) send(job *job, send fanout.Send) {
	index := send.Call
	if job.isDropped(index) {
		return // an earlier call of the same step ended the request
	}
	calls.Add(send.Reason, 1)
	if send.Reason != "first" && send.Reason != "relayed" {
		gateway.log.Info("call sent again", zap.String("request", clip(job.request.ID)), zap.String("service", send.Target.Service),
			zap.String("server", send.Target.ID), zap.String("reason", send.Reason), zap.Duration("after", time.Since(job.started)))
	}
	call := http1.Call{
		Target: send.Target.ID, Address: send.Target.Address, Method: job.request.Method,
		Encode:    func() []byte { return job.request.EncodeCall(send.Target.ID, time.Until(job.deadline)) },
		FreshConn: !job.route.Idempotent,
		Done: func(response *http.Response, body []byte, err error) (bool, time.Duration) {
			return gateway.ended(job, send, response, body, err)
		},
	}
	if !job.route.Idempotent {
		call.DialTimeout = onceDialTimeout
	}
	exchange, err := gateway.pool.Start(call)
	if err != nil {
		gateway.answered(job, send, platform.Reply{Outcome: fanout.NoCapacity, Detail: err.Error()})
		return
	}
	gateway.mu.Lock()
	job.exchanges[index] = exchange
	drop, dropped := job.dropped[index]
	gateway.mu.Unlock()
	if dropped {
		abandon(exchange, drop)
	}
}

func (job *job) isDropped(call int) bool {
	job.gateway.mu.Lock()
	defer job.gateway.mu.Unlock()
	_, dropped := job.dropped[call]
	return dropped
}

// drop carries out that a call is not needed any more.
func (job *job) drop(drop fanout.Cancel) {
	if job.gateway.unask(job, drop.Call) {
		return
	}
	job.gateway.mu.Lock()
	exchange := job.exchanges[drop.Call]
	job.dropped[drop.Call] = drop
	job.gateway.mu.Unlock()
	if exchange != nil {
		abandon(exchange, drop)
	}
}

func abandon(exchange *http1.Exchange, drop fanout.Cancel) {
	if drop.CloseConnection {
		exchange.Abort()
	} else {
		exchange.Abandon()
	}
}

// ended takes the end of a call from its connection.
func (gateway *Gateway) ended(job *job, send fanout.Send, response *http.Response, body []byte, err error) (bool, time.Duration) {
	if err != nil {
		gateway.answered(job, send, platform.Reply{Outcome: outcomeOf(err), Detail: err.Error()})
		return false, 0
	}
	reply, reusable := platform.DecodeReply(job.request, response, body)
	if reply.Outcome == fanout.Answered {
		if _, gather := job.route.Destination.(route.Gather); gather && !reply.Success() {
			reply.Outcome = fanout.Failed
		}
	}
	gateway.answered(job, send, reply)
	return reusable, platform.KeepAliveTimeout(response)
}

func outcomeOf(err error) fanout.Outcome {
	if failure, ok := err.(*http1.Error); ok {
		switch failure.Kind {
		case http1.NotSent:
			return fanout.NotSent
		case http1.Abandoned:
			return fanout.NoCapacity
		case http1.Rejected:
			return fanout.ConnectionLimit
		case http1.Malformed:
			return fanout.InvalidResponse
		}
	}
	return fanout.Lost
}

// answered lets the run take the end of a call.
func (gateway *Gateway) answered(job *job, send fanout.Send, reply platform.Reply) {
	calls.Add(string(reply.Outcome), 1)
	if reply.Outcome != fanout.Answered {
		gateway.log.Info("call ended without answer", zap.String("request", clip(job.request.ID)),
			zap.String("service", send.Target.Service), zap.String("server", send.Target.ID),
			zap.String("outcome", string(reply.Outcome)), zap.Int("status", reply.Status), zap.String("detail", reply.Detail),
			zap.Duration("after", time.Since(job.started)))
	}
	gateway.step(job, func(now time.Time) []fanout.Action {
		if reply.Outcome == fanout.Answered || reply.Outcome == fanout.Failed {
			job.replies[send.Call] = reply
		}
		return job.decider.Result(now, send.Call, reply.Outcome)
	})
}
