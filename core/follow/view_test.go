package follow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
)

var viewStart = time.Unix(1000, 0)

func viewTime(seconds float64) time.Time {
	return viewStart.Add(time.Duration(seconds * float64(time.Second)))
}

func assertViewAge(t *testing.T, view *follow.View, at, want float64) {
	t.Helper()
	age, ok := view.Age(viewTime(at))
	assert.Assert(t, ok)
	assert.Equal(t, age, time.Duration(want*float64(time.Second)))
}

// watchingView returns the view of a VM that has watched the configuration since second 0.
func watchingView() *follow.View {
	view := &follow.View{}
	view.ReadStarted(viewTime(0))
	return view
}

// TestView guards against a view that passes for current although a newer configuration may be in force: a client whose key is new would
// get a 401, which it never retries.
func TestView(t *testing.T) {
	t.Run("a VM that never heard of the store has no age", func(t *testing.T) {
		_, ok := (&follow.View{}).Age(viewStart)
		assert.Assert(t, !ok)
	})
	t.Run("pings during a watch confirm it", func(t *testing.T) {
		view := watchingView()
		view.Pinged(viewTime(9.1), viewTime(9), true)
		assertViewAge(t, view, 10, 1)
	})
	t.Run("an answer that was received late counts from its call", func(t *testing.T) {
		view := watchingView()
		view.Pinged(viewTime(12), viewTime(3), true)
		assertViewAge(t, view, 12, 9)
		view.ReadEnded(true)
		assertViewAge(t, view, 12, 9)
	})
	t.Run("a ping says nothing while no watch is under way", func(t *testing.T) {
		view := watchingView()
		view.Pinged(viewTime(1), viewTime(1), true)
		view.ReadEnded(false)
		assert.Assert(t, !view.Pinged(viewTime(4), viewTime(4), true))
		assertViewAge(t, view, 5, 4)
	})
	t.Run("after a partition a watch from before it is sent again", func(t *testing.T) {
		view := watchingView()
		view.Pinged(viewTime(1), viewTime(1), true)
		view.Pinged(viewTime(3), viewTime(2), false)
		assert.Assert(t, view.Pinged(viewTime(9), viewTime(9), true))
		assertViewAge(t, view, 9, 8)
		view.ReadStarted(viewTime(9))
		assert.Assert(t, !view.Pinged(viewTime(10), viewTime(10), true))
		assertViewAge(t, view, 10, 0)
	})
	t.Run("updates that waited while this VM was suspended do not confirm it", func(t *testing.T) {
		view := &follow.View{}
		view.Ticked(viewTime(0))
		view.SourceConfirmed(viewTime(0.4), 0)
		view.SourceConfirmed(viewTime(9), 0) // before the first tick after the suspension
		view.Ticked(viewTime(9))
		view.SourceConfirmed(viewTime(9.1), 0) // and after it
		assertViewAge(t, view, 9.4, 9)
		for second := 9.2; second < 11; second += 0.2 {
			view.Ticked(viewTime(second))
		}
		view.SourceConfirmed(viewTime(11), 0)
		assertViewAge(t, view, 11, 0)
	})
	t.Run("a source's age is added", func(t *testing.T) {
		view := &follow.View{}
		view.SourceConfirmed(viewTime(5), 2*time.Second)
		assertViewAge(t, view, 6, 3)
		view.SourceConfirmed(viewTime(6), 9*time.Second)
		assertViewAge(t, view, 6, 3)
	})
}
