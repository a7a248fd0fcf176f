package check

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
)

// Step is the distance of the keys that the stand-in targets find.
const Step = 200

const coverageTolerance = 1e-9

// Kind classifies a Violation.
type Kind string

// The kinds of violations.
const (
	Crossed       Kind = "crossed"       // a record or answer of another request
	Mixed         Kind = "mixed"         // a record of another index version than the snapshot's
	Doubled       Kind = "doubled"       // a record that stands twice
	WrongCoverage Kind = "wrongCoverage" // the coverage is not that of the shards merged
	Incomplete    Kind = "incomplete"    // a shard counted as merged lacks records, or brings ones that are not its own
	RanTwice      Kind = "ranTwice"      // a non-idempotent request ran more than once
	FalseNotRun   Kind = "falseNotRun"   // a request reported as not run has run
	FalseRan      Kind = "falseRan"      // a request reported as run has not
)

// Violation is a broken promise and the case that shows it.
type Violation struct {
	Kind    Kind   `json:"kind"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

type origin struct {
	Request string `json:"request"`
	Version int64  `json:"version"`
	Shard   string `json:"shard"`
}

// Checker knows the shard map of each index version.
type Checker struct {
	mu      sync.Mutex
	indexes map[config.Key]config.Index
}

// New returns a checker that knows no index.
func New() *Checker { return &Checker{indexes: map[config.Key]config.Index{}} }

// Learn takes an index version.
func (checker *Checker) Learn(index config.Index) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.indexes[index.Key()] = index
}

// Answer returns the promises that an answer to an idempotent request breaks.
func (checker *Checker) Answer(request api.Request, answer api.Answer) []Violation {
	var violations []Violation
	report := func(kind Kind, format string, args ...any) {
		violations = append(violations, Violation{kind, request.ID, fmt.Sprintf(format, args...)})
	}
	if answer.ID != request.ID {
		report(Crossed, "the answer is for %s", answer.ID)
		return violations
	}
	checker.mu.Lock()
	index, ok := checker.indexes[config.IndexKey(request.Service, answer.Snapshot.Version)]
	checker.mu.Unlock()
	if !ok {
		report(Mixed, "version %d was never published", answer.Snapshot.Version)
		return violations
	}
	missing := map[string]bool{}
	for _, shard := range answer.Missing {
		missing[shard.Shard] = true
	}
	keys := records(request, answer, missing, report)
	coverage(index, answer, missing, report)
	if len(answer.Records) < request.RecordLimit() {
		complete(request, index, missing, keys, report)
	}
	return violations
}

type reporter func(kind Kind, format string, args ...any)

// records checks where each record comes from and returns the keys found.
func records(request api.Request, answer api.Answer, missing map[string]bool, report reporter) map[int64]string {
	keys := map[int64]string{}
	for _, record := range answer.Records {
		var from origin
		key, err := strconv.ParseInt(record.ID, 10, 64)
		if err != nil || json.Unmarshal(record.Data, &from) != nil {
			report(Crossed, "record %s has no origin", record.ID)
			continue
		}
		if from.Request != request.ID {
			report(Crossed, "record %d was found for %s", key, from.Request)
		}
		if from.Version != answer.Snapshot.Version {
			report(Mixed, "record %d is of version %d, the snapshot is %d", key, from.Version, answer.Snapshot.Version)
		}
		if first, ok := keys[key]; ok {
			report(Doubled, "record %d came from %s and %s", key, first, from.Shard)
		}
		if missing[from.Shard] {
			report(WrongCoverage, "record %d is of %s, which is named as missing", key, from.Shard)
		}
		keys[key] = from.Shard
	}
	return keys
}

// coverage recomputes the coverage from the named missing shards.
func coverage(index config.Index, answer api.Answer, missing map[string]bool, report reporter) {
	var merged int64
	for _, shard := range index.Shards {
		if !missing[shard.Name] {
			merged += shard.Documents
		}
	}
	truth := float64(merged) / float64(index.Documents())
	if math.Abs(truth-answer.Coverage) > coverageTolerance {
		report(WrongCoverage, "reported %v, true %v", answer.Coverage, truth)
	}
	if (answer.Outcome == api.Complete) != (len(missing) == 0) {
		report(WrongCoverage, "outcome %s with %d shards missing", answer.Outcome, len(missing))
	}
}

// complete checks that the shards counted as merged brought exactly the keys that they hold.
func complete(request api.Request, index config.Index, missing map[string]bool, keys map[int64]string, report reporter) {
	expected := 0
	for _, shard := range index.Shards {
		if missing[shard.Name] {
			continue
		}
		for _, key := range Keys(request.Query, shard) {
			expected++
			if from, ok := keys[key]; !ok || from != shard.Name {
				report(Incomplete, "key %d of %s is absent or came from %q", key, shard.Name, from)
				return
			}
		}
	}
	if expected != len(keys) {
		report(Incomplete, "%d keys were expected, %d came", expected, len(keys))
	}
}

// Keys returns the keys that a stand-in target finds in a shard.
func Keys(query string, shard config.Shard) []int64 {
	offset := int64(xxhash.Sum64String(query) % Step)
	first := (shard.From+Step-1-offset)/Step*Step + offset
	var keys []int64
	for key := first; key < shard.To; key += Step {
		keys = append(keys, key)
	}
	return keys
}

// Once returns the promises that the outcomes of all submissions of one non-idempotent request break.
func Once(id string, outcomes []api.Outcome, runs int) []Violation {
	var violations []Violation
	if runs > 1 {
		violations = append(violations, Violation{RanTwice, id, fmt.Sprintf("%d runs", runs)})
	}
	notRun := 0
	for _, outcome := range outcomes {
		if outcome == api.NotRun {
			notRun++
		}
		if (outcome == api.Ran || outcome == api.Failed) && runs == 0 {
			violations = append(violations, Violation{FalseRan, id, "no target ran it"})
		}
	}
	if len(outcomes) > 0 && notRun == len(outcomes) && runs > 0 {
		violations = append(violations, Violation{FalseNotRun, id, fmt.Sprintf("%d submissions say not run", notRun)})
	}
	return violations
}
