package query

import (
	"cmp"
	"slices"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
)

const (
	partialRetry   = 250 * time.Millisecond // when a caller may ask again after a partial answer
	overloadedPart = 4                      // a mean wait at owners of one such part of the query's time is a sign of overload
)

// finish makes the final answer from what was merged.
func (run *Run) finish(now time.Time) []Action {
	run.finished = true
	actions := run.withdraw(now)
	answer := api.Answer{
		ID:         run.request.ID,
		Outcome:    api.Complete,
		Snapshot:   api.Snapshot{Release: run.release, Version: run.Version()},
		Coverage:   run.coverage(),
		Records:    top(run.records, run.request.RecordLimit()),
		Elapsed:    config.Duration(now.Sub(run.started)),
		ExtraCalls: run.extra,
	}
	answer.Sufficient = answer.Coverage >= run.least
	finish := Finish{Overloaded: run.busy()}
	for i := range run.shards {
		shard := &run.shards[i]
		if shard.merged {
			continue
		}
		answer.Outcome = api.Partial
		answer.RetryAfter = config.Duration(partialRetry)
		answer.Missing = append(answer.Missing, api.MissingShard{Shard: shard.Name, Reason: shard.reason})
		finish.Overloaded = finish.Overloaded || shard.reason == api.Shed
	}
	finish.Answer = answer
	return append(actions, finish)
}

// busy reports whether calls waited long on the mean; a single slow target is no sign of overload.
func (run *Run) busy() bool {
	if run.answered == 0 {
		return false
	}
	return run.waited/time.Duration(run.answered) > run.deadline.Sub(run.started)/overloadedPart
}

// coverage returns the merged part of the snapshot's documents, or of its shards where it has no documents.
func (run *Run) coverage() float64 {
	if run.documents > 0 {
		return float64(run.merged) / float64(run.documents)
	}
	return float64(len(run.shards)-run.unresolved) / float64(len(run.shards))
}

// top returns the best records in order.
func top(records []api.Record, limit int) []api.Record {
	slices.SortFunc(records, func(a, b api.Record) int {
		return cmp.Or(cmp.Compare(b.Score, a.Score), cmp.Compare(a.ID, b.ID))
	})
	return records[:min(limit, len(records))]
}
