package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/dispatch"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
	"poplarpin.dev/poplarpind/http1"
)

const (
	healthInterval    = 500 * time.Millisecond
	healthIdleTimeout = 10 * time.Second // a target's health is no longer checked after this time without a call
	healthLeavingTTL  = 3 * time.Second  // how long a health endpoint's draining state is valid without renewal
	listedLeavingTTL  = 10 * time.Second // how long the platform's listing as leaving is valid without renewal
	refusedLeavingTTL = time.Minute      // how long a target counts as leaving after its reply said so, unless its drain ends or it is restarted
)

// job is one queued or running call.
type job struct {
	queryID   string
	call      rpc.Call
	batch     *rpc.Batch
	reply     func(rpc.Result)
	priority  int // of the call's class, 0 is the highest
	queuedAt  time.Time
	queueWait time.Duration
	cancel    context.CancelFunc // set while the call is in flight
}

// target holds the queue, connections and health of one target.
type target struct {
	settings     config.Target
	limits       Limits
	pool         *pool
	memory       *memory // for responses
	mu           sync.Mutex
	queue        *dispatch.Queue[*job]
	running      map[*job]bool
	listedUntil  time.Time // the target counts as leaving until then because the platform lists it so
	leavingUntil time.Time // the target counts as leaving until then because its replies or its health said so
	refusedAt    time.Time // when a reply last said that the target is leaving; zero if it serves again since
	drainSeen    bool      // the health endpoint has reported a drain and not yet its end
	retired      bool      // the configuration no longer has the target in this form
	lastUsed     time.Time
	healthCheck  sync.Mutex // held during a check, so that states are applied in the order in which they were asked for
	health       search.Health
	counts       counts
}

type counts struct {
	Calls, Shed, Expired, Lost, Cancelled int64
}

func newTarget(settings config.Target, limits Limits, transport *http.Transport, memory *memory) *target {
	return &target{
		settings: settings,
		memory:   memory,
		limits:   limits,
		pool:     newPool(settings.Address, limits.maxConnections(settings), transport),
		queue:    dispatch.New[*job](limits.maxInFlight(settings)),
		running:  map[*job]bool{},
	}
}

// run queues a call, or refuses it immediately if the target is leaving or the queue does not accept it.
func (target *target) run(now time.Time, item dispatch.Item[*job]) {
	target.mu.Lock()
	target.lastUsed = now
	if target.isLeaving(now) {
		target.mu.Unlock()
		item.Value.finish(rpc.Result{Outcome: rpc.Draining, Leaving: true})
		return
	}
	wait := target.queue.EstimatedWait(item.Class)
	if !target.queue.Push(now, item) {
		target.counts.Shed++
		target.mu.Unlock()
		item.Value.finish(rpc.Result{Outcome: rpc.Shed, QueueWait: config.Duration(wait)})
		return
	}
	target.mu.Unlock()
	target.startQueued()
}

// isLeaving reports whether the target refuses new calls; the caller holds the lock.
func (target *target) isLeaving(now time.Time) bool {
	return target.retired || now.Before(target.listedUntil) || now.Before(target.leavingUntil)
}

// markLeaving refuses queued calls now and new calls until the given time; until is target.listedUntil or target.leavingUntil.
func (target *target) markLeaving(until *time.Time, ttl time.Duration) {
	target.mu.Lock()
	if end := time.Now().Add(ttl); end.After(*until) {
		*until = end
	}
	queued := target.queue.Remove(func(*job) bool { return true })
	target.mu.Unlock()
	for _, item := range queued {
		item.Value.finish(rpc.Result{Outcome: rpc.Draining, Leaving: true})
	}
}

// startQueued starts queued calls while slots are free and fails those whose deadline can no longer be met.
func (target *target) startQueued() {
	for {
		now := time.Now()
		target.mu.Lock()
		item, ok, expired := target.queue.Pop(now)
		var ctx context.Context
		if ok {
			ctx, item.Value.cancel = context.WithDeadline(context.Background(), item.Deadline)
			item.Value.queueWait = now.Sub(item.Value.queuedAt)
			target.running[item.Value] = true
			target.counts.Calls++
		}
		target.counts.Expired += int64(len(expired))
		target.mu.Unlock()
		for _, expiredItem := range expired {
			expiredItem.Value.finish(rpc.Result{Outcome: rpc.Expired})
		}
		if !ok {
			return
		}
		go target.execute(ctx, item.Value, item.Deadline)
	}
}

