package query

import (
	"slices"
	"time"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
)

// probeCalls copies one of the first calls to an avoided replica, for the shards that it holds, to find out whether it has recovered. It
// adds at most one call each time, charges it to the budget, and excludes the copied call from hedging.
func (run *Run) probeCalls(now time.Time, calls []*call) []rpc.Call {
	if !run.policy.Hedge {
		return nil
	}
	for _, first := range calls {
		shard := run.shards[first.shards[0]]
		probed, ok := run.tracker.NextProbe(first.Target, shard.Replicas, now)
		if !ok || !run.budget.Spend(now, 1) {
			continue
		}
		shards := slices.DeleteFunc(slices.Clone(first.shards), func(i int) bool {
			return !slices.Contains(run.shards[i].Replicas, probed)
		})
		first.hedged = true
		return rpcCalls([]*call{run.addCall(now, probed, shards, true)})
	}
	return nil
}

// planCalls assigns the shards to targets and adds one call for each target.
func (run *Run) planCalls(now time.Time, shards []int) []*call {
	return run.addCalls(now, run.assign(now, shards))
}

// assignment holds the shards to request from one target.
type assignment struct {
	target string
	shards []int
}

// assign chooses a target for each shard and groups the shards by target.
func (run *Run) assign(now time.Time, shards []int) []assignment {
	var assignments []assignment
	position := map[string]int{}
	for _, i := range shards {
		target := run.chooseReplica(now, &run.shards[i])
		if _, ok := position[target]; !ok {
			position[target] = len(assignments)
			assignments = append(assignments, assignment{target: target})
		}
		assignments[position[target]].shards = append(assignments[position[target]].shards, i)
	}
	return assignments
}

func (run *Run) addCalls(now time.Time, assignments []assignment) []*call {
	calls := make([]*call, len(assignments))
	for i, assigned := range assignments {
		calls[i] = run.addCall(now, assigned.target, assigned.shards, false)
	}
	return calls
}

// chooseReplica returns the best replica that was not tried for the shard; once all were tried, it cycles through the ranking.
func (run *Run) chooseReplica(now time.Time, shard *shard) string {
	ranked := run.rankReplicas(shard.Replicas, now)
	for _, replica := range ranked {
		if !slices.Contains(shard.tried, replica) {
			return replica
		}
	}
	return ranked[shard.attempts%len(ranked)]
}

func (run *Run) rankReplicas(replicas []string, now time.Time) []string {
	if run.policy.Adaptive {
		return run.tracker.Rank(replicas, now)
	}
	return run.tracker.Shuffle(replicas)
}

func (run *Run) addCall(now time.Time, target string, shards []int, extra bool) *call {
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
		run.extraCalls++
	}
	return added
}

func rpcCalls(calls []*call) []rpc.Call {
	list := make([]rpc.Call, len(calls))
	for i, call := range calls {
		list[i] = call.Call
	}
	return list
}

func (run *Run) abandonCall(now time.Time, call *call) {
	call.ended = true
	run.tracker.RecordAbandoned(call.Target, now.Sub(call.started), now)
	for _, i := range call.shards {
		run.shards[i].pending--
	}
}

// scheduleRetries retries shards at once if they have an untried replica, else after a backoff if the same replicas may succeed later.
func (run *Run) scheduleRetries(now time.Time, shards []int, outcome rpc.Outcome) []Action {
	var retryNow []int
	for _, i := range shards {
		shard := &run.shards[i]
		if !run.policy.Retry || shard.attempts >= maxAttempts {
			continue
		}
		shard.chargesBudget = !addsNoLoad(outcome)
		if hasUntriedReplica(shard) {
			retryNow = append(retryNow, i)
		} else if retryableOnSameReplica(outcome) {
			shard.retryAt = now.Add(retryBackoff << shard.attempts)
		}
	}
	return run.sendRetries(now, retryNow)
}

// sendRetries calls the shards again; if the budget refuses, it reschedules them after budgetRetryDelay.
func (run *Run) sendRetries(now time.Time, shards []int) []Action {
	if len(shards) == 0 {
		return nil
	}
	assignments := run.assign(now, shards)
	chargesBudget := slices.ContainsFunc(shards, func(i int) bool { return run.shards[i].chargesBudget })
	if chargesBudget && !run.budget.Spend(now, len(assignments)) {
		for _, i := range shards {
			run.shards[i].retryAt = now.Add(budgetRetryDelay)
		}
		return nil
	}
	run.extraCalls += len(assignments)
	return []Action{Send{rpcCalls(run.addCalls(now, assignments))}}
}

// retryableOnSameReplica reports whether a replica that ended a call with this outcome may succeed after a backoff.
func retryableOnSameReplica(outcome rpc.Outcome) bool {
	switch outcome {
	case rpc.NotSent, rpc.Lost, rpc.OwnerLost, rpc.OwnerNotReached, rpc.Failed:
		return true
	}
	return false
}

func hasUntriedReplica(shard *shard) bool {
	return slices.ContainsFunc(shard.Replicas, func(replica string) bool { return !slices.Contains(shard.tried, replica) })
}

// addsNoLoad reports whether a retry after this outcome puts no more load on targets than the first call was meant to, so that it is not
// charged to the budget.
func addsNoLoad(outcome rpc.Outcome) bool {
	return outcome == rpc.NotSent || outcome == rpc.OwnerNotReached || outcome == rpc.Draining || outcome == rpc.VersionNotHeld
}

// hedgeSlowCalls sends a second call, to another replica, for calls that are pending for longer than the hedge delay, as far as the
// budget allows. It considers each call once.
func (run *Run) hedgeSlowCalls(now time.Time) []Action {
	if !run.policy.Hedge {
		return nil
	}
	var hedges []*call
	for _, call := range run.calls[run.firstPinnedCall:] {
		if call.ended || call.hedged || call.extra || now.Sub(call.started) < run.tracker.HedgeDelay() {
			continue
		}
		call.hedged = true
		target, shards := run.hedgeTarget(now, call)
		if len(shards) == 0 || !run.budget.Spend(now, 1) {
			continue
		}
		hedges = append(hedges, run.addCall(now, target, shards, true))
	}
	if len(hedges) == 0 {
		return nil
	}
	return []Action{Send{rpcCalls(hedges)}}
}

// hedgeTarget returns an untried target for a hedge, and the unmerged shards of the call for which that target is the best choice.
func (run *Run) hedgeTarget(now time.Time, call *call) (target string, shards []int) {
	for _, i := range call.shards {
		shard := &run.shards[i]
		if shard.merged || !hasUntriedReplica(shard) {
			continue
		}
		replica := run.chooseReplica(now, shard)
		if target == "" {
			target = replica
		}
		if replica == target {
			shards = append(shards, i)
		}
	}
	return target, shards
}

func (run *Run) cancelOpenCalls(now time.Time) []Action {
	var open []rpc.Call
	for _, call := range run.calls {
		if !call.ended {
			run.abandonCall(now, call)
			open = append(open, call.Call)
		}
	}
	if len(open) == 0 {
		return nil
	}
	return []Action{Cancel{open}}
}
