package query

import (
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
)

// probes doubles a first call to a replica that is avoided, to learn whether it has recovered.
func (run *Run) probes(now time.Time, calls []*call) []rpc.Call {
	if !run.policy.Hedge {
		return nil
	}
	for _, first := range calls {
		replica := run.shards[first.shards[0]]
		probed, ok := run.tracker.NextProbe(first.Target, replica.Replicas, now)
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
	return run.place(now, run.assign(now, shards))
}

// assignment is the shards that one target is to be called for.
type assignment struct {
	target string
	shards []int
}

// assign chooses a target for each shard.
func (run *Run) assign(now time.Time, shards []int) []assignment {
	var list []assignment
	at := map[string]int{}
	for _, i := range shards {
		target := run.choose(now, &run.shards[i])
		if _, ok := at[target]; !ok {
			at[target] = len(list)
			list = append(list, assignment{target: target})
		}
		list[at[target]].shards = append(list[at[target]].shards, i)
	}
	return list
}

func (run *Run) place(now time.Time, list []assignment) []*call {
	calls := make([]*call, len(list))
	for i, assigned := range list {
		calls[i] = run.add(now, assigned.target, assigned.shards, false)
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
		return run.tracker.Rank(replicas, now)
	}
	return run.tracker.Shuffle(replicas)
}

func (run *Run) add(now time.Time, target string, shards []int, extra bool) *call {
	added := &call{Call: rpc.Call{ID: int64(len(run.calls)), Target: target}, shards: shards, started: now, extra: extra}
	for _, i := range shards {
		shard := &run.shards[i]
		shard.calls = append(shard.calls, added)
		shard.pending++
		shard.attempts++
		shard.tried = append(shard.tried, target)
		shard.retryAt = time.Time{}
		added.Shards = append(added.Shards, search.Shard{Name: shard.Name, From: shard.From, To: shard.To})
	}
	run.calls = append(run.calls, added)
	run.tracker.RecordSent(target)
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

func (run *Run) abandon(now time.Time, call *call) {
	call.ended = true
	run.tracker.RecordAbandoned(call.Target, now.Sub(call.started), now)
	for _, i := range call.shards {
		run.shards[i].pending--
	}
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
	if len(shards) == 0 {
		return nil
	}
	list := run.assign(now, shards)
	paid := slices.ContainsFunc(shards, func(i int) bool { return run.shards[i].paid })
	if paid && !run.budget.Spend(now, len(list)) {
		for _, i := range shards {
			run.shards[i].retryAt = now.Add(budgetWait)
		}
		return nil
	}
	run.extra += len(list)
	return []Action{Send{wire(run.place(now, list))}}
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
