package tally_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/tally"
)

func TestTally(t *testing.T) {
	t.Run("the names with most events are shown, the others together", func(t *testing.T) {
		counts := tally.New(2, 10)
		for name, events := range map[string]int{"a": 1, "b": 5, "c": 3, "d": 2} {
			for range events {
				counts.Add(name, "served")
			}
		}
		counts.Add("c", "refused")
		assert.DeepEqual(t, counts.View(), tally.View{OtherNames: 2, Rest: tally.Counts{"served": 3},
			Top: map[string]tally.Counts{"b": {"served": 5}, "c": {"served": 3, "refused": 1}}})
	})
	// Guards against metrics that grow with the number of names, and against events that are lost when names are dropped.
	t.Run("names are bounded and no event is lost", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			counts, events := tally.New(3, 8), rapid.SliceOf(rapid.IntRange(0, 40)).Draw(t, "events")
			for _, event := range events {
				counts.Add(fmt.Sprint(event), "served")
			}
			view := counts.View()
			total := view.Rest.Total()
			for _, top := range view.Top {
				total += top.Total()
			}
			assert.Equal(t, total, int64(len(events)))
			assert.Assert(t, len(view.Top) <= 3 && len(view.Top)+view.OtherNames <= 8)
		})
	})
}
