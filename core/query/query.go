package query

import (
	"slices"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/budget"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/latency"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
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
	extra      int
	waited     time.Duration // longest wait of a call at its owner
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
		least:    service.LeastCoverage,
		release:  configuration.Release,
		indexes:  shared.Versions.Usable(configuration.Indexes[request.Service], now),
		versions: shared.Versions,
		tracker:  shared.Tracker,
		budget:   shared.Budget,
		policy:   policy,
		started:  now,
		deadline: now.Add(request.Timeout(service)),
	}
	if request.LeastCoverage != nil {
		run.least = *request.LeastCoverage
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
	run.unresolved = len(run.shards)
	run.first = len(run.calls)
}

// Version returns the pinned index version.
func (run *Run) Version() int64 { return run.indexes[0].Version }

// Started returns when the run began.
func (run *Run) Started() time.Time { return run.started }

// Lost takes the news that the result of a call may not come any more.
func (run *Run) Lost(now time.Time, call int64) []Action {
	if call < 0 || call >= int64(len(run.calls)) {
		return nil
	}
	return run.Result(now, rpc.Result{Call: call, Target: run.calls[call].Target, Outcome: rpc.OwnerLost})
}

// Deadline returns when the answer is due.
func (run *Run) Deadline() time.Time { return run.deadline }

// Start returns the first calls.
func (run *Run) Start(now time.Time) []Action {
	all := make([]int, len(run.shards))
	for i := range all {
		all[i] = i
	}
	calls := run.plan(now, all)
	run.budget.Call(now, len(calls))
	send := Send{wire(calls)}
	send.Calls = append(send.Calls, run.probes(now, calls)...)
	return []Action{send}
}

// probes doubles a first call to a replica that is avoided, to learn whether it has recovered.
func (run *Run) probes(now time.Time, calls []*call) []rpc.Call {
	if !run.policy.Hedge {
		return nil
	}
	for _, first := range calls {
		replica := run.shards[first.shards[0]]
		probed, ok := run.tracker.Probe(first.Target, replica.Replicas, now)
		if !ok || !run.budget.Spend(now, 1) {
			continue
		}
		shards := slices.DeleteFunc(slices.Clone(first.shards), func(i int) bool {
			return !slices.Contains(run.shards[i].Replicas, probed)
		})
		first.hedged = true
		return wire([]*call{run.add(now, probed, shards, true)})
	}
	return nil
}

// plan makes one call for each chosen target.
func (run *Run) plan(now time.Time, shards []int) []*call {
	var targets []string
	byTarget := map[string][]int{}
	for _, i := range shards {
		target := run.choose(now, &run.shards[i])
		if byTarget[target] == nil {
			targets = append(targets, target)
		}
		byTarget[target] = append(byTarget[target], i)
	}
	calls := make([]*call, 0, len(targets))
	for _, target := range targets {
		calls = append(calls, run.add(now, target, byTarget[target], false))
	}
	return calls
}

// choose takes the best replica among those that were tried least.
func (run *Run) choose(now time.Time, shard *shard) string {
	order := run.order(shard.Replicas, now)
	for _, replica := range order {
		if !slices.Contains(shard.tried, replica) {
			return replica
		}
	}
	return order[shard.attempts%len(order)]
}

func (run *Run) order(replicas []string, now time.Time) []string {
	if run.policy.Adaptive {
		return run.tracker.Order(replicas, now)
	}
	return run.tracker.Shuffle(replicas)
}

func (run *Run) add(now time.Time, target string, shards []int, extra bool) *call {
	added := &call{Call: rpc.Call{ID: int64(len(run.calls)), Target: target}, shards: shards, started: now, extra: extra}
	for _, i := range shards {
		shard := &run.shards[i]
		shard.pending++
		shard.attempts++
		shard.tried = append(shard.tried, target)
		shard.retryAt = time.Time{}
		added.Shards = append(added.Shards, search.Shard{Name: shard.Name, From: shard.From, To: shard.To})
	}
	run.calls = append(run.calls, added)
	run.tracker.Sent(target)
	if extra {
		run.extra++
	}
	return added
}

