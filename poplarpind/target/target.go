package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/dispatch"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
)

const (
	healthInterval = 500 * time.Millisecond
	healthIdle     = 10 * time.Second // without a call, after which a target's health is not asked
	leavingSpan    = 3 * time.Second  // how long a health endpoint's word of leaving holds without renewal
	listedSpan     = 10 * time.Second // how long the platform's word of leaving holds without renewal
	refusedSpan    = time.Minute      // how long a target's own refusal as leaving holds, unless it was restarted
	maxReply       = 8 << 20          // bytes
)

// job is one call at its owner.
type job struct {
	query  string
	call   rpc.Call
	batch  *rpc.Batch
	reply  func(rpc.Result)
	queued time.Time
	waited time.Duration
	cancel context.CancelFunc // set while the call is in flight
}

// target is one target as its owner sees it.
type target struct {
	settings config.Target
	limits   Limits
	pool     *pool
	mu       sync.Mutex
	queue    *dispatch.Queue[*job]
	running  map[*job]bool
	leaving  time.Time // until when it counts as leaving
	refused  time.Time // when it refused a call because it is leaving
	retired  bool      // it is not in the configuration any more
	used     time.Time
	health   search.Health
	counts   counts
}

type counts struct {
	Calls, Shed, Expired, Lost, Cancelled int64
}

func newTarget(settings config.Target, limits Limits, transport *http.Transport) *target {
	return &target{
		settings: settings,
		limits:   limits,
		pool:     newPool(settings.Address, limits.connections(settings), transport),
		queue:    dispatch.New[*job](limits.inFlight(settings)),
		running:  map[*job]bool{},
	}
}

// run queues a call or refuses it at once.
func (target *target) run(now time.Time, item dispatch.Item[*job]) {
	target.mu.Lock()
	target.used = now
	if target.isLeaving(now) {
		target.mu.Unlock()
		item.Value.end(rpc.Result{Outcome: rpc.Draining, Leaving: true})
		return
	}
	wait := target.queue.EstimatedWait(item.Class)
	if !target.queue.Push(now, item) {
		target.counts.Shed++
		target.mu.Unlock()
		item.Value.end(rpc.Result{Outcome: rpc.Shed, QueueWait: config.Duration(wait)})
		return
	}
	target.mu.Unlock()
	target.pump()
}

func (target *target) isLeaving(now time.Time) bool {
	return target.retired || now.Before(target.leaving)
}

// mark refuses new calls until a time and those that wait at once.
func (target *target) mark(until time.Time) {
	target.mu.Lock()
	if until.After(target.leaving) {
		target.leaving = until
	}
	waiting := target.queue.Remove(func(*job) bool { return true })
	target.mu.Unlock()
	for _, item := range waiting {
		item.Value.end(rpc.Result{Outcome: rpc.Draining, Leaving: true})
	}
}

// pump starts the calls that have a slot and ends those that have become too late.
func (target *target) pump() {
	for {
		now := time.Now()
		target.mu.Lock()
		item, ok, expired := target.queue.Pop(now)
		var ctx context.Context
		if ok {
			ctx, item.Value.cancel = context.WithDeadline(context.Background(), item.Deadline)
			item.Value.waited = now.Sub(item.Value.queued)
			target.running[item.Value] = true
			target.counts.Calls++
		}
		target.counts.Expired += int64(len(expired))
		target.mu.Unlock()
		for _, late := range expired {
			late.Value.end(rpc.Result{Outcome: rpc.Expired})
		}
		if !ok {
			return
		}
		go target.execute(ctx, item.Value, item.Deadline)
	}
}

// execute makes a call and reports its result.
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
	if result.Leaving {
		target.refused = time.Now()
	}
	target.mu.Unlock()
	if result.Leaving {
		target.mark(time.Now().Add(refusedSpan))
	}
	job.cancel()
	job.end(result)
	target.pump()
}