// execute makes a call, reports its result and frees its slot for the next one.
func (target *target) execute(ctx context.Context, job *job, deadline time.Time) {
	started := time.Now()
	result := target.exchange(ctx, job, deadline)
	took := time.Duration(0)
	if result.Outcome == rpc.OK {
		took = time.Since(started)
	}
	target.mu.Lock()
	delete(target.running, job)
	target.queue.Done(took)
	if result.Outcome == rpc.Lost {
		target.counts.Lost++
	}
	knownToLeave := time.Now().Before(target.leavingUntil)
	if result.Leaving {
		target.refusedAt = time.Now()
	}
	target.mu.Unlock()
	if result.Leaving {
		target.markLeaving(&target.leavingUntil, refusedLeavingTTL)
		if !knownToLeave {
			go target.checkHealth(context.Background()) // a drain may end before the next regular check
		}
	}
	job.cancel()
	job.finish(result)
	target.startQueued()
}

// noSwitch fails a call whose target switches to another protocol, which nobody has asked for.
var noSwitch = &httptrace.ClientTrace{Got1xxResponse: func(status int, _ textproto.MIMEHeader) error {
	if status == http.StatusSwitchingProtocols {
		return &Error{"exchange", InvalidStatus, "the target switches to another protocol"}
	}
	return nil
}}

// exchange sends one call on a connection and returns its result: NotSent if it failed before the request was sent, Lost if it
// failed later, so that the target may have run the call.
func (target *target) exchange(ctx context.Context, job *job, deadline time.Time) rpc.Result {
	body, err := json.Marshal(job.searchCall(deadline))
	if err != nil {
		return rpc.Result{Outcome: rpc.NotSent}
	}
	conn, err := target.pool.acquire(ctx)
	if err != nil {
		return rpc.Result{Outcome: rpc.NotSent}
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, noSwitch), http.MethodPost, "http://"+target.settings.Address+search.SearchPath, bytes.NewReader(body))
	if err != nil {
		conn.Release()
		return rpc.Result{Outcome: rpc.NotSent}
	}
	request.GetBody = nil // prevents the transport from resending the call
	response, err := conn.RoundTrip(request)
	if err != nil {
		return rpc.Result{Outcome: rpc.Lost}
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK, http.StatusServiceUnavailable:
	default:
		return decodeResponse(response.StatusCode, nil) // the status says all, also if the body does not end
	}
	data, release, err := target.memory.read(response.Body, job.priority)
	defer release()
	if err != nil {
		return rpc.Result{Outcome: rpc.Lost}
	}
	return decodeResponse(response.StatusCode, data)
}

// searchCall returns the body of the request to the target.
func (job *job) searchCall(deadline time.Time) search.Call {
	return search.Call{
		RequestID:     job.batch.RequestID,
		Service:       job.batch.Service,
		Version:       job.batch.Version,
		Shards:        job.call.Shards,
		Query:         job.batch.Text,
		Top:           job.batch.Top,
		Timeout:       config.Duration(time.Until(deadline)),
		NonIdempotent: job.batch.NonIdempotent,
	}
}

// decodeResponse converts a target's complete response to a result.
func decodeResponse(status int, data []byte) rpc.Result {
	switch status {
	case http.StatusOK:
		var reply struct {
			search.Reply
			Shards json.RawMessage `json:"shards"` // forwarded without decoding
		}
		if json.Unmarshal(data, &reply) != nil {
			return rpc.Result{Outcome: rpc.Lost}
		}
		return rpc.Result{Outcome: rpc.OK, Version: reply.Version, RequestID: reply.RequestID,
			Body: rpc.Pack(reply.Shards), Leaving: reply.State == search.Draining}
	case http.StatusConflict:
		return rpc.Result{Outcome: rpc.VersionNotHeld}
	case http.StatusServiceUnavailable:
		return decodeRefusal(data)
	}
	if !http1.FinalStatus(status) { // the call may have run
		return rpc.Result{Outcome: rpc.Lost}
	}
	return rpc.Result{Outcome: rpc.Failed}
}

