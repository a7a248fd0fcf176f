package query

import (
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/budget"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/latency"
	"poplarpin.dev/core/rpc"
)

const (
	maxAttempts      = 4                     // calls for one shard, including the first
	retryBackoff     = 10 * time.Millisecond // before a replica is tried again, doubled with each attempt for the shard
	budgetRetryDelay = 20 * time.Millisecond // before a retry that the budget refused is tried again
)

// Action is what a Run asks its driver to do.
type Action interface{ action() }

// Send asks to make calls, whose results are passed to Run.Result.
type Send struct{ Calls []rpc.Call }

// Cancel asks to cancel calls whose results are no longer needed.
type Cancel struct{ Calls []rpc.Call }

// Finish asks to send the caller its final answer.
type Finish struct {
	Answer     api.Answer
	Overloaded bool // shards are missing because their calls were shed, or calls waited long in their owners' queues
}

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Policy enables the measures against stragglers and failures.
type Policy struct {
	Hedge    bool // also enables probes of avoided replicas
	Retry    bool
	Adaptive bool // rank replicas by their recorded latency and state instead of at random
}

type shard struct {
	config.Shard
	calls         []*call // all calls that include this shard
	pending       int     // those of the calls that have not ended
	attempts      int
	tried         []string  // replicas that were called
	retryAt       time.Time // zero if no retry is scheduled
	chargesBudget bool      // the scheduled retry is charged to the budget
	merged        bool
	reason        api.Reason // why the shard is missing, as long as it is not merged
}

type call struct {
	rpc.Call
	shards  []int // indices in Run.shards
	started time.Time
	extra   bool // a hedge or a probe, which is not hedged itself
	hedged  bool // a hedge was sent or considered, or a probe copied the call; not considered again
	ended   bool
}

// Run is the state of one query.
type Run struct {
	request         api.Request
	minCoverage     float64
	release         int64
	indexes         []config.Index // newest first; the first is the pinned version
	versions        *Versions
	tracker         *latency.Tracker
	budget          *budget.Budget
	policy          Policy
	started         time.Time
	deadline        time.Time
	shards          []shard
	shardIndexes    map[string]int
	calls           []*call
	firstPinnedCall int // index in calls of the first call for the pinned version
	records         []api.Record
	documents       int64
	mergedDocuments int64
	unmergedShards  int
	mergedPrefix    int           // number of leading shards that are known to be merged
	extraCalls      int           // retries, hedges and probes
	totalQueueWait  time.Duration // sum over all results of the time that calls were queued at their owners
	resultCount     int
	restarted       bool
	finished        bool
}

// Shared holds the state that all runs of one service share.
type Shared struct {
	Versions *Versions
	Tracker  *latency.Tracker
	Budget   *budget.Budget
}

// New returns a run of a request on the newest index version that no target refused recently, or on the newest if all were refused.
func New(request api.Request, configuration *config.Configuration, shared Shared, policy Policy, now time.Time) *Run {
	service := configuration.Services[request.Service]
	run := &Run{
		request:     request,
		minCoverage: service.MinCoverage,
		release:     configuration.Release,
		indexes:     shared.Versions.Usable(configuration.Indexes[request.Service], now),
		versions:    shared.Versions,
		tracker:     shared.Tracker,
		budget:      shared.Budget,
		policy:      policy,
		started:     now,
		deadline:    now.Add(request.Timeout(service)),
	}
	if request.MinCoverage != nil {
		run.minCoverage = *request.MinCoverage
	}
	run.pinSnapshot()
	return run
}

// pinSnapshot pins the first index version and resets the merge state.
func (run *Run) pinSnapshot() {
	index := run.indexes[0]
	run.shards = make([]shard, len(index.Shards))
	run.shardIndexes = make(map[string]int, len(index.Shards))
	for i, declared := range index.Shards {
		run.shards[i] = shard{Shard: declared, reason: api.TimedOut}
		run.shardIndexes[declared.Name] = i
	}
	run.documents, run.mergedDocuments, run.records = index.Documents(), 0, nil
	run.unmergedShards, run.mergedPrefix = len(run.shards), 0
	run.firstPinnedCall = len(run.calls)
}

// Version returns the pinned index version.
func (run *Run) Version() int64 { return run.indexes[0].Version }

// Started returns when the run began.
func (run *Run) Started() time.Time { return run.started }

// Deadline returns when the answer is due.
func (run *Run) Deadline() time.Time { return run.deadline }

// Start returns the first calls and, if one is due, a probe.
func (run *Run) Start(now time.Time) []Action {
	all := make([]int, len(run.shards))
	for i := range all {
		all[i] = i
	}
	calls := run.planCalls(now, all)
	run.budget.RecordCalls(now, len(calls))
	send := Send{rpcCalls(calls)}
	send.Calls = append(send.Calls, run.probeCalls(now, calls)...)
	return []Action{send}
}

// Tick sends the retries that are due, hedges slow calls, and finishes the run at its deadline.
func (run *Run) Tick(now time.Time) []Action {
	if run.finished {
		return nil
	}
	if !now.Before(run.deadline) {
		return run.finish(now)
	}
	var due []int
	for i := range run.shards {
		if shard := &run.shards[i]; !shard.retryAt.IsZero() && !now.Before(shard.retryAt) {
			due = append(due, i)
		}
	}
	return append(run.sendRetries(now, due), run.hedgeSlowCalls(now)...)
}

// NextTick returns when Tick must be called next.
func (run *Run) NextTick() time.Time {
	next := run.deadline
	for i := range run.shards {
		if shard := &run.shards[i]; !shard.retryAt.IsZero() && shard.retryAt.Before(next) {
			next = shard.retryAt
		}
	}
	if !run.policy.Hedge {
		return next
	}
	for _, call := range run.calls[run.firstPinnedCall:] {
		if call.ended || call.hedged || call.extra {
			continue
		}
		if at := call.started.Add(run.tracker.HedgeDelay()); at.Before(next) {
			next = at
		}
	}
	return next
}

// Abort ends the run without an answer and cancels its open calls.
func (run *Run) Abort(now time.Time) []Action {
	if run.finished {
		return nil
	}
	run.finished = true
	return run.cancelOpenCalls(now)
}
