package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows                = 4    // histograms that percentiles are computed over
	windowCalls            = 1000 // calls after which the oldest histogram is dropped
	minSamples             = 40   // calls below which a percentile is not meaningful
	refreshInterval        = 50   // calls between two computations of the percentiles
	p95Quantile            = 95.0 // percentile that P95 returns; calls slower than this are worth hedging
	maxLatencyMicroseconds = 60_000_000
	medianDivisor          = 8                     // of the route's objective: the median assumed until enough calls are recorded
	p95Divisor             = 3                     // of the route's objective: the 95th percentile assumed until then
	defaultMedian          = 20 * time.Millisecond // assumed for routes without an objective
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
