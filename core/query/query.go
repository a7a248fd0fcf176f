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
	maxAttempts  = 4                     // calls for one shard
	retryBackoff = 10 * time.Millisecond // before the same replicas are tried again, doubled each time
	budgetWait   = 20 * time.Millisecond // before a retry that the budget refused asks again
)

// Action is what a Run asks its driver to do.
type Action interface{ action() }

// Send asks to make calls; the results come back by Result.
type Send struct{ Calls []rpc.Call }

// Cancel asks to withdraw calls whose results are not needed any more.
type Cancel struct{ Calls []rpc.Call }

// Finish asks to give the caller its final answer.
type Finish struct {
	Answer     api.Answer
	Overloaded bool // shards are missing because owners or targets refused them
}

func (Send) action()   {}
func (Cancel) action() {}
func (Finish) action() {}

// Policy switches the measures against stragglers and failures.
type Policy struct {
	Hedge    bool
	Retry    bool
	Adaptive bool // replicas are chosen by what calls have shown, not at random
}

type shard struct {
	config.Shard
	calls    []*call // that were made for it
	pending  int
	attempts int
	tried    []string
	retryAt  time.Time // zero: no retry is due
	paid     bool      // the retry draws on the budget
	merged   bool
	reason   api.Reason
}

type call struct {
	rpc.Call
	shards  []int
	started time.Time
	extra   bool
	hedged  bool
	ended   bool
}

// Run is the state of one query.
type Run struct {
	request    api.Request
	least      float64
	release    int64
	indexes    []config.Index // newest first; the first is pinned
	versions   *Versions
	tracker    *latency.Tracker
	budget     *budget.Budget
	policy     Policy
	started    time.Time
	deadline   time.Time
	shards     []shard
	byName     map[string]int
	calls      []*call
	first      int // index of the first call of the pinned version
	records    []api.Record
	documents  int64
	merged     int64
	unresolved int
	settled    int // shards before this one are merged
	extra      int
	waited     time.Duration // of all calls that were answered, at their owners
	answered   int
	restarted  bool
	finished   bool
}

// Shared is what the runs of one service have in common.
type Shared struct {
	Versions *Versions
	Tracker  *latency.Tracker
	Budget   *budget.Budget
}

// New returns a run of a request on the newest index version that the shards are known to hold.
func New(request api.Request, configuration *config.Configuration, shared Shared, policy Policy, now time.Time) *Run {
	service := configuration.Services[request.Service]
	run := &Run{
		request:  request,
		least:    service.MinCoverage,
		release:  configuration.Release,
		indexes:  shared.Versions.Usable(configuration.Indexes[request.Service], now),
		versions: shared.Versions,
		tracker:  shared.Tracker,
		budget:   shared.Budget,
		policy:   policy,
		started:  now,
		deadline: now.Add(request.Timeout(service)),
	}
	if request.MinCoverage != nil {
		run.least = *request.MinCoverage
	}
	run.pin()
	return run
}

// pin takes the first index version as the run's snapshot.
func (run *Run) pin() {
	index := run.indexes[0]
	run.shards = make([]shard, len(index.Shards))
	run.byName = make(map[string]int, len(index.Shards))
	for i, declared := range index.Shards {
		run.shards[i] = shard{Shard: declared, reason: api.TimedOut}
		run.byName[declared.Name] = i
	}
	run.documents, run.merged, run.records = index.Documents(), 0, nil
	run.unresolved, run.settled = len(run.shards), 0
	run.first = len(run.calls)
}

// Version returns the pinned index version.
func (run *Run) Version() int64 { return run.indexes[0].Version }

// Started returns when the run began.
func (run *Run) Started() time.Time { return run.started }

// Deadline returns when the answer is due.
func (run *Run) Deadline() time.Time { return run.deadline }

// Start returns the first calls.
func (run *Run) Start(now time.Time) []Action {
	all := make([]int, len(run.shards))
	for i := range all {
		all[i] = i
	}
	calls := run.plan(now, all)
	run.budget.RecordCalls(now, len(calls))
	send := Send{wire(calls)}
	send.Calls = append(send.Calls, run.probes(now, calls)...)
	return []Action{send}
}

// Tick hedges slow calls, makes retries that are due, and ends the run at its deadline.
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
	return append(run.retry(now, due), run.hedge(now)...)
}

// NextTick returns when Tick is due.
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
	for _, call := range run.calls[run.first:] {
		if call.ended || call.hedged || call.extra {
			continue
		}
		if at := call.started.Add(run.tracker.HedgeDelay()); at.Before(next) {
			next = at
		}
	}
	return next
}

// Abort ends the run without an answer and returns the calls to withdraw.
func (run *Run) Abort(now time.Time) []Action {
	if run.finished {
		return nil
	}
	run.finished = true
	return run.withdraw(now)
}
