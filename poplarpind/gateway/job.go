package gateway

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/poison"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/http1"
)

const (
	gatherBodyFactor = 4        // multiple of the merged answer's size that one part may have
	minGatherBody    = 64 << 10 // bytes of a part that are accepted whatever the size of the merged answer
)

// stateMachine decides the next actions of a job: a fanout.Run for a client's request, a fanout.RelayRun for a peer's.
type stateMachine interface {
	Result(now time.Time, call int, outcome fanout.Outcome) []fanout.Action
	Tick(now time.Time) []fanout.Action
	Next() time.Time
	Finished() bool
}

// job is a request in flight with its state machine; the gateway's mu guards it.
type job struct {
	gateway        *Gateway
	request        *platform.Request
	fingerprint    func() poison.Fingerprint // of the request, computed once
	route          *route.Route
	account        *route.Account // nil for a request without one, and for parts that a peer asked for
	limiter        *admit.Limiter // that admitted the request; nil for none
	token          token
	version        int64
	recordLimit    int // number of records that the answer, or the message to the peer, keeps; 0 for a route that does not gather
	machine        stateMachine
	clientRun      *fanout.Run         // nil for parts that a peer asked for
	relayRun       *fanout.RelayRun    // nil for client requests
	report         func(fanout.Report) // sends a report of relayRun to the peer; nil for client requests
	exchanges      map[int]*http1.Exchange
	replies        map[int]platform.Reply
	cancelled      map[int]fanout.Cancel // by call; also holds calls cancelled before their exchange is stored
	relayQueries   map[int]string        // query IDs of relayed calls, by call
	relayResults   map[int]rpc.GatherResult
	preventedCalls int // of machine, when they were last reported
	timer          *time.Timer
	timerAt        time.Time
	started        time.Time
	margin         time.Duration        // of the objective, for the network path to the client
	deadline       time.Time            // of the calls, earlier once the VM stops
	response       chan fanout.Response // receives clientRun's response; nil for parts that a peer asked for
}

// step passes an event to the job's state machine and carries out the resulting actions without holding mu.
func (gateway *Gateway) step(job *job, event func(now time.Time) []fanout.Action) {
	gateway.mu.Lock()
	now := time.Now()
	actions := event(now)
	gateway.signalObservations()
	gateway.watchSuspects()
	job.schedule(now)
	prevented := job.newlyPrevented()
	gateway.mu.Unlock()
	job.reportPrevented(prevented)
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			gateway.send(job, action)
		case fanout.Relay:
			gateway.startRelay(job, action)
		case fanout.Report:
			job.report(action)
		case fanout.Cancel:
			job.cancelCall(action)
		case fanout.CheckDelivery:
			gateway.checkDelivery(job, action)
		case fanout.Finish:
			job.response <- action.Response
		}
	}
}

// schedule sets the timer to the state machine's next deadline; the caller holds mu.
func (job *job) schedule(now time.Time) {
	if job.machine.Finished() {
		if job.timer != nil {
			job.timer.Stop()
		}
		return
	}
	next := job.machine.Next()
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
		if job.machine.Finished() {
			return nil
		}
		job.timerAt = now
		return job.machine.Tick(now)
	})
}

// send starts a call to a target.
func (gateway *Gateway) send(job *job, send fanout.Send) {
	index := send.Call
	gateway.mu.Lock()
	_, cancelled := job.cancelled[index]
	limited := gateway.fleet.Limited(send.Target.ID)
	deadline := job.deadline
	gateway.mu.Unlock()
	if cancelled {
		return // an earlier action of the same step ended the request
	}
	sentAt := time.Now()
	if gateway.checkSuspect(sentAt, job.fingerprint).RefuseFor > 0 {
		gateway.callEnded(job, send, platform.Reply{Outcome: fanout.NoCapacity, Detail: quarantinedReason})
		return
	}
	callCounts.Add(send.Reason, 1)
	if limited {
		targetReports.Add("limitedCalls."+send.Reason, 1)
	}
	if send.Reason != "first" && send.Reason != "relayed" {
		gateway.log.Info("additional call sent", zap.String("request", truncate(job.request.ID)), zap.String("service", send.Target.Service),
			zap.String("target", send.Target.ID), zap.String("reason", send.Reason), zap.Duration("elapsed", time.Since(job.started)))
	}
	call := http1.Call{
		Target: send.Target.ID, Address: send.Target.Address, Method: job.request.Method,
		Encode:    func() []byte { return job.request.EncodeCall(send.Target.ID, time.Until(deadline)) },
		FreshConn: !job.route.Idempotent, DialTimeout: idempotentDialTimeout, Deadline: deadline, MaxBody: job.maxResponseBody(),
		Priority: job.route.EffectivePriority(job.account),
		Done: func(response *http1.Response, err error) (bool, time.Duration) {
			return gateway.exchangeEnded(job, send, sentAt, response, err)
		},
	}
	if !job.route.Idempotent {
		call.DialTimeout, call.Avoid = nonIdempotentDialTimeout, job.answeredBefore
	}
	exchange, err := gateway.pool.Start(call)
	if err != nil {
		gateway.callEnded(job, send, platform.Reply{Outcome: fanout.NoCapacity, Detail: err.Error()})
		return
	}
	gateway.mu.Lock()
	job.exchanges[index] = exchange
	cancel, cancelled := job.cancelled[index]
	gateway.mu.Unlock()
	if cancelled {
		cancelExchange(exchange, cancel)
	}
}

