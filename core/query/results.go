package query

import (
	"slices"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/rpc"
)

// OwnerLost ends a call with the outcome rpc.OwnerLost, since its result may never arrive after its owner was lost.
func (run *Run) OwnerLost(now time.Time, call int64) []Action {
	if call < 0 || call >= int64(len(run.calls)) {
		return nil
	}
	return run.Result(now, rpc.Result{CallID: call, Target: run.calls[call].Target, Outcome: rpc.OwnerLost})
}

// Result processes the result of a call and returns the actions that follow from it.
func (run *Run) Result(now time.Time, result rpc.Result) []Action {
	call := run.pendingCall(result)
	if call == nil {
		return nil
	}
	call.ended = true
	run.totalQueueWait += result.QueueWait.Std()
	run.resultCount++
	run.updateTracker(now, call, result)
	for _, i := range call.shards {
		run.shards[i].pending--
	}
	if result.Outcome == rpc.OK && !run.mergeReply(call, result) {
		result.Outcome = rpc.Failed
	}
	var actions []Action
	if result.Outcome == rpc.OK {
		actions = run.cancelRedundantCalls(now, call)
	} else {
		actions = run.handleFailure(now, call, result.Outcome)
	}
	return append(actions, run.finishOrRestart(now)...)
}

// pendingCall returns the pending call of the pinned version that a result belongs to, or nil if the result is late, a duplicate or from
// another target.
func (run *Run) pendingCall(result rpc.Result) *call {
	if run.finished || result.CallID < int64(run.firstPinnedCall) || result.CallID >= int64(len(run.calls)) {
		return nil
	}
	call := run.calls[result.CallID]
	if call.ended || call.Target != result.Target {
		return nil
	}
	return call
}

// updateTracker records in the tracker what the result shows about the target.
func (run *Run) updateTracker(now time.Time, call *call, result rpc.Result) {
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

// mergeReply merges the shards of a reply that are not merged yet. It rejects the whole reply if the request, the version or the shards
// differ from those of the call.
func (run *Run) mergeReply(call *call, result rpc.Result) bool {
	if result.RequestID != run.request.ID || result.Version != run.Version() {
		return false
	}
	if len(result.Shards) != len(call.shards) {
		return false
	}
	for _, shardResult := range result.Shards {
		i, ok := run.shardIndexes[shardResult.Name]
		if !ok || !slices.Contains(call.shards, i) {
			return false
		}
	}
	for _, shardResult := range result.Shards {
		shard := &run.shards[run.shardIndexes[shardResult.Name]]
		if shard.merged {
			continue
		}
		shard.merged = true
		run.mergedDocuments += shard.Documents
		run.unmergedShards--
		run.records = append(run.records, shardResult.Records...)
	}
	return true
}

// cancelRedundantCalls cancels the other calls for the winner's shards if all of their shards are merged.
func (run *Run) cancelRedundantCalls(now time.Time, winner *call) []Action {
	var redundant []rpc.Call
	for _, i := range winner.shards {
		for _, call := range run.shards[i].calls {
			if call.ended || slices.ContainsFunc(call.shards, func(i int) bool { return !run.shards[i].merged }) {
				continue
			}
			run.abandonCall(now, call)
			redundant = append(redundant, call.Call)
		}
	}
	if len(redundant) == 0 {
		return nil
	}
	return []Action{Cancel{redundant}}
}

// handleFailure retries the unmerged shards of a failed call for which no other call is pending.
func (run *Run) handleFailure(now time.Time, failed *call, outcome rpc.Outcome) []Action {
	var toRetry []int
	for _, i := range failed.shards {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		shard.reason = reasonOf(outcome)
		if shard.pending == 0 {
			toRetry = append(toRetry, i)
		}
	}
	if outcome == rpc.VersionNotHeld {
		run.versions.RecordNotHeld(run.request.Service, run.Version(), now)
	}
	return run.scheduleRetries(now, toRetry, outcome)
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

// finishOrRestart finishes the run once no call or retry is outstanding. If shards are missing because their targets do not hold the
// pinned version, it restarts the run once on the next older version, provided that more than a quarter of the time is left.
func (run *Run) finishOrRestart(now time.Time) []Action {
	if run.unmergedShards == 0 {
		return run.finish(now)
	}
	for run.shards[run.mergedPrefix].merged {
		run.mergedPrefix++
	}
	versionNotHeld := false
	for i := run.mergedPrefix; i < len(run.shards); i++ {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		if shard.pending > 0 || !shard.retryAt.IsZero() {
			return nil
		}
		versionNotHeld = versionNotHeld || shard.reason == api.VersionNotHeld
	}
	if versionNotHeld && !run.restarted && len(run.indexes) > 1 && run.deadline.Sub(now) > run.deadline.Sub(run.started)/4 {
		run.restarted = true
		run.indexes = run.indexes[1:]
		run.pinSnapshot()
		return run.Start(now)
	}
	return run.finish(now)
}
