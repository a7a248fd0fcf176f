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

// answer returns a whole and honest answer.
func answer() api.Answer {
	made := api.Answer{ID: "r1", Outcome: api.Complete, Coverage: 1, Snapshot: api.Snapshot{Version: 3}}
	for _, shard := range index.Shards {
		for _, key := range check.Keys(request.Query, shard) {
			made.Records = append(made.Records, record(key, "r1", 3, shard.Name))
		}
	}
	return made
}

func record(key int64, request string, version int64, shard string) api.Record {
	return api.Record{ID: fmt.Sprint(key), Data: json.RawMessage(fmt.Sprintf(`{"request":%q,"version":%d,"shard":%q}`, request, version, shard))}
}

func assertFound(t *testing.T, violations []check.Violation, kind check.Kind) {
	t.Helper()
	for _, violation := range violations {
		if violation.Kind == kind {
			return
		}
	}
	t.Fatalf("%s was not found in %v", kind, violations)
}

// TestAnswer breaks an honest answer in each way and checks that it is noticed.
func TestAnswer(t *testing.T) {
	checker := check.New()
	checker.Learn(index)
	t.Run("honest", func(t *testing.T) { assert.Equal(t, len(checker.Answer(request, answer())), 0) })
	cases := []struct {
		name  string
		kind  check.Kind
		spoil func(*api.Answer)
	}{
		{"another request's answer", check.Crossed, func(a *api.Answer) { a.ID = "r2" }},
		{"another request's record", check.Crossed, func(a *api.Answer) { a.Records[0] = record(0, "r2", 3, "a") }},
		{"another version's record", check.Mixed, func(a *api.Answer) { a.Records[0] = record(0, "r1", 2, "a") }},
		{"a version never published", check.Mixed, func(a *api.Answer) { a.Snapshot.Version = 9 }},
		{"a doubled record", check.Doubled, func(a *api.Answer) { a.Records = append(a.Records, a.Records[0]) }},
		{"coverage too high", check.WrongCoverage, func(a *api.Answer) { a.Missing = []api.MissingShard{{Shard: "b"}} }},
		{"partial called whole", check.WrongCoverage, func(a *api.Answer) {
			a.Missing, a.Coverage = []api.MissingShard{{Shard: "b"}}, 0.5
		}},
		{"a missing record", check.Incomplete, func(a *api.Answer) { a.Records = a.Records[1:] }},
		{"a record of the wrong shard", check.Incomplete, func(a *api.Answer) { a.Records[0] = record(keyOf(a.Records[0]), "r1", 3, "b") }},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			broken := answer()
			each.spoil(&broken)
			assertFound(t, checker.Answer(request, broken), each.kind)
		})
	}
}

func keyOf(record api.Record) int64 {
	var key int64
	_, _ = fmt.Sscan(record.ID, &key)
	return key
}

func TestOnce(t *testing.T) {
	t.Run("honest", func(t *testing.T) {
		assert.Equal(t, len(check.Once("r1", []api.Outcome{api.Ran, api.Unknown}, 1)), 0)
	})
	t.Run("ran twice", func(t *testing.T) {
		assertFound(t, check.Once("r1", []api.Outcome{api.Ran}, 2), check.RanTwice)
	})
	t.Run("false not run", func(t *testing.T) {
		assertFound(t, check.Once("r1", []api.Outcome{api.NotRun}, 1), check.FalseNotRun)
	})
	t.Run("false ran", func(t *testing.T) {
		assertFound(t, check.Once("r1", []api.Outcome{api.Ran}, 0), check.FalseRan)
	})
}
