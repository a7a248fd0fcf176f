package admit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/admit"
)

var (
	alarm   = admit.Class{Name: "alarm", Priority: 0, GuaranteedShare: 0.5}
	billing = admit.Class{Name: "billing", Priority: 5, GuaranteedShare: 0.1}
)

// admitUntilRefused admits queries of a class until one is refused and returns the number admitted.
func admitUntilRefused(limiter *admit.Limiter, class admit.Class) int {
	for count := 0; ; count++ {
		if ok, _ := limiter.Admit(class); !ok {
			return count
		}
	}
}

func TestLimiter(t *testing.T) {
	t.Run("the low class is refused first and gets a retry delay", func(t *testing.T) {
		limiter := admit.New()
		admitUntilRefused(limiter, billing)
		ok, after := limiter.Admit(billing)
		assert.Assert(t, !ok && after > 0)
		ok, _ = limiter.Admit(alarm)
		assert.Assert(t, ok)
	})
	t.Run("the low class keeps its guaranteed share", func(t *testing.T) {
		limiter := admit.New()
		admitUntilRefused(limiter, alarm)
		ok, _ := limiter.Admit(billing)
		assert.Assert(t, ok)
	})
	t.Run("overload of the low class does not lower the limit of the high class", func(t *testing.T) {
		limiter, now := admit.New(), time.Unix(1000, 0)
		for i := range 50 {
			limiter.Admit(billing)
			limiter.Done(now.Add(time.Duration(i)*time.Second), billing.Name, true)
		}
		assert.Equal(t, admitUntilRefused(limiter, alarm), 32)
		assert.Assert(t, limiter.ClassLimits()[billing.Name] < 2)
	})
	t.Run("the limit grows while queries end without overload", func(t *testing.T) {
		limiter := admit.New()
		for range 1000 {
			for range 30 {
				limiter.Admit(alarm)
			}
			for range 30 {
				limiter.Done(time.Unix(1000, 0), alarm.Name, false)
			}
		}
		assert.Assert(t, limiter.ClassLimits()[alarm.Name] > 40)
	})
}
