package pause

import (
	"sync"
	"time"
)

const (
	tolerance = 300 * time.Millisecond // by which a tick may be late on a VM that is short of processor
	aftermath = 100 * time.Millisecond // after a pause, in which what arrived during it is still being read
)

// Detector notices pauses by ticks that are late. It is safe for concurrent use.
type Detector struct {
	mu       sync.Mutex
	interval time.Duration // between two ticks
	lastTick time.Time     // zero before the first one
	paused   time.Duration // length of the last pause
	ended    time.Time     // of the last pause; zero for none
}

// New returns a detector that expects a tick at least at each interval.
func New(interval time.Duration) *Detector { return &Detector{interval: interval} }

// Tick records that the process runs.
func (detector *Detector) Tick(now time.Time) {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	if late := detector.late(now); late > 0 {
		detector.paused, detector.ended = late, now
	}
	detector.lastTick = now
}

// Waited returns how long something that the process reads now may have waited because the process stood still, 0 if it did not.
func (detector *Detector) Waited(now time.Time) time.Duration {
	detector.mu.Lock()
	defer detector.mu.Unlock()
	if late := detector.late(now); late > 0 {
		return late
	}
	if !detector.ended.IsZero() && now.Sub(detector.ended) <= aftermath {
		return detector.paused
	}
	return 0
}

// late returns the time since the last tick if the next one is overdue by more than the tolerance, else 0.
func (detector *Detector) late(now time.Time) time.Duration {
	since := now.Sub(detector.lastTick)
	if detector.lastTick.IsZero() || since <= detector.interval+tolerance {
		return 0
	}
	return since
}
