package buffer_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/buffer"
)

const mib = 1 << 20

// TestBudget guards against a VM that runs out of memory because of responses without end, and against a budget that ends the responses
// of healthy targets for it.
func TestBudget(t *testing.T) {
	t.Run("the responses that send without end are ended, not the small ones", func(t *testing.T) {
		budget := buffer.New(16 * mib)
		var small, endless []*buffer.Response
		for range 100 {
			small = append(small, budget.Begin(1))
		}
		for range 12 {
			endless = append(endless, budget.Begin(0))
		}
		for step := range 4 * mib / 4096 {
			for _, response := range endless {
				assertNone(t, small, budget.Grow(response, 4096))
			}
			if step%11 == 0 {
				assertNone(t, small, budget.Grow(small[step/11], 4096))
			}
			assert.Assert(t, budget.Held() <= 16*mib)
		}
	})
	t.Run("among equally large responses the least urgent is ended", func(t *testing.T) {
		budget := buffer.New(2 * mib)
		urgent, background := budget.Begin(0), budget.Begin(2)
		assert.Equal(t, len(budget.Grow(background, mib)), 0)
		assertEnded(t, budget.Grow(urgent, mib))
		third := budget.Begin(1)
		assertEnded(t, budget.Grow(third, mib), background)
	})
	t.Run("a complete response is kept until its release", func(t *testing.T) {
		budget := buffer.New(mib)
		complete, next := budget.Begin(2), budget.Begin(0)
		budget.Grow(complete, mib)
		budget.Complete(complete)
		assertEnded(t, budget.Grow(next, 1), next)
		budget.Release(complete)
		assert.Equal(t, budget.Held(), int64(0))
	})
	t.Run("an ended response gets no more memory", func(t *testing.T) {
		budget := buffer.New(mib)
		response := budget.Begin(0)
		budget.Grow(response, 2*mib)
		assertEnded(t, budget.Grow(response, 1), response)
		assert.Equal(t, budget.Held(), int64(0))
	})
}

func assertEnded(t *testing.T, ended []*buffer.Response, want ...*buffer.Response) {
	t.Helper()
	assert.Assert(t, slices.Equal(ended, want))
}

func assertNone(t *testing.T, kept, ended []*buffer.Response) {
	t.Helper()
	for _, response := range ended {
		assert.Assert(t, !slices.Contains(kept, response), "a small response was ended")
	}
}