// decodeRefusal returns Lost for a body that does not name a state in which targets refuse calls: a 503 of something between this VM and
// the target, or one that is cut off, does not show that the call has not run.
func decodeRefusal(data []byte) rpc.Result {
	var refusal search.Refusal
	if json.Unmarshal(data, &refusal) != nil {
		return rpc.Result{Outcome: rpc.Lost}
	}
	switch refusal.State {
	case search.Draining:
		return rpc.Result{Outcome: rpc.Draining, Leaving: true}
	case search.Shedding, search.Cold:
		return rpc.Result{Outcome: rpc.Shed}
	}
	return rpc.Result{Outcome: rpc.Lost}
}

// finish completes a result with the call's id, target and queue wait, and reports it.
func (job *job) finish(result rpc.Result) {
	result.CallID, result.Target = job.call.ID, job.call.Target
	if result.QueueWait == 0 {
		result.QueueWait = config.Duration(job.queueWait)
	}
	job.reply(result)
}

// cancelCall cancels a call: a queued one is removed without a result, a running one is aborted unless it is not idempotent.
func (target *target) cancelCall(queryID string, callID int64) {
	match := func(job *job) bool { return job.queryID == queryID && job.call.ID == callID }
	target.mu.Lock()
	defer target.mu.Unlock()
	target.counts.Cancelled += int64(len(target.queue.Remove(match)))
	for job := range target.running {
		if match(job) && !job.batch.NonIdempotent {
			target.counts.Cancelled++
			job.cancel()
		}
	}
}

// checkHealth queries the target's health endpoint. Only a draining state counts against the target; a failed check does not.
func (target *target) checkHealth(ctx context.Context) {
	target.mu.Lock()
	idle := time.Since(target.lastUsed) > healthIdleTimeout
	target.mu.Unlock()
	if idle {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	target.healthCheck.Lock()
	defer target.healthCheck.Unlock()
	conn, err := target.pool.acquire(ctx)
	if err != nil {
		return
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target.settings.Address+search.HealthPath, nil)
	if err != nil {
		conn.Release()
		return
	}
	response, err := conn.RoundTrip(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	var health search.Health
	if !http1.FinalStatus(response.StatusCode) || json.NewDecoder(io.LimitReader(response.Body, maxHealthBytes)).Decode(&health) != nil {
		return
	}
	target.applyHealth(health)
}

// applyHealth marks a draining target as leaving. A serving state clears the mark if the health endpoint has reported the drain, as one
// that never did may be wrong, or if a connection has been opened since a reply said that the target is leaving, which is taken as a
// restart of the target.
func (target *target) applyHealth(health search.Health) {
	if health.State == search.Draining {
		target.markLeaving(&target.leavingUntil, healthLeavingTTL)
	}
	newest := target.pool.lastOpened()
	target.mu.Lock()
	defer target.mu.Unlock()
	target.health = health
	restarted := !target.refusedAt.IsZero() && newest.After(target.refusedAt)
	switch {
	case health.State == search.Draining:
		target.drainSeen = true
	case health.State == search.Serving && (target.drainSeen || restarted):
		target.drainSeen, target.refusedAt, target.leavingUntil = false, time.Time{}, time.Time{}
	}
}

// View is a snapshot of a target's state for dumps.
type View struct {
	Target      string
	InFlight    int
	Waiting     int
	Connections int
	Opened      int64
	LostConns   int64
	Leaving     bool
	Health      search.State
	Counts      string
}

func (target *target) view() View {
	open, opened, lost := target.pool.stats()
	target.mu.Lock()
	defer target.mu.Unlock()
	return View{
		Target: target.settings.Name, InFlight: target.queue.InFlight(), Waiting: target.queue.Waiting(),
		Connections: open, Opened: opened, LostConns: lost, Leaving: target.isLeaving(time.Now()),
		Health: target.health.State, Counts: fmt.Sprintf("%+v", target.counts),
	}
}