// exchange sends one call on a connection and reads its reply.
func (target *target) exchange(ctx context.Context, job *job, deadline time.Time) rpc.Result {
	body, err := json.Marshal(job.search(deadline))
	if err != nil {
		return rpc.Result{Outcome: rpc.NotSent}
	}
	conn, err := target.pool.take(ctx)
	if err != nil {
		return rpc.Result{Outcome: rpc.NotSent}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+target.settings.Address+search.SearchPath, bytes.NewReader(body))
	if err != nil {
		conn.Release()
		return rpc.Result{Outcome: rpc.NotSent}
	}
	request.GetBody = nil // a call is sent once; the transport may not repeat it
	response, err := conn.RoundTrip(request)
	if err != nil {
		return rpc.Result{Outcome: rpc.Lost}
	}
	defer response.Body.Close()
	return read(response)
}

func (job *job) search(deadline time.Time) search.Call {
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

// read turns a target's response into a result.
func read(response *http.Response) rpc.Result {
	body := io.LimitReader(response.Body, maxReply)
	switch response.StatusCode {
	case http.StatusOK:
		var reply struct {
			search.Reply
			Shards json.RawMessage `json:"shards"` // passed on as it is
		}
		if err := json.NewDecoder(body).Decode(&reply); err != nil {
			return rpc.Result{Outcome: rpc.Lost}
		}
		return rpc.Result{Outcome: rpc.OK, Version: reply.Version, RequestID: reply.RequestID,
			Body: rpc.Pack(reply.Shards), Leaving: reply.State == search.Draining}
	case http.StatusConflict:
		return rpc.Result{Outcome: rpc.VersionNotHeld}
	case http.StatusServiceUnavailable:
		var refusal search.Refusal
		_ = json.NewDecoder(body).Decode(&refusal)
		if refusal.State == search.Draining {
			return rpc.Result{Outcome: rpc.Draining, Leaving: true}
		}
		return rpc.Result{Outcome: rpc.Shed}
	}
	return rpc.Result{Outcome: rpc.Failed}
}

func (job *job) end(result rpc.Result) {
	result.CallID, result.Target = job.call.ID, job.call.Target
	if result.QueueWait == 0 {
		result.QueueWait = config.Duration(job.waited)
	}
	job.reply(result)
}

// withdraw takes back a call; one that waits is not reported, one that is not idempotent and under way goes on.
func (target *target) withdraw(query string, call int64) {
	match := func(job *job) bool { return job.query == query && job.call.ID == call }
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

// check asks the target's health endpoint, whose word counts only where it says that the target is leaving.
func (target *target) check(ctx context.Context) {
	target.mu.Lock()
	idle := time.Since(target.used) > healthIdle
	target.mu.Unlock()
	if idle {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthInterval)
	defer cancel()
	conn, err := target.pool.take(ctx)
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
	if json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&health) != nil {
		return
	}
	target.judge(health)
}

// judge takes the health endpoint's word of leaving, and its word of serving only if the target was restarted since it refused a call.
func (target *target) judge(health search.Health) {
	if health.State == search.Draining {
		target.mark(time.Now().Add(leavingSpan))
	}
	newest := target.pool.newest()
	target.mu.Lock()
	defer target.mu.Unlock()
	target.health = health
	if health.State == search.Serving && !target.refused.IsZero() && newest.After(target.refused) {
		target.refused, target.leaving = time.Time{}, time.Time{}
	}
}

// View is a target as its owner sees it, for dumps.
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
	open, opened, lost := target.pool.counts()
	target.mu.Lock()
	defer target.mu.Unlock()
	return View{
		Target: target.settings.Name, InFlight: target.queue.InFlight(), Waiting: target.queue.Waiting(),
		Connections: open, Opened: opened, LostConns: lost, Leaving: target.isLeaving(time.Now()),
		Health: target.health.State, Counts: fmt.Sprintf("%+v", target.counts),
	}
}
