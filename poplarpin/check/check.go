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

// KeyStride is the distance between the keys that a query matches; the simulated targets (standin/target) use the same value.
const KeyStride = 200

const coverageTolerance = 1e-9 // rounding error of the floating-point division

// Kind classifies a Violation.
type Kind string

// The kinds of violations.
const (
	WrongRequest    Kind = "crossed"       // an answer or a record belongs to another request, or a record has no readable origin
	WrongVersion    Kind = "mixed"         // a record is of another index version than the snapshot, or that version was never published
	DuplicateRecord Kind = "doubled"       // a record occurs more than once
	WrongCoverage   Kind = "wrongCoverage" // the coverage, the outcome or a record contradicts the list of missing shards
	Incomplete      Kind = "incomplete"    // a shard not reported as missing lacks records or returned records of other shards
	RanTwice        Kind = "ranTwice"      // a non-idempotent request was executed more than once
	FalseNotRun     Kind = "falseNotRun"   // all submissions of a request were reported as not run, but it was executed
	FalseRan        Kind = "falseRan"      // a request reported as run or failed was not executed
)

// Violation is a broken guarantee, with the request that shows it.
type Violation struct {
	Kind    Kind   `json:"kind"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// origin is the data of a record that a simulated target returns.
type origin struct {
	Request string `json:"request"`
	Version int64  `json:"version"`
	Shard   string `json:"shard"`
}

// Checker verifies answers against the shard maps of all published index versions; it is safe for concurrent use.
type Checker struct {
	mu      sync.Mutex
	indexes map[config.Key]config.Index
}

// New returns a checker without index versions.
func New() *Checker { return &Checker{indexes: map[config.Key]config.Index{}} }

// AddIndex registers the shard map of an index version.
func (checker *Checker) AddIndex(index config.Index) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	checker.indexes[index.Key()] = index
}

// CheckAnswer returns the guarantees that an answer to an idempotent request violates.
func (checker *Checker) CheckAnswer(request api.Request, answer api.Answer) []Violation {
	var violations []Violation
	report := func(kind Kind, format string, args ...any) {
		violations = append(violations, Violation{kind, request.ID, fmt.Sprintf(format, args...)})
	}
	if answer.ID != request.ID {
		report(WrongRequest, "answer is for request %s", answer.ID)
		return violations
	}
	checker.mu.Lock()
	index, ok := checker.indexes[config.IndexKey(request.Service, answer.Snapshot.Version)]
	checker.mu.Unlock()
	if !ok {
		report(WrongVersion, "index version %d was never published", answer.Snapshot.Version)
		return violations
	}
	missing := map[string]bool{}
	for _, shard := range answer.Missing {
		missing[shard.Shard] = true
	}
	shardByKey := checkRecords(request, answer, missing, report)
	checkCoverage(index, answer, missing, report)
	if len(answer.Records) < request.RecordLimit() { // an answer with as many records as the limit may be truncated
		checkCompleteness(request, index, missing, shardByKey, report)
	}
	return violations
}

type reportFunc func(kind Kind, format string, args ...any)

// checkRecords checks the origin of each record and returns the shard that each key came from.
func checkRecords(request api.Request, answer api.Answer, missing map[string]bool, report reportFunc) map[int64]string {
	shardByKey := map[int64]string{}
	for _, record := range answer.Records {
		var source origin
		key, err := strconv.ParseInt(record.ID, 10, 64)
		if err != nil || json.Unmarshal(record.Data, &source) != nil {
			report(WrongRequest, "record %s has no readable origin", record.ID)
			continue
		}
		if source.Request != request.ID {
			report(WrongRequest, "record %d belongs to request %s", key, source.Request)
		}
		if source.Version != answer.Snapshot.Version {
			report(WrongVersion, "record %d is of index version %d, the snapshot is version %d", key, source.Version, answer.Snapshot.Version)
		}
		if first, ok := shardByKey[key]; ok {
			report(DuplicateRecord, "record %d came from shards %s and %s", key, first, source.Shard)
		}
		if missing[source.Shard] {
			report(WrongCoverage, "record %d came from shard %s, which is reported as missing", key, source.Shard)
		}
		shardByKey[key] = source.Shard
	}
	return shardByKey
}

// checkCoverage recomputes the coverage from the shards reported as missing.
func checkCoverage(index config.Index, answer api.Answer, missing map[string]bool, report reportFunc) {
	var merged int64
	for _, shard := range index.Shards {
		if !missing[shard.Name] {
			merged += shard.Documents
		}
	}
	expected := float64(merged) / float64(index.Documents())
	if math.Abs(expected-answer.Coverage) > coverageTolerance {
		report(WrongCoverage, "coverage is reported as %v, expected %v", answer.Coverage, expected)
	}
	if (answer.Outcome == api.Complete) != (len(missing) == 0) {
		report(WrongCoverage, "outcome is %s with %d shards missing", answer.Outcome, len(missing))
	}
}

// checkCompleteness checks that the shards not reported as missing returned exactly the keys that they hold.
func checkCompleteness(request api.Request, index config.Index, missing map[string]bool, shardByKey map[int64]string, report reportFunc) {
	expected := 0
	for _, shard := range index.Shards {
		if missing[shard.Name] {
			continue
		}
		for _, key := range Keys(request.Query, shard) {
			expected++
			if source, ok := shardByKey[key]; !ok || source != shard.Name {
				report(Incomplete, "key %d of shard %s is absent or came from shard %q", key, shard.Name, source)
				return
			}
		}
	}
	if expected != len(shardByKey) {
		report(Incomplete, "expected %d keys, received %d", expected, len(shardByKey))
	}
}

// Keys returns the keys of a shard that match a query at a simulated target.
func Keys(query string, shard config.Shard) []int64 {
	offset := int64(xxhash.Sum64String(query) % KeyStride)
	first := (shard.From+KeyStride-1-offset)/KeyStride*KeyStride + offset
	var keys []int64
	for key := first; key < shard.To; key += KeyStride {
		keys = append(keys, key)
	}
	return keys
}

// NonIdempotent returns the guarantees that the outcomes of all submissions of one non-idempotent request violate; runs is how often
// the targets executed it.
func NonIdempotent(id string, outcomes []api.Outcome, runs int) []Violation {
	var violations []Violation
	if runs > 1 {
		violations = append(violations, Violation{RanTwice, id, fmt.Sprintf("executed %d times", runs)})
	}
	notRun := 0
	for _, outcome := range outcomes {
		if outcome == api.NotRun {
			notRun++
		}
		if (outcome == api.Ran || outcome == api.Failed) && runs == 0 {
			violations = append(violations, Violation{FalseRan, id, "no target executed it"})
		}
	}
	if len(outcomes) > 0 && notRun == len(outcomes) && runs > 0 {
		violations = append(violations, Violation{FalseNotRun, id, fmt.Sprintf("all %d submissions were reported as not run", notRun)})
	}
	return violations
}
