package query

import (
	"slices"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/rpc"
)

// OwnerLost takes the news that the result of a call may not come any more.
func (run *Run) OwnerLost(now time.Time, call int64) []Action {
	if call < 0 || call >= int64(len(run.calls)) {
		return nil
	}
	return run.Result(now, rpc.Result{CallID: call, Target: run.calls[call].Target, Outcome: rpc.OwnerLost})
}

// Result takes the result of a call and returns what follows from it.
func (run *Run) Result(now time.Time, result rpc.Result) []Action {
	call := run.find(result)
	if call == nil {
		return nil
	}
	call.ended = true
	run.waited += result.QueueWait.Std()
	run.answered++
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
	if run.finished || result.CallID < int64(run.first) || result.CallID >= int64(len(run.calls)) {
		return nil
	}
	call := run.calls[result.CallID]
	if call.ended || call.Target != result.Target {
		return nil
	}
	return call
}

// note teaches the tracker what the result shows of the target.
func (run *Run) note(now time.Time, call *call, result rpc.Result) {
	if result.Leaving || result.Outcome == rpc.Draining {
		run.tracker.MarkLeaving(call.Target, now)
	}
	switch result.Outcome {
	case rpc.OK:
		run.tracker.RecordAnswer(call.Target, now.Sub(call.started))
	case rpc.NotSent, rpc.Lost, rpc.Failed:
		run.tracker.RecordUnreachable(call.Target, now)
	default:
		run.tracker.RecordRefused(call.Target)
	}
}

// merge takes the shards of a reply that are not merged yet; a reply for another request or version is thrown away whole.
func (run *Run) merge(call *call, result rpc.Result) bool {
	if result.RequestID != run.request.ID || result.Version != run.Version() {
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

// cancelLosers withdraws calls for the winner's shards that have no shard left to bring.
func (run *Run) cancelLosers(now time.Time, winner *call) []Action {
	var losers []rpc.Call
	for _, i := range winner.shards {
		for _, call := range run.shards[i].calls {
			if call.ended || slices.ContainsFunc(call.shards, func(i int) bool { return !run.shards[i].merged }) {
				continue
			}
			run.abandon(now, call)
			losers = append(losers, call.Call)
		}
	}
	if len(losers) == 0 {
		return nil
	}
	return []Action{Cancel{losers}}
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
		run.versions.RecordNotHeld(run.request.Service, run.Version(), now)
	}
	return run.again(now, again, outcome)
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
	for run.shards[run.settled].merged {
		run.settled++
	}
	versionGone := false
	for i := run.settled; i < len(run.shards); i++ {
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
