package stop_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/stop"
)

var began = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// TestTimes guards against a process that is killed before its last answers are written.
func TestTimes(t *testing.T) {
	for _, grace := range []time.Duration{time.Millisecond, 100 * time.Millisecond, time.Second, 6 * time.Second, 30 * time.Second} {
		stop := stop.New(began, grace)
		killedAt := began.Add(grace)
		assert.Assert(t, began.Before(stop.RemovedAt()), "%s", grace)
		assert.Assert(t, !stop.AnswerBy().Before(stop.RemovedAt()), "%s", grace)
		assert.Assert(t, stop.AnswerBy().Before(stop.ExitAt()), "%s", grace)
		assert.Assert(t, stop.ExitAt().Before(killedAt), "%s", grace)
		assert.Assert(t, killedAt.Sub(stop.AnswerBy()) <= 500*time.Millisecond, "%s", grace)
	}
	assert.Equal(t, stop.New(began, 0).ExitAt(), began.Add(5700*time.Millisecond))
}

// TestTakes guards against requests that are passed on and outlast the grace, and against refusals of requests that would end in time.
func TestTakes(t *testing.T) {
	const p95 = 100 * time.Millisecond
	for name, test := range map[string]struct {
		request stop.Request
		needs   time.Duration
	}{
		"idempotent":             {stop.Request{Timeout: 5 * time.Second, P95: p95, Idempotent: true}, p95},
		"gathered":               {stop.Request{Timeout: 5 * time.Second, P95: p95, Idempotent: true, Gather: true}, 2 * p95},
		"not idempotent":         {stop.Request{Timeout: 5 * time.Second, P95: p95}, 2 * p95},
		"short timeout":          {stop.Request{Timeout: 50 * time.Millisecond, P95: p95}, 50 * time.Millisecond},
		"fast route":             {stop.Request{Timeout: 5 * time.Second, P95: time.Millisecond}, 20 * time.Millisecond},
		"longer than any grace":  {stop.Request{Timeout: time.Minute, P95: 10 * time.Second}, 20 * time.Second},
		"ends when the VM stops": {stop.Request{Timeout: 5500 * time.Millisecond, P95: time.Minute}, 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			stop := stop.New(began, 6*time.Second)
			last := stop.AnswerBy().Add(-test.needs)
			assert.Equal(t, stop.Takes(last, test.request), true)
			assert.Equal(t, stop.Takes(last.Add(time.Nanosecond), test.request), false)
			assert.Equal(t, stop.Takes(stop.AnswerBy().Add(time.Hour), test.request), false)
		})
	}
}

// TestTakesMostThatEndInTime guards against a rule that refuses requests which would end in time, or takes requests that run once and end too late:
// requests come at random in the grace and take times as targets do, the slowest of 100 eight times the median.
func TestTakesMostThatEndInTime(t *testing.T) {
	const requests, median, spread = 200_000, 80 * time.Millisecond, 0.9
	random := rand.New(rand.NewPCG(1, 2))
	latencies := make([]time.Duration, requests)
	for i := range latencies {
		latencies[i] = time.Duration(float64(median) * math.Exp(spread*random.NormFloat64()))
	}
	p95 := slices.Sorted(slices.Values(latencies))[requests*95/100]
	for _, test := range []struct {
		idempotent               bool
		mostRefused, mostTooLate float64
	}{{true, 0.06, 0.003}, {false, 0.12, 0.0005}} {
		request := stop.Request{Timeout: 5 * time.Second, P95: p95, Idempotent: test.idempotent}
		stop := stop.New(began, 6*time.Second)
		var inTime, refusedInTime, taken, late int
		for _, latency := range latencies {
			at := began.Add(time.Duration(random.Int64N(int64(stop.ExitAt().Sub(began)))))
			ends := !at.Add(latency).After(stop.AnswerBy())
			takes := stop.Takes(at, request)
			if ends {
				inTime++
			}
			if ends && !takes {
				refusedInTime++
			}
			if takes {
				taken++
			}
			if takes && !ends {
				late++
			}
		}
		t.Logf("idempotent %v, P95 %s: %d of %d that end in time are refused, %d of %d taken are late", test.idempotent, p95, refusedInTime, inTime, late, taken)
		assert.Assert(t, float64(refusedInTime) < test.mostRefused*float64(inTime))
		assert.Assert(t, float64(late) < test.mostTooLate*float64(taken))
	}
}
