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

// TestSlack guards against extra calls above the fraction and the slack, and against a slack that is granted only once: each window
// grants it anew, so that a VM with few calls can still hedge them an hour after its start.
func TestSlack(t *testing.T) {
	const fraction, slack = 0.18, 2.3
	t.Run("no window exceeds the fraction and the slack", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			now := time.Unix(1000, 0)
			extraBudget := budget.New(fraction)
			extraBudget.SetSlack(slack)
			for range rapid.IntRange(1, 300).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				extraBudget.RecordCalls(now, rapid.IntRange(0, 5).Draw(t, "calls"))
				for range rapid.IntRange(0, 5).Draw(t, "tries") {
					if !extraBudget.Spend(now, 1) {
						break
					}
					calls, extra := extraBudget.WindowCounts(now)
					assert.Assert(t, float64(extra) <= fraction*float64(calls)+slack, "%d extra calls for %d first calls", extra, calls)
				}
			}
		})
	})
	t.Run("each window grants the slack anew", func(t *testing.T) {
		now, spent, calls := time.Unix(1000, 0), 0, 0
		extraBudget := budget.New(fraction)
		extraBudget.SetSlack(slack)
		for ; now.Before(time.Unix(1000+600, 0)); now = now.Add(time.Second) {
			extraBudget.RecordCalls(now, 1)
			calls++
			if extraBudget.Spend(now, 1) {
				spent++
			}
		}
		windows := 600 / budget.Window.Seconds()
		assert.Assert(t, float64(spent) >= 0.8*(fraction*float64(calls)+slack*windows), "%d extra calls", spent)
	})
}

// TestBurst guards against answers that lack the parts of targets that have just turned slow, although the calm time before has left the
// extra calls of a whole window: a VM with a few requests a second must be able to use them when the targets need them.
func TestBurst(t *testing.T) {
	const fraction, slack, perSecond = 0.18, 2.0, 3
	extraBudget := budget.New(fraction)
	extraBudget.SetSlack(slack)
	now := time.Unix(1000, 0)
	for range 20 * perSecond {
		now = now.Add(time.Second / perSecond)
		extraBudget.RecordCalls(now, 1)
	}
	spent := 0
	for extraBudget.Spend(now, 1) {
		spent++
	}
	calls, _ := extraBudget.WindowCounts(now)
	assert.Equal(t, spent, int(fraction*float64(calls)+slack))
}