func wire(calls []*call) []rpc.Call {
	list := make([]rpc.Call, len(calls))
	for i, call := range calls {
		list[i] = call.Call
	}
	return list
}

// Result takes the result of a call and returns what follows from it.
func (run *Run) Result(now time.Time, result rpc.Result) []Action {
	call := run.find(result)
	if call == nil {
		return nil
	}
	call.ended = true
	run.waited = max(run.waited, result.Wait.Std())
	run.note(now, call, result)
	for _, i := range call.shards {
		run.shards[i].pending--
	}
	if result.Outcome == rpc.OK && !run.merge(call, result) {
		result.Outcome = rpc.Failed
	}
	var actions []Action
	if result.Outcome == rpc.OK {
		actions = run.cancelLosers(now, call)
	} else {
		actions = run.failed(now, call, result.Outcome)
	}
	return append(actions, run.settle(now)...)
}

// find returns the pending call of the pinned version that a result belongs to.
func (run *Run) find(result rpc.Result) *call {
	if run.finished || result.Call < int64(run.first) || result.Call >= int64(len(run.calls)) {
		return nil
	}
	call := run.calls[result.Call]
	if call.ended || call.Target != result.Target {
		return nil
	}
	return call
}

// note teaches the tracker what the result shows of the target.
func (run *Run) note(now time.Time, call *call, result rpc.Result) {
	if result.Leaving || result.Outcome == rpc.Draining {
		run.tracker.Leaving(call.Target, now)
	}
	switch result.Outcome {
	case rpc.OK:
		run.tracker.Answered(call.Target, now.Sub(call.started))
	case rpc.NotSent, rpc.Lost, rpc.Failed:
		run.tracker.Unreachable(call.Target, now)
	default:
		run.tracker.Refused(call.Target)
	}
}

// merge takes the shards of a reply that are not merged yet; a reply for another request or version is thrown away whole.
func (run *Run) merge(call *call, result rpc.Result) bool {
	if result.Request != run.request.ID || result.Version != run.Version() {
		return false
	}
	if len(result.Shards) != len(call.shards) {
		return false
	}
	for _, part := range result.Shards {
		i, ok := run.byName[part.Name]
		if !ok || !slices.Contains(call.shards, i) {
			return false
		}
	}
	for _, part := range result.Shards {
		shard := &run.shards[run.byName[part.Name]]
		if shard.merged {
			continue
		}
		shard.merged = true
		run.merged += shard.Documents
		run.unresolved--
		run.records = append(run.records, part.Records...)
	}
	return true
}

// cancelLosers withdraws calls that have no shard left to bring.
func (run *Run) cancelLosers(now time.Time, winner *call) []Action {
	var losers []rpc.Call
	for _, call := range run.calls[run.first:] {
		if call.ended || call == winner || slices.ContainsFunc(call.shards, func(i int) bool { return !run.shards[i].merged }) {
			continue
		}
		run.abandon(now, call)
		losers = append(losers, call.Call)
	}
	if len(losers) == 0 {
		return nil
	}
	return []Action{Cancel{losers}}
}

func (run *Run) abandon(now time.Time, call *call) {
	call.ended = true
	run.tracker.Abandoned(call.Target, now.Sub(call.started), now)
	for _, i := range call.shards {
		run.shards[i].pending--
	}
}

// failed finds another way for the shards of a call that brought nothing.
func (run *Run) failed(now time.Time, failed *call, outcome rpc.Outcome) []Action {
	var again []int
	for _, i := range failed.shards {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		shard.reason = reasonOf(outcome)
		if shard.pending == 0 {
			again = append(again, i)
		}
	}
	if outcome == rpc.VersionNotHeld {
		run.versions.NotHeld(run.request.Service, run.Version(), now)
	}
	return run.again(now, again, outcome)
}

// again retries shards on replicas that were not tried, at once, or on the same ones after a backoff.
func (run *Run) again(now time.Time, shards []int, outcome rpc.Outcome) []Action {
	var fresh []int
	for _, i := range shards {
		shard := &run.shards[i]
		if !run.policy.Retry || shard.attempts >= maxAttempts {
			continue
		}
		shard.paid = !free(outcome)
		if untried(shard) {
			fresh = append(fresh, i)
		} else if repeatable(outcome) {
			shard.retryAt = now.Add(retryBackoff << shard.attempts)
		}
	}
	return run.retry(now, fresh)
}

