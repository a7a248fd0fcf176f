package place

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	windows        = 4    // histograms that a quantile is taken over
	windowSamples  = 1000 // calls after which the oldest histogram is dropped
	fewSamples     = 40   // calls below which a quantile says little
	relearnEvery   = 50   // calls between two readings of the quantiles
	highQuantile   = 95.0 // percent; beyond it a call is worth doubling
	maxMicrosecond = 60_000_000
	medianPart     = 8                     // of the route's objective that a call is taken to need, until calls have shown better
	highPart       = 3                     // of the route's objective that most calls are taken to need
	firstMedian    = 20 * time.Millisecond // for routes without an objective
)

// Baseline is what calls of one route usually take.
type Baseline struct {
	history *hdrhistogram.WindowedHistogram
	counted int
	median  time.Duration
	high    time.Duration // highQuantile
}

func newTypical(objective time.Duration) *Baseline {
	typical := &Baseline{history: hdrhistogram.NewWindowed(windows, 1, maxMicrosecond, 2), median: firstMedian, high: 3 * firstMedian}
	if objective > 0 {
		typical.median, typical.high = objective/medianPart, objective/highPart
	}
	return typical
}

func (typical *Baseline) record(latency time.Duration) {
	_ = typical.history.Current.RecordValue(min(max(latency.Microseconds(), 1), maxMicrosecond))
	typical.counted++
	if typical.counted == fewSamples || typical.counted > fewSamples && typical.counted%relearnEvery == 0 {
		merged := typical.history.Merge()
		typical.median = time.Duration(merged.ValueAtQuantile(50)) * time.Microsecond
		typical.high = time.Duration(merged.ValueAtQuantile(highQuantile)) * time.Microsecond
	}
	if typical.counted%windowSamples == 0 {
		typical.history.Rotate()
	}
}

// Median returns the median latency of the route's calls.
func (typical *Baseline) Median() time.Duration { return typical.median }

// P95 returns the latency that most of the route's calls do not exceed.
func (typical *Baseline) P95() time.Duration { return typical.high }

// Baseline returns what calls of a route usually take.
func (fleet *Fleet) Baseline(route string) *Baseline {
	found, ok := fleet.typical[route]
	if !ok {
		found = newTypical(0)
		fleet.typical[route] = found
	}
	return found
}

// SetObjective says what calls of a route are to take, for a route that has had none.
func (fleet *Fleet) SetObjective(route string, objective time.Duration) {
	if _, ok := fleet.typical[route]; !ok {
		fleet.typical[route] = newTypical(objective)
	}
}
