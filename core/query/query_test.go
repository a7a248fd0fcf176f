package query_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/budget"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/latency"
	"poplarpin.dev/core/query"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
)

const shards = 6

var (
	start      = time.Unix(1000, 0)
	fullPolicy = query.Policy{Hedge: true, Retry: true, Adaptive: true}
)

func index(version int64) config.Index {
	index := config.Index{Service: "heat", Version: version}
	for i := range shards {
		index.Shards = append(index.Shards, config.Shard{Name: fmt.Sprintf("v%d-s%d", version, i), Documents: int64(10 * (i + 1)),
			Replicas: []string{fmt.Sprintf("t%d-a", i/2), fmt.Sprintf("t%d-b", (i+1)/2)}})
	}
	return index
}

func configuration() *config.Configuration {
	return &config.Configuration{Release: 1,
		Services: map[string]config.Service{"heat": {Name: "heat", Deadline: config.Duration(time.Second), MinCoverage: 0.9}},
		Indexes:  map[string][]config.Index{"heat": {index(2), index(1)}}}
}

func newShared() query.Shared {
	return query.Shared{Versions: query.NewVersions(), Tracker: latency.New(rand.New(rand.NewPCG(1, 1))), Budget: budget.New(0.05)}
}

func newRun(policy query.Policy) *query.Run {
	return query.New(api.Request{ID: "r1", Service: "heat"}, configuration(), newShared(), policy, start)
}

// reply returns a target's successful result for a call, with the given request ID and version.
func reply(call rpc.Call, request string, version int64) rpc.Result {
	result := rpc.Result{CallID: call.ID, Target: call.Target, Outcome: rpc.OK, RequestID: request, Version: version}
	for _, shard := range call.Shards {
		record := api.Record{ID: shard.Name, Data: json.RawMessage(fmt.Sprintf("%q", originOf(request, version)))}
		result.Shards = append(result.Shards, search.ShardResult{Name: shard.Name, Records: []api.Record{record}})
	}
	return result
}

// originOf returns the record data that identifies the request and version of a reply.
func originOf(request string, version int64) string { return fmt.Sprintf("%s@%d", request, version) }

// driver performs a run's actions and records its calls and answers.
type driver struct {
	open     []rpc.Call
	sent     map[int64]rpc.Call
	finished []query.Finish
}

func newDriver() *driver { return &driver{sent: map[int64]rpc.Call{}} }

func (driver *driver) perform(actions []query.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case query.Send:
			for _, call := range action.Calls {
				driver.sent[call.ID] = call
				driver.open = append(driver.open, call)
			}
		case query.Finish:
			driver.finished = append(driver.finished, action)
		}
	}
}

// assertConsistent checks that an answer's coverage, outcome and records match the shards that it reports as missing.
func assertConsistent(t assert.TestingT, answer api.Answer) {
	missing := map[string]bool{}
	for _, shard := range answer.Missing {
		missing[shard.Shard] = true
	}
	declared := index(answer.Snapshot.Version)
	var merged int64
	expected := map[string]bool{}
	for _, shard := range declared.Shards {
		if !missing[shard.Name] {
			merged += shard.Documents
			expected[shard.Name] = true
		}
	}
	assert.Equal(t, answer.Coverage, float64(merged)/float64(declared.Documents()))
	assert.Equal(t, len(answer.Records), len(expected), "%v", answer.Records)
	for _, record := range answer.Records {
		assert.Assert(t, expected[record.ID], "record %s of version %d", record.ID, answer.Snapshot.Version)
		assert.Equal(t, string(record.Data), fmt.Sprintf("%q", originOf(answer.ID, answer.Snapshot.Version)))
	}
	assert.Equal(t, answer.Outcome == api.Complete, len(missing) == 0)
}

// TestAnyOrder guards against answers that count a shard twice, contain records of another request or version, or misstate coverage.
// Results arrive in any order, late, twice, for other requests and versions, or as failures.
func TestAnyOrder(t *testing.T) {
	outcomes := []rpc.Outcome{rpc.NotSent, rpc.Shed, rpc.Draining, rpc.VersionNotHeld, rpc.Lost, rpc.OwnerLost, rpc.Failed}
	rapid.Check(t, func(t *rapid.T) {
		shared := newShared()
		shared.Budget = budget.New(1)
		run := query.New(api.Request{ID: "r1", Service: "heat"}, configuration(), shared, fullPolicy, start)
		driver, now := newDriver(), start
		driver.perform(run.Start(now))
		for range 200 {
			if len(driver.finished) > 0 {
				break
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 3).Draw(t, "tick") == 0 || len(driver.open) == 0 {
				driver.perform(run.Tick(now))
				continue
			}
			call := rapid.SampledFrom(driver.open).Draw(t, "call") // may have been answered before
			request := rapid.SampledFrom([]string{"r1", "r1", "r1", "r1", "r1", "r2"}).Draw(t, "request")
			version := rapid.SampledFrom([]int64{run.Version(), run.Version(), run.Version(), 1, 2}).Draw(t, "version")
			result := reply(call, request, version)
			if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
				result.Outcome = rapid.SampledFrom(outcomes).Draw(t, "outcome")
			}
			driver.perform(run.Result(now, result))
		}
		driver.perform(run.Tick(start.Add(time.Minute)))
		assert.Equal(t, len(driver.finished), 1, "want one final answer")
		assertConsistent(t, driver.finished[0].Answer)
		for _, call := range driver.open {
			assert.Equal(t, len(run.Result(now, reply(call, "r1", run.Version()))), 0, "result after the final answer caused an action")
		}
	})
}