// retry calls shards again, or later if the budget does not allow it now.
func (run *Run) retry(now time.Time, shards []int) []Action {
	var ready []int
	paid := 0
	for _, i := range shards {
		if run.shards[i].paid {
			paid = 1
		}
	}
	if paid == 0 || len(shards) > 0 && run.budget.Spend(now, paid) {
		ready = shards
	} else {
		for _, i := range shards {
			run.shards[i].retryAt = now.Add(budgetWait)
		}
	}
	if len(ready) == 0 {
		return nil
	}
	calls := run.plan(now, ready)
	run.extra += len(calls)
	return []Action{Send{wire(calls)}}
}

// repeatable reports whether the same replicas may do better a little later.
func repeatable(outcome rpc.Outcome) bool {
	switch outcome {
	case rpc.NotSent, rpc.Lost, rpc.OwnerLost, rpc.OwnerNotReached, rpc.Failed:
		return true
	}
	return false
}

func untried(shard *shard) bool {
	return slices.ContainsFunc(shard.Replicas, func(replica string) bool { return !slices.Contains(shard.tried, replica) })
}

// free reports whether a retry after an outcome puts no more load on targets than the first call was to.
func free(outcome rpc.Outcome) bool {
	return outcome == rpc.NotSent || outcome == rpc.OwnerNotReached || outcome == rpc.Draining || outcome == rpc.VersionNotHeld
}

func reasonOf(outcome rpc.Outcome) api.Reason {
	switch outcome {
	case rpc.NotSent, rpc.Lost, rpc.OwnerLost, rpc.OwnerNotReached:
		return api.Unreachable
	case rpc.Shed, rpc.Expired:
		return api.Shed
	case rpc.Draining:
		return api.Draining
	case rpc.VersionNotHeld:
		return api.VersionNotHeld
	}
	return api.TargetFailed
}

// settle ends or restarts the run when nothing more can come.
func (run *Run) settle(now time.Time) []Action {
	if run.unresolved == 0 {
		return run.finish(now)
	}
	versionGone := false
	for i := range run.shards {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		if shard.pending > 0 || !shard.retryAt.IsZero() {
			return nil
		}
		versionGone = versionGone || shard.reason == api.VersionNotHeld
	}
	if versionGone && !run.restarted && len(run.indexes) > 1 && run.deadline.Sub(now) > run.deadline.Sub(run.started)/4 {
		run.restarted = true
		run.indexes = run.indexes[1:]
		run.pin()
		return run.Start(now)
	}
	return run.finish(now)
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

// hedge doubles calls that take longer than most on another replica, while the budget lasts.
func (run *Run) hedge(now time.Time) []Action {
	if !run.policy.Hedge {
		return nil
	}
	var hedges []*call
	for _, call := range run.calls[run.first:] {
		if call.ended || call.hedged || call.extra || now.Sub(call.started) < run.tracker.HedgeDelay() {
			continue
		}
		call.hedged = true
		target, shards := run.alternative(now, call)
		if len(shards) == 0 || !run.budget.Spend(now, 1) {
			continue
		}
		hedges = append(hedges, run.add(now, target, shards, true))
	}
	if len(hedges) == 0 {
		return nil
	}
	return []Action{Send{wire(hedges)}}
}

// alternative returns another target for a call, and those of its shards that the target holds.
func (run *Run) alternative(now time.Time, call *call) (target string, shards []int) {
	for _, i := range call.shards {
		shard := &run.shards[i]
		if shard.merged || !untried(shard) {
			continue
		}
		replica := run.choose(now, shard)
		if target == "" {
			target = replica
		}
		if replica == target {
			shards = append(shards, i)
		}
	}
	return target, shards
}

// Next returns when Tick is due.
func (run *Run) Next() time.Time {
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

func (run *Run) withdraw(now time.Time) []Action {
	var open []rpc.Call
	for _, call := range run.calls {
		if !call.ended {
			run.abandon(now, call)
			open = append(open, call.Call)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return []Action{Cancel{open}}
}
