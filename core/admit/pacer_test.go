package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/admit"
)

// TestRetryAfter guards against clients that are sent back before there is room for them, or long after: 32 requests end 100 ms after their
// start, evenly, and each of some clients that were refused at once comes back at its time.
func TestRetryAfter(t *testing.T) {
	limiter, now := admit.New(), time.Unix(1000, 0)
	const gap = 100 * time.Millisecond / 32
	for range 32 {
		limiter.AdmitFrom(now, billing, nil)
		now = now.Add(gap)
	}
	for range 320 { // each end makes room for one start
		limiter.Done(now, billing.Name, false)
		ok, _ := limiter.AdmitFrom(now, billing, nil)
		assert.Assert(t, ok)
		now = now.Add(gap)
	}
	for limit := limiter.ClassLimits()[billing.Name]; float64(limiter.InFlight()) < limit; {
		limiter.AdmitFrom(now, billing, nil)
	}
	var returns []time.Time
	for range 60 {
		ok, retryAfter := limiter.AdmitFrom(now, billing, nil)
		assert.Assert(t, !ok && retryAfter >= 50*time.Millisecond && retryAfter <= 5*time.Second, "%v", retryAfter)
		returns = append(returns, now.Add(retryAfter))
	}
	late := now.Add(time.Second)
	assert.Assert(t, returns[len(returns)-1].Before(late))
	for _, at := range returns {
		for !now.After(at) {
			limiter.Done(now, billing.Name, false)
			now = now.Add(gap)
		}
		ok, _ := limiter.AdmitFrom(at, billing, nil)
		assert.Assert(t, ok, "no room %v after the refusal", at.Sub(returns[0]))
	}
}

// TestRefusedByTargets guards against a Retry-After that falls while targets refuse at once: requests that they refuse are no sign that
// others end.
func TestRefusedByTargets(t *testing.T) {
	pacer, now := admit.RetryPacer{}, time.Unix(1000, 0)
	for range 10 {
		pacer.Begin(now)
		now = now.Add(time.Second)
		pacer.End(now)
	}
	pacer.Begin(now)
	last := time.Duration(0)
	for range 4 {
		pacer.Begin(now)
		retryAfter := pacer.RefuseStarted(now)
		assert.Assert(t, retryAfter > last && retryAfter >= time.Second/2, "%v", retryAfter)
		last = retryAfter
		pacer.End(now)
	}
}

// TestIdleCredit guards against credit for an account that was idle: after a minute it gets no more than its share of a full limit.
func TestIdleCredit(t *testing.T) {
	limiter, now := admit.New(), time.Unix(1000, 0)
	busy, idle := &admit.Account{Name: "busy", Weight: 1}, &admit.Account{Name: "idle", Weight: 1}
	served := map[*admit.Account]int{}
	play := func(accounts ...*admit.Account) {
		for range 600 {
			for _, account := range accounts {
				for range 2 {
					if ok, _ := limiter.AdmitFrom(now, billing, account); ok {
						served[account]++
					}
				}
			}
			now = now.Add(100 * time.Millisecond)
			for limiter.InFlight() > 0 {
				limiter.Done(now, billing.Name, true)
			}
		}
	}
	play(busy)
	served = map[*admit.Account]int{}
	play(busy, idle)
	ratio := float64(served[idle]) / float64(served[busy])
	assert.Assert(t, ratio > 0.8 && ratio < 1.25, "%v", ratio)
}
