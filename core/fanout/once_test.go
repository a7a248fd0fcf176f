package fanout_test

import (
	"testing"

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
	assert.Equal(t, len(actions), 1)
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
