package query

import (
	"cmp"
	"slices"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
)

const (
	partialRetryAfter   = 250 * time.Millisecond // time after which a caller may retry after a partial answer
	overloadWaitDivisor = 4                      // a mean queue wait above the query's timeout divided by this is a sign of overload
)

// finish cancels the open calls and answers with the shards merged so far.
func (run *Run) finish(now time.Time) []Action {
	run.finished = true
	actions := run.cancelOpenCalls(now)
	answer := api.Answer{
		ID:         run.request.ID,
		Outcome:    api.Complete,
		Snapshot:   api.Snapshot{Release: run.release, Version: run.Version()},
		Coverage:   run.coverage(),
		Records:    topRecords(run.records, run.request.RecordLimit()),
		Elapsed:    config.Duration(now.Sub(run.started)),
		ExtraCalls: run.extraCalls,
	}
	answer.Sufficient = answer.Coverage >= run.minCoverage
	finish := Finish{Overloaded: run.overloaded()}
	for i := range run.shards {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		answer.Outcome = api.Partial
		answer.RetryAfter = config.Duration(partialRetryAfter)
		answer.Missing = append(answer.Missing, api.MissingShard{Shard: shard.Name, Reason: shard.reason})
		finish.Overloaded = finish.Overloaded || shard.reason == api.Shed
	}
	finish.Answer = answer
	return append(actions, finish)
}

// overloaded reports whether the mean time that calls were queued at their owners is a sign of overload. It uses the mean since a single
// slow target is no such sign.
func (run *Run) overloaded() bool {
	if run.resultCount == 0 {
		return false
	}
	return run.totalQueueWait/time.Duration(run.resultCount) > run.deadline.Sub(run.started)/overloadWaitDivisor
}

// coverage returns the fraction of the snapshot's documents that is merged, or of its shards if the snapshot has no documents.
func (run *Run) coverage() float64 {
	if run.documents > 0 {
		return float64(run.mergedDocuments) / float64(run.documents)
	}
	return float64(len(run.shards)-run.unmergedShards) / float64(len(run.shards))
}

// topRecords returns the records with the highest scores, best first; ties are ordered by record ID.
func topRecords(records []api.Record, limit int) []api.Record {
	slices.SortFunc(records, func(a, b api.Record) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return records[:min(limit, len(records))]
}
