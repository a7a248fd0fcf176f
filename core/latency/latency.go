package latency

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	averageWeight       = 0.2                    // weight of a new sample in a target's EWMA
	histogramWindows    = 4                      // histograms that the hedge percentile is computed over
	windowSamples       = 2000                   // calls after which the oldest histogram is dropped
	minHedgeSamples     = 50                     // calls needed before the hedge delay follows the percentile
	initialHedgeDelay   = 20 * time.Millisecond  // hedge delay until then
	minHedgeDelay       = 2 * time.Millisecond   // lower bound of the hedge delay
	initialDownDuration = 500 * time.Millisecond // how long a failed target is avoided at first; doubled with each failure in a row
	maxDownDuration     = 4 * time.Second
	leavingTTL          = 5 * time.Second // how long a target counts as leaving after the last mark
	probeInterval       = 2 * time.Second // an avoided target is probed this often
	maxUnansweredCalls  = 3               // calls in a row cancelled without an answer, from which a target counts as down
	slowerFactor        = 2.0             // replicas rank alike if their averages differ by no more than this factor
	hedgePercentile     = 96.0
	maxLatencyMicros    = 60_000_000 // longer latencies are recorded as this
)

type targetState struct {
	average         time.Duration
	samples         int
	inFlight        int
	downUntil       time.Time
	downDuration    time.Duration
	unansweredCalls int       // calls in a row that were cancelled without an answer
	leavingUntil    time.Time // zero or past: not leaving
	lastProbe       time.Time
}

// Tracker tracks the latency of one service's calls and the state of its targets.
type Tracker struct {
	random        *rand.Rand
	targets       map[string]*targetState
	histogram     *hdrhistogram.WindowedHistogram
	answeredCalls int
	hedgeDelay    time.Duration
}

// New returns a Tracker without samples.
func New(random *rand.Rand) *Tracker {
	return &Tracker{
		random:     random,
		targets:    map[string]*targetState{},
		histogram:  hdrhistogram.NewWindowed(histogramWindows, 1, maxLatencyMicros, 2),
		hedgeDelay: initialHedgeDelay,
	}
}

func (tracker *Tracker) target(name string) *targetState {
	target, ok := tracker.targets[name]
	if !ok {
		target = &targetState{}
		tracker.targets[name] = target
	}
	return target
}

// RecordSent counts a call as in flight.
func (tracker *Tracker) RecordSent(name string) { tracker.target(name).inFlight++ }

// RecordAnswer records the latency of an answered call and marks its target as reachable.
func (tracker *Tracker) RecordAnswer(name string, latency time.Duration) {
	target := tracker.target(name)
	target.inFlight--
	target.unansweredCalls = 0
	target.downUntil, target.downDuration = time.Time{}, 0
	target.updateAverage(latency)
	_ = tracker.histogram.Current.RecordValue(min(max(latency.Microseconds(), 1), maxLatencyMicros))
	tracker.answeredCalls++
	if tracker.answeredCalls%(windowSamples/8) == 0 || tracker.answeredCalls == minHedgeSamples {
		tracker.updateHedgeDelay()
	}
	if tracker.answeredCalls%windowSamples == 0 {
		tracker.histogram.Rotate()
	}
}

// RecordAbandoned records a call that was cancelled after the elapsed time, which is a lower bound of its latency. A target with several
// such calls in a row counts as down.
func (tracker *Tracker) RecordAbandoned(name string, elapsed time.Duration, now time.Time) {
	target := tracker.target(name)
	target.inFlight--
	if elapsed > target.average {
		target.updateAverage(elapsed)
	}
	target.unansweredCalls++
	if target.unansweredCalls >= maxUnansweredCalls {
		target.markDown(now)
	}
}

// RecordRefused records a call that its target refused or its owner did not complete, which shows nothing about the target's latency.
func (tracker *Tracker) RecordRefused(name string) { tracker.target(name).inFlight-- }

// RecordUnreachable records a call that failed, was lost or did not reach its target, and marks the target as down.
func (tracker *Tracker) RecordUnreachable(name string, now time.Time) {
	target := tracker.target(name)
	target.inFlight--
	target.markDown(now)
}

