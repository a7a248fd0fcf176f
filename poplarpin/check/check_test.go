package check_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/check"
)

var index = config.Index{Service: "heat", Version: 3, Shards: []config.Shard{
	{Name: "a", Documents: 1000, To: 1000}, {Name: "b", Documents: 1000, From: 1000, To: 2000}}}

var request = api.Request{ID: "r1", Service: "heat", Query: "shed", Top: 1000}

// completeAnswer returns a complete and correct answer.
func completeAnswer() api.Answer {
	result := api.Answer{ID: "r1", Outcome: api.Complete, Coverage: 1, Snapshot: api.Snapshot{Version: 3}}
	for _, shard := range index.Shards {
		for _, key := range check.Keys(request.Query, shard) {
			result.Records = append(result.Records, record(key, "r1", 3, shard.Name))
		}
	}
	return result
}

func record(key int64, request string, version int64, shard string) api.Record {
	return api.Record{ID: fmt.Sprint(key), Data: json.RawMessage(fmt.Sprintf(`{"request":%q,"version":%d,"shard":%q}`, request, version, shard))}
}

func assertViolation(t *testing.T, violations []check.Violation, kind check.Kind) {
	t.Helper()
	for _, violation := range violations {
		if violation.Kind == kind {
			return
		}
	}
	t.Fatalf("no violation of kind %s in %v", kind, violations)
}

// TestCheckAnswer corrupts a correct answer in each way that the checker must detect: a checker that misses one would let an
// experiment pass although answers are wrong.
func TestCheckAnswer(t *testing.T) {
	checker := check.New()
	checker.AddIndex(index)
	t.Run("correct", func(t *testing.T) { assert.Equal(t, len(checker.CheckAnswer(request, completeAnswer())), 0) })
	cases := []struct {
		name    string
		kind    check.Kind
		corrupt func(*api.Answer)
	}{
		{"another request's answer", check.WrongRequest, func(answer *api.Answer) { answer.ID = "r2" }},
		{"another request's record", check.WrongRequest, func(answer *api.Answer) { answer.Records[0] = record(0, "r2", 3, "a") }},
		{"another version's record", check.WrongVersion, func(answer *api.Answer) { answer.Records[0] = record(0, "r1", 2, "a") }},
		{"a version never published", check.WrongVersion, func(answer *api.Answer) { answer.Snapshot.Version = 9 }},
		{"a duplicate record", check.DuplicateRecord, func(answer *api.Answer) { answer.Records = append(answer.Records, answer.Records[0]) }},
		{"coverage too high", check.WrongCoverage, func(answer *api.Answer) { answer.Missing = []api.MissingShard{{Shard: "b"}} }},
		{"partial reported as complete", check.WrongCoverage, func(answer *api.Answer) {
			answer.Missing, answer.Coverage = []api.MissingShard{{Shard: "b"}}, 0.5
		}},
		{"a missing record", check.Incomplete, func(answer *api.Answer) { answer.Records = answer.Records[1:] }},
		{"a record of the wrong shard", check.Incomplete, func(answer *api.Answer) { answer.Records[0] = record(keyOf(answer.Records[0]), "r1", 3, "b") }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			corrupted := completeAnswer()
			test.corrupt(&corrupted)
			assertViolation(t, checker.CheckAnswer(request, corrupted), test.kind)
		})
	}
}

func keyOf(record api.Record) int64 {
	var key int64
	_, _ = fmt.Sscan(record.ID, &key)
	return key
}

// TestNonIdempotent guards against a checker that misses a second execution of a request or a reported outcome that contradicts the
// number of executions that the targets counted.
func TestNonIdempotent(t *testing.T) {
	t.Run("correct", func(t *testing.T) {
		assert.Equal(t, len(check.NonIdempotent("r1", []api.Outcome{api.Ran, api.Unknown}, 1)), 0)
	})
	t.Run("ran twice", func(t *testing.T) {
		assertViolation(t, check.NonIdempotent("r1", []api.Outcome{api.Ran}, 2), check.RanTwice)
	})
	t.Run("false not run", func(t *testing.T) {
		assertViolation(t, check.NonIdempotent("r1", []api.Outcome{api.NotRun}, 1), check.FalseNotRun)
	})
	t.Run("false ran", func(t *testing.T) {
		assertViolation(t, check.NonIdempotent("r1", []api.Outcome{api.Ran}, 0), check.FalseRan)
	})
}
