package pause_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/pause"
)

// TestDetector guards against requests that are served after their callers' time, because they waited in a socket while the process stood
// still, and against requests that are refused although it did not.
func TestDetector(t *testing.T) {
	const interval = 200 * time.Millisecond
	start := time.Unix(1000, 0)
	ticked := func() *pause.Detector {
		detector := pause.New(interval)
		for i := range 10 {
			detector.Tick(start.Add(time.Duration(i) * interval))
		}
		return detector
	}
	last := start.Add(9 * interval)
	t.Run("nothing has waited while ticks come in time, or a little late", func(t *testing.T) {
		detector := ticked()
		assert.Equal(t, detector.Waited(last.Add(interval)), time.Duration(0))
		detector.Tick(last.Add(interval + 250*time.Millisecond))
		assert.Equal(t, detector.Waited(last.Add(interval+260*time.Millisecond)), time.Duration(0))
	})
	t.Run("a pause is noticed before the next tick", func(t *testing.T) {
		assert.Equal(t, ticked().Waited(last.Add(3*time.Second)), 3*time.Second)
	})
	t.Run("a pause counts for what is read shortly after it", func(t *testing.T) {
		detector := ticked()
		detector.Tick(last.Add(3 * time.Second))
		assert.Equal(t, detector.Waited(last.Add(3050*time.Millisecond)), 3*time.Second)
		assert.Equal(t, detector.Waited(last.Add(3200*time.Millisecond)), time.Duration(0))
	})
	t.Run("nothing has waited before the first tick", func(t *testing.T) {
		assert.Equal(t, pause.New(interval).Waited(start), time.Duration(0))
	})
}