// markDown avoids the target for a time that doubles with each failure in a row; failures during that time don't extend it.
func (target *targetState) markDown(now time.Time) {
	if now.Before(target.downUntil) {
		return
	}
	target.downDuration = min(max(initialDownDuration, target.downDuration*2), maxDownDuration)
	target.downUntil = now.Add(target.downDuration)
}

// MarkLeaving records that a target accepts no new calls.
func (tracker *Tracker) MarkLeaving(name string, now time.Time) {
	tracker.target(name).leavingUntil = now.Add(leavingTTL)
}

func (target *targetState) updateAverage(latency time.Duration) {
	if target.samples == 0 {
		target.average = latency
	}
	target.samples++
	target.average += time.Duration(averageWeight * float64(latency-target.average))
}

func (tracker *Tracker) updateHedgeDelay() {
	merged := tracker.histogram.Merge()
	if merged.TotalCount() < minHedgeSamples {
		return
	}
	percentile := time.Duration(merged.ValueAtQuantile(hedgePercentile)) * time.Microsecond
	tracker.hedgeDelay = max(minHedgeDelay, percentile)
}

// HedgeDelay returns how long a call may take before it is hedged.
func (tracker *Tracker) HedgeDelay() time.Duration { return tracker.hedgeDelay }

// Rank returns the replicas, best first; replicas that are leaving are omitted. If all are leaving, it returns all of them, unranked.
func (tracker *Tracker) Rank(replicas []string, now time.Time) []string {
	order := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool {
		return now.Before(tracker.target(name).leavingUntil)
	})
	if len(order) == 0 {
		return slices.Clone(replicas)
	}
	tracker.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	slices.SortStableFunc(order, func(a, b string) int { return tracker.compare(a, b, now) })
	return order
}

// Shuffle returns the replicas in random order.
func (tracker *Tracker) Shuffle(replicas []string) []string {
	order := slices.Clone(replicas)
	tracker.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// compare orders targets that are not down first, then clearly faster ones, then those with fewer calls in flight.
func (tracker *Tracker) compare(a, b string, now time.Time) int {
	first, second := tracker.target(a), tracker.target(b)
	firstDown, secondDown := now.Before(first.downUntil), now.Before(second.downUntil)
	if firstDown != secondDown {
		if firstDown {
			return 1
		}
		return -1
	}
	if clearlySlower(first, second) {
		return 1
	}
	if clearlySlower(second, first) {
		return -1
	}
	return cmp.Compare(first.inFlight, second.inFlight)
}

// clearlySlower reports whether a's average latency exceeds both minHedgeDelay and slowerFactor times b's average.
func clearlySlower(a, b *targetState) bool {
	return float64(a.average) > slowerFactor*float64(b.average) && a.average > minHedgeDelay
}

// NextProbe returns a replica that is avoided because it was down or is clearly slower than the chosen one, and that is due for a probe, a
// call that shows whether it has recovered. It records the probe.
func (tracker *Tracker) NextProbe(chosen string, replicas []string, now time.Time) (string, bool) {
	for _, name := range replicas {
		target := tracker.target(name)
		if name == chosen || now.Before(target.leavingUntil) || target.samples == 0 && target.downDuration == 0 {
			continue
		}
		avoided := target.downDuration > 0 || clearlySlower(target, tracker.target(chosen))
		if avoided && !now.Before(target.downUntil) && now.Sub(target.lastProbe) >= probeInterval {
			target.lastProbe = now
			return name, true
		}
	}
	return "", false
}

// Retain deletes the targets for which keep returns false, except those with calls in flight.
func (tracker *Tracker) Retain(keep func(string) bool) {
	for name, target := range tracker.targets {
		if !keep(name) && target.inFlight <= 0 {
			delete(tracker.targets, name)
		}
	}
}

// TargetView is the state of one target in dumps.
type TargetView struct {
	Target   string
	Average  time.Duration
	InFlight int
	Down     bool
	Leaving  bool
}

// View returns the state of every target, sorted by name.
func (tracker *Tracker) View(now time.Time) []TargetView {
	var views []TargetView
	for name, target := range tracker.targets {
		views = append(views, TargetView{name, target.average, target.inFlight,
			now.Before(target.downUntil), now.Before(target.leavingUntil)})
	}
	slices.SortFunc(views, func(a, b TargetView) int { return cmp.Compare(a.Target, b.Target) })
	return views
}
