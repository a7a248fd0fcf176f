package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
)

// TestEndBy guards against requests that outlast their VM's stop: cut off without an answer, or sent once more when that cannot end in time.
func TestEndBy(t *testing.T) {
	const left, needed = 100 * time.Millisecond, 40 * time.Millisecond
	one := func(idempotent bool) fanout.Spec {
		return fanout.Spec{Route: "r", Parts: []string{"s00"}, Idempotent: idempotent, MaxAttempts: 2, Timeout: timeout}
	}
	t.Run("a gathered request is answered with what there is", func(t *testing.T) {
		spec := gatherSpec([]string{"s00", "s01"})
		spec.MinCoverage, spec.Objective = 0.5, timeout
		run := fanout.New(spec, newSharedState(spec.Parts), start)
		sends := run.Start(start)
		assert.Equal(t, len(sends), 2)
		run.EndBy(start.Add(left), needed)
		run.Result(start.Add(left/2), sends[0].(fanout.Send).Call, fanout.Answered)
		for !run.Finished() {
			next := run.Next()
			assert.Assert(t, !next.After(start.Add(left)))
			actions := run.Tick(next)
			if run.Finished() {
				assert.Equal(t, next, start.Add(left))
				assert.DeepEqual(t, actions[len(actions)-1], fanout.Finish{Response: fanout.Deliver{Calls: []int{0}, Missing: 1}})
			}
		}
	})
	t.Run("a request in flight may have run", func(t *testing.T) {
		run := fanout.New(one(false), newSharedState([]string{"s00"}), start)
		run.Start(start)
		run.EndBy(start.Add(left), needed)
		assert.Equal(t, run.Next(), start.Add(left))
		actions := run.Tick(start.Add(left))
		assert.DeepEqual(t, actions[len(actions)-1], fanout.Finish{Response: fanout.GiveUp{TimedOut: true, Reason: "no server answered"}})
	})
	t.Run("a later time changes nothing", func(t *testing.T) {
		run := fanout.New(one(false), newSharedState([]string{"s00"}), start)
		run.Start(start)
		run.EndBy(start.Add(2*timeout), 2*timeout)
		assert.Equal(t, run.Next(), start.Add(timeout))
		assert.Equal(t, len(run.Result(start.Add(time.Millisecond), 0, fanout.Refused)), 1)
	})
	for name, test := range map[string]struct {
		idempotent bool
		at         time.Duration
		sent       bool
	}{
		"not idempotent, with enough time": {false, left - needed, true},
		"not idempotent, with less":        {false, left - needed + 1, false},
		"idempotent, with less":            {true, left - needed + 1, true},
	} {
		t.Run("a refused call is sent again: "+name, func(t *testing.T) {
			run := fanout.New(one(test.idempotent), newSharedState([]string{"s00"}), start)
			call := run.Start(start)[0].(fanout.Send).Call
			run.EndBy(start.Add(left), needed)
			actions := run.Result(start.Add(test.at), call, fanout.Refused)
			assert.Equal(t, len(actions), 1)
			if test.sent {
				_, ok := actions[0].(fanout.Send)
				assert.Assert(t, ok, "%v", actions)
				return
			}
			_, ok := actions[0].(fanout.Finish).Response.(fanout.Refuse)
			assert.Assert(t, ok, "%v", actions)
		})
	}
}
