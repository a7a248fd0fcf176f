package stop_test

import (
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