func TestRun(t *testing.T) {
	t.Run("complete answer", func(t *testing.T) {
		run, driver := newRun(fullPolicy), newDriver()
		driver.perform(run.Start(start))
		for _, call := range driver.open {
			driver.perform(run.Result(start.Add(time.Millisecond), reply(call, "r1", 2)))
		}
		assert.Equal(t, driver.finished[0].Answer.Outcome, api.Complete)
	})
	t.Run("restarts once on the older version if a version is not held", func(t *testing.T) {
		run, driver := newRun(fullPolicy), newDriver()
		driver.perform(run.Start(start))
		for i := 0; i < len(driver.open) && len(driver.finished) == 0; i++ {
			result := reply(driver.open[i], "r1", run.Version())
			if run.Version() == 2 {
				result = rpc.Result{CallID: result.CallID, Target: result.Target, Outcome: rpc.VersionNotHeld}
			}
			driver.perform(run.Result(start.Add(time.Millisecond), result))
		}
		assert.Equal(t, driver.finished[0].Answer.Snapshot.Version, int64(1))
		assert.Equal(t, driver.finished[0].Answer.Outcome, api.Complete)
	})
	t.Run("finishes at once if every target refuses", func(t *testing.T) {
		run, driver := newRun(fullPolicy), newDriver()
		driver.perform(run.Start(start))
		for i := 0; i < len(driver.open); i++ {
			result := rpc.Result{CallID: driver.open[i].ID, Target: driver.open[i].Target, Outcome: rpc.Draining}
			driver.perform(run.Result(start, result))
		}
		answer := driver.finished[0].Answer
		assert.Equal(t, answer.Coverage, 0.0)
		assert.Equal(t, len(answer.Missing), shards)
		assert.Equal(t, answer.Missing[0].Reason, api.Draining)
		assert.Assert(t, answer.RetryAfter > 0)
	})
	t.Run("sends no second call if hedging is off", func(t *testing.T) {
		run, driver := newRun(query.Policy{}), newDriver()
		driver.perform(run.Start(start))
		sent := len(driver.open)
		driver.perform(run.Tick(start.Add(900 * time.Millisecond)))
		assert.Equal(t, len(driver.open), sent)
	})
}

// TestHedgeBudget guards against hedging that amplifies overload: when every call of many queries is slow, hedges must stay within the
// budget of 5% of the first calls.
func TestHedgeBudget(t *testing.T) {
	shared, now := newShared(), start
	first, extra := 0, 0
	for i := range 400 {
		now = now.Add(5 * time.Millisecond)
		run, driver := query.New(api.Request{ID: fmt.Sprintf("r%d", i), Service: "heat"}, configuration(), shared, fullPolicy, now), newDriver()
		driver.perform(run.Start(now))
		first += len(driver.open)
		before := len(driver.open)
		driver.perform(run.Tick(now.Add(100 * time.Millisecond)))
		extra += len(driver.open) - before
	}
	assert.Assert(t, extra > 0)
	assert.Assert(t, float64(extra) <= 0.05*float64(first), "%d hedges for %d first calls", extra, first)
}

// BenchmarkRun measures the cost of one query's decisions by the number of shards.
func BenchmarkRun(b *testing.B) {
	for _, size := range []int{20, 200, 2000} {
		b.Run(fmt.Sprintf("shards=%d", size), func(b *testing.B) {
			wide := configuration()
			large := config.Index{Service: "heat", Version: 3}
			for i := range size {
				large.Shards = append(large.Shards, config.Shard{Name: fmt.Sprintf("s%d", i), Documents: 1,
					Replicas: []string{fmt.Sprintf("t%d-a", i), fmt.Sprintf("t%d-b", i)}})
			}
			wide.Indexes["heat"] = []config.Index{large}
			shared := newShared()
			b.ReportAllocs()
			for b.Loop() {
				run, driver := query.New(api.Request{ID: "r1", Service: "heat"}, wide, shared, fullPolicy, start), newDriver()
				driver.perform(run.Start(start))
				for _, call := range driver.open {
					driver.perform(run.Result(start.Add(time.Millisecond), reply(call, "r1", 3)))
				}
			}
		})
	}
}
