package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

// startOnce starts a forwarded request that is not idempotent and returns its only call.
func startOnce(t *testing.T) (*fanout.Run, int) {
	t.Helper()
	run := fanout.New(singleSpec(false), newStranded(serviceNames(1)), start)
	relays := relaysOf(t, run.Start(start))
	assert.Equal(t, len(relays), 1)
	return run, relays[0].Call
}

// assertNotRepeated requires that a request ends without a second call and without the promise that it has not run.
func assertNotRepeated(t *testing.T, actions []fanout.Action) {
	t.Helper()
	for _, action := range actions {
		switch action.(type) {
		case fanout.Send, fanout.Relay:
			t.Errorf("a second call: %+v", action)
		}
	}
	assertGivenUp(t, actions)
}

// TestUnknownOutcome guards against a second call after an outcome that only a later build knows.
func TestUnknownOutcome(t *testing.T) {
	for name, outcome := range map[string]fanout.Outcome{"of a later build": "ofLaterBuild", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			run, call := startOnce(t)
			_, actions := run.RelayReport(start, call, fanout.Report{Missing: []fanout.Missing{{Part: 0, Outcome: outcome}}, Final: true})
			assertNotRepeated(t, actions)
		})
	}
}

// TestContradictoryRelay guards against a second call after a relay has said both that it has called the target and that it has not.
func TestContradictoryRelay(t *testing.T) {
	missing := func(outcomes ...fanout.Outcome) fanout.Report {
		var report fanout.Report
		for _, outcome := range outcomes {
			report.Missing = append(report.Missing, fanout.Missing{Part: 0, Outcome: outcome})
		}
		return report
	}
	t.Run("a refusal after a report", func(t *testing.T) {
		run, call := startOnce(t)
		_, actions := run.RelayReport(start, call, fanout.Report{Early: true})
		assert.Equal(t, len(actions), 0)
		assertNotRepeated(t, run.RelayFailed(start, call, fanout.Refused))
	})
	t.Run("two outcomes in one report", func(t *testing.T) {
		run, call := startOnce(t)
		_, actions := run.RelayReport(start, call, missing(fanout.NotSent, fanout.Lost))
		assertNotRepeated(t, actions)
	})
	t.Run("an answer in an unusable report before an outcome", func(t *testing.T) {
		run, call := startOnce(t)
		_, actions := run.RelayReport(start, call, fanout.Report{Answered: []int{0, 1}, Latencies: []time.Duration{1, 1}})
		assert.Equal(t, len(actions), 0)
		_, actions = run.RelayReport(start, call, missing(fanout.NotSent))
		assertNotRepeated(t, actions)
	})
}