// maxResponseBody returns the limit on the body of a target's response, 0 for the default.
func (job *job) maxResponseBody() int64 {
	if _, ok := job.route.Destination.(route.Gather); ok {
		limit := max(gatherBodyFactor*int64(job.recordLimit)*platform.RecordSize, minGatherBody)
		if job.relayRun != nil {
			limit = min(limit, rpc.MaxForwardedBody)
		}
		return limit
	}
	if job.relayRun != nil {
		return rpc.MaxForwardedBody
	}
	return 0
}

// releaseResponses says that the bodies of the responses to a job's calls are no longer referenced.
func (job *job) releaseResponses() {
	if job.gateway.pool.BufferedBytes() == 0 {
		return
	}
	job.gateway.mu.Lock()
	exchanges := slices.Collect(maps.Values(job.exchanges))
	job.gateway.mu.Unlock()
	for _, exchange := range exchanges {
		exchange.Release()
	}
}

// cancelCall cancels a call whose result is no longer needed.
func (job *job) cancelCall(cancel fanout.Cancel) {
	if job.gateway.cancelRelay(job, cancel) {
		return
	}
	job.gateway.mu.Lock()
	exchange := job.exchanges[cancel.Call]
	job.cancelled[cancel.Call] = cancel
	job.gateway.mu.Unlock()
	if exchange != nil {
		cancelExchange(exchange, cancel)
	}
}

func cancelExchange(exchange *http1.Exchange, cancel fanout.Cancel) {
	if cancel.CloseConnection {
		exchange.Abort()
	} else {
		exchange.Abandon()
	}
}

// exchangeEnded handles the end of an HTTP exchange; it returns whether the connection may be reused and for how long.
func (gateway *Gateway) exchangeEnded(job *job, send fanout.Send, sentAt time.Time, response *http1.Response, err error) (bool, time.Duration) {
	if err != nil {
		outcome := outcomeOf(err)
		gateway.noteOutcome(job, send.Target, sentAt, outcome)
		gateway.callEnded(job, send, platform.Reply{Outcome: outcome, Detail: err.Error()})
		return false, 0
	}
	history, used := historyOf(response.Previous)
	var previous *platform.Origin // nil for the first response on the connection
	if used {
		previous = &history.last
	}
	reply, reusable := platform.DecodeReply(job.request, response.Response, response.Body, previous)
	remembered, roomLeft := history.add(job, platform.OriginOf(response.Response), reply.Outcome)
	response.Remembered = remembered
	reply.Report.AskedAt = sentAt
	gateway.noteOutcome(job, send.Target, sentAt, reply.Outcome)
	if reply.Outcome == fanout.Answered {
		if _, gather := job.route.Destination.(route.Gather); gather && !reply.Success() {
			reply.Outcome = fanout.Failed
		}
	}
	gateway.callEnded(job, send, reply)
	return reusable && roomLeft, platform.KeepAliveTimeout(response.Response)
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
		case http1.Undelivered:
			return fanout.Undelivered
		}
	}
	return fanout.Lost
}

// fingerprintField returns the log field that shows which lost calls were for the same request.
func fingerprintField(job *job, outcome fanout.Outcome) zap.Field {
	if outcome != fanout.Lost {
		return zap.Skip()
	}
	return zap.Stringer("fingerprint", job.fingerprint())
}

// callEnded passes the outcome of a call to the state machine.
func (gateway *Gateway) callEnded(job *job, send fanout.Send, reply platform.Reply) {
	callCounts.Add(string(reply.Outcome), 1)
	if reply.Outcome != fanout.Answered {
		gateway.log.Info("call not answered", zap.String("request", truncate(job.request.ID)),
			zap.String("service", send.Target.Service), zap.String("target", send.Target.ID),
			zap.String("outcome", string(reply.Outcome)), zap.Int("status", reply.Status), zap.String("detail", reply.Detail),
			zap.Duration("elapsed", time.Since(job.started)), fingerprintField(job, reply.Outcome))
	}
	gateway.step(job, func(now time.Time) []fanout.Action {
		gateway.applyReport(now, send.Target, reply) // also if the result is no longer needed
		_, cancelled := job.cancelled[send.Call]     // its body is released
		if !cancelled && (reply.Outcome == fanout.Answered || reply.Outcome == fanout.Failed) {
			job.replies[send.Call] = reply
		}
		return job.machine.Result(now, send.Call, reply.Outcome)
	})
}
