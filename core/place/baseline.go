package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows                = 4    // percentiles are computed over this many histograms
	windowCalls            = 1000 // the oldest histogram is dropped after this many calls
	minSamples             = 40   // percentiles of fewer calls than this are not used
	refreshInterval        = 50   // percentiles are computed again after this many calls
	p95Quantile            = 95.0 // P95 returns this percentile; calls slower than it are worth hedging
	maxLatencyMicroseconds = 60_000_000
	medianDivisor          = 8                     // the route's objective divided by this is the median until enough calls are recorded
	p95Divisor             = 3                     // the route's objective divided by this is the 95th percentile until enough calls are recorded
	defaultMedian          = 20 * time.Millisecond // the median of a route without an objective until enough calls are recorded
)

// Baseline tracks the usual latency of the calls of one route.
type Baseline struct {
	histogram *hdrhistogram.WindowedHistogram
	calls     int
	median    time.Duration
	p95       time.Duration
}

func newBaseline(objective time.Duration) *Baseline {
	baseline := &Baseline{histogram: hdrhistogram.NewWindowed(windows, 1, maxLatencyMicroseconds, 2),
		median: defaultMedian, p95: 3 * defaultMedian}
	if objective > 0 {
		baseline.median, baseline.p95 = objective/medianDivisor, objective/p95Divisor
	}
	return baseline
}

func (baseline *Baseline) record(latency time.Duration) {
	_ = baseline.histogram.Current.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicroseconds))
	baseline.calls++
	if baseline.calls == minSamples || baseline.calls > minSamples && baseline.calls%refreshInterval == 0 {
		merged := baseline.histogram.Merge()
		baseline.median = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
		baseline.p95 = time.Duration(merged.ValueAtQuantile(p95Quantile)) * time.Microsecond
	}
	if baseline.calls%windowCalls == 0 {
		baseline.histogram.Rotate()
	}
}

// Median returns the median latency of the route's calls.
func (baseline *Baseline) Median() time.Duration { return baseline.median }

// P95 returns the 95th percentile of the latency of the route's calls.
func (baseline *Baseline) P95() time.Duration { return baseline.p95 }

// Baseline returns the baseline latency of a route.
func (fleet *Fleet) Baseline(route string) *Baseline {
	found, ok := fleet.baselines[route]
	if !ok {
		found = newBaseline(0)
		fleet.baselines[route] = found
	}
	return found
}

// SetObjective initializes the baseline of a route from its latency objective, unless the route already has a baseline.
func (fleet *Fleet) SetObjective(route string, objective time.Duration) {
	if _, ok := fleet.baselines[route]; !ok {
		fleet.baselines[route] = newBaseline(objective)
	}
}
