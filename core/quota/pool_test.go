package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
)

// TestPoolChooser guards against shares that move although their pool lives, and against VMs that stay without a pool.
func TestPoolChooser(t *testing.T) {
	ranked := []string{"a1", "a2", "a3", "a4", "a5"}
	newChooser := func(self string) *quota.PoolChooser {
		chooser := quota.NewPoolChooser(self, minute)
		chooser.SetRanked(ranked)
		return chooser
	}
	assertChooses := func(t *testing.T, chooser *quota.PoolChooser, now time.Duration, pool string, probes ...string) {
		t.Helper()
		chosen, asked := chooser.Choose(now)
		assert.Equal(t, chosen, pool)
		assert.DeepEqual(t, asked, probes)
	}
	t.Run("the best VM is its own pool", func(t *testing.T) {
		assertChooses(t, newChooser("a1"), minute, "a1")
	})
	t.Run("the others take the first that answers, and a better one as soon as it answers", func(t *testing.T) {
		chooser := newChooser("a5")
		assertChooses(t, chooser, minute, "", "a1", "a2", "a3")
		chooser.Heard(minute, "a2")
		assertChooses(t, chooser, minute, "a2")
		chooser.Heard(minute, "a1")
		assertChooses(t, chooser, minute, "a1")
	})
	t.Run("a lost pool is replaced by the next that answers", func(t *testing.T) {
		chooser := newChooser("a5")
		chooser.Heard(minute, "a1")
		assertChooses(t, chooser, minute, "a1")
		chooser.Lost("a1")
		assertChooses(t, chooser, minute, "", "a1", "a2", "a3")
		chooser.Heard(minute, "a2")
		assertChooses(t, chooser, minute, "a2")
	})
	t.Run("a silent pool counts as lost", func(t *testing.T) {
		chooser := newChooser("a2")
		chooser.Heard(minute, "a1")
		assertChooses(t, chooser, minute+900*time.Millisecond, "a1")
		assertChooses(t, chooser, minute+second, "", "a1")
		assertChooses(t, chooser, minute+1300*time.Millisecond, "a2")
	})
	t.Run("a VM without any answer is its own pool and asks on", func(t *testing.T) {
		chooser := newChooser("a4")
		assertChooses(t, chooser, minute, "", "a1", "a2", "a3")
		assertChooses(t, chooser, minute+300*time.Millisecond, "a4")
		assertChooses(t, chooser, minute+second, "a4", "a1", "a2", "a3")
		chooser.Heard(minute+second, "a1")
		assertChooses(t, chooser, minute+second, "a1")
	})
	t.Run("a VM that leaves the list is no pool", func(t *testing.T) {
		chooser := newChooser("a5")
		chooser.Heard(minute, "a1")
		chooser.SetRanked(ranked[1:])
		assertChooses(t, chooser, minute, "", "a2", "a3", "a4")
	})
	t.Run("a VM that leaves the list and comes back is asked at once", func(t *testing.T) {
		chooser := newChooser("a3")
		assertChooses(t, chooser, minute, "", "a1", "a2")
		chooser.SetRanked(ranked[1:])
		assertChooses(t, chooser, minute, "")
		chooser.SetRanked(ranked)
		assertChooses(t, chooser, minute, "", "a1")
	})
}
