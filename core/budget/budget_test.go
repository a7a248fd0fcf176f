package budget_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/budget"
)

// TestFraction guards against extra calls above the fraction: after every call that the budget allows, the extra calls of the last
// ten seconds must stay within the fraction of the first calls.
func TestFraction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		extraBudget := budget.New(0.05)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			extraBudget.RecordCalls(now, rapid.IntRange(0, 60).Draw(t, "calls"))
			for range rapid.IntRange(0, 10).Draw(t, "tries") {
				if !extraBudget.Spend(now, 1) {
					break
				}
				calls, extra := extraBudget.WindowCounts(now)
				assert.Assert(t, float64(extra) <= 0.05*float64(calls), "%d extra calls for %d first calls", extra, calls)
			}
		}
	})
}
