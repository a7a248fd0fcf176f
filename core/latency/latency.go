package latency

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	alpha          = 0.2                    // weight of a new sample in the moving average
	windows        = 4                      // histograms that a quantile is taken over
	windowSamples  = 2000                   // calls after which the oldest histogram is dropped
	fewSamples     = 50                     // calls below which the first hedge delay holds
	firstDelay     = 20 * time.Millisecond  // hedge delay until enough calls were seen
	leastDelay     = 2 * time.Millisecond   // hedge delay at the least
	downSpan       = 500 * time.Millisecond // how long a target that could not be reached is avoided at first
	maxDownSpan    = 4 * time.Second
	leavingSpan    = 5 * time.Second // how long a mark of leaving lasts without renewal
	probeInterval  = 2 * time.Second // between probes of an avoided target
	silentCalls    = 3               // calls in a row without an answer, from which a target counts as down
	slowerFactor   = 2.0             // replicas within this factor of the best are alike
	hedgeQuantile  = 96.0
	maxMicrosecond = 60_000_000
)

type targetState struct {
	average  time.Duration
	samples  int
	inFlight int
	downTill time.Time
	downSpan time.Duration
	silent   int       // calls in a row that were given up without an answer
	leaving  time.Time // until when it counts as leaving
	probed   time.Time
}

// Tracker learns the latency of one service's calls and the state of its targets.
type Tracker struct {
	random  *rand.Rand
	targets map[string]*targetState
	history *hdrhistogram.WindowedHistogram
	counted int
	delay   time.Duration
}

// New returns a Tracker that knows nothing.
func New(random *rand.Rand) *Tracker {
	return &Tracker{
		random:  random,
		targets: map[string]*targetState{},
		history: hdrhistogram.NewWindowed(windows, 1, maxMicrosecond, 2),
		delay:   firstDelay,
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

// RecordSent counts a call as under way.
func (tracker *Tracker) RecordSent(name string) { tracker.target(name).inFlight++ }

// RecordAnswer records the latency of a call that ended with an answer.
func (tracker *Tracker) RecordAnswer(name string, latency time.Duration) {
	target := tracker.target(name)
	target.inFlight--
	target.silent = 0
	target.downTill, target.downSpan = time.Time{}, 0
	target.sample(latency)
	_ = tracker.history.Current.RecordValue(min(max(latency.Microseconds(), 1), maxMicrosecond))
	tracker.counted++
	if tracker.counted%(windowSamples/8) == 0 || tracker.counted == fewSamples {
		tracker.learn()
	}
	if tracker.counted%windowSamples == 0 {
		tracker.history.Rotate()
	}
}

// RecordAbandoned records a call that was cancelled after a time: its latency is at least that. A target that lets several
// calls in a row come to this counts as down.
func (tracker *Tracker) RecordAbandoned(name string, after time.Duration, now time.Time) {
	target := tracker.target(name)
	target.inFlight--
	if after > target.average {
		target.sample(after)
	}
	target.silent++
	if target.silent >= silentCalls {
		target.down(now)
	}
}

// RecordRefused records a call that ended without being run and says nothing on latency.
func (tracker *Tracker) RecordRefused(name string) { tracker.target(name).inFlight-- }

// RecordUnreachable records a call that could not be made, and avoids the target for a growing while.
func (tracker *Tracker) RecordUnreachable(name string, now time.Time) {
	target := tracker.target(name)
	target.inFlight--
	target.down(now)
}

// down avoids a target for a while that doubles with each failure in a row.
func (target *targetState) down(now time.Time) {
	if now.Before(target.downTill) {
		return
	}
	target.downSpan = min(max(downSpan, target.downSpan*2), maxDownSpan)
	target.downTill = now.Add(target.downSpan)
}

// MarkLeaving records that a target takes no new work.
func (tracker *Tracker) MarkLeaving(name string, now time.Time) {
	tracker.target(name).leaving = now.Add(leavingSpan)
}

func (target *targetState) sample(latency time.Duration) {
	if target.samples == 0 {
		target.average = latency
	}
	target.samples++
	target.average += time.Duration(alpha * float64(latency-target.average))
}

func (tracker *Tracker) learn() {
	merged := tracker.history.Merge()
	if merged.TotalCount() < fewSamples {
		return
	}
	quantile := time.Duration(merged.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
	tracker.delay = max(leastDelay, quantile)
}

// HedgeDelay returns how long a call may take before it is hedged.
func (tracker *Tracker) HedgeDelay() time.Duration { return tracker.delay }

// Rank returns the replicas, best first; those that are leaving are left out unless all are.
func (tracker *Tracker) Rank(replicas []string, now time.Time) []string {
	order := slices.DeleteFunc(slices.Clone(replicas), func(name string) bool {
		return now.Before(tracker.target(name).leaving)
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

// compare puts targets that can be reached first, then those that are clearly faster, then those with fewer calls.
func (tracker *Tracker) compare(a, b string, now time.Time) int {
	first, second := tracker.target(a), tracker.target(b)
	firstDown, secondDown := now.Before(first.downTill), now.Before(second.downTill)
	if firstDown != secondDown {
		if firstDown {
			return 1
		}
		return -1
	}
	if slower(first, second) {
		return 1
	}
	if slower(second, first) {
		return -1
	}
	return cmp.Compare(first.inFlight, second.inFlight)
}

// slower reports whether a target's calls clearly take longer than another's.
func slower(a, b *targetState) bool {
	return float64(a.average) > slowerFactor*float64(b.average) && a.average > leastDelay
}

// NextProbe returns an avoided replica that is due for one call to learn whether it has recovered.
func (tracker *Tracker) NextProbe(chosen string, replicas []string, now time.Time) (string, bool) {
	for _, name := range replicas {
		target := tracker.target(name)
		if name == chosen || now.Before(target.leaving) || target.samples == 0 && target.downSpan == 0 {
			continue
		}
		avoided := target.downSpan > 0 || slower(target, tracker.target(chosen))
		if avoided && !now.Before(target.downTill) && now.Sub(target.probed) >= probeInterval {
			target.probed = now
			return name, true
		}
	}
	return "", false
}

// Retain forgets the targets that a function does not name, but for those with calls under way.
func (tracker *Tracker) Retain(keep func(string) bool) {
	for name, target := range tracker.targets {
		if !keep(name) && target.inFlight <= 0 {
			delete(tracker.targets, name)
		}
	}
}

// TargetView is what is known of one target, for dumps.
type TargetView struct {
	Target   string
	Average  time.Duration
	InFlight int
	Down     bool
	Leaving  bool
}

// View returns what is known of every target, by name.
func (tracker *Tracker) View(now time.Time) []TargetView {
	var views []TargetView
	for name, target := range tracker.targets {
		views = append(views, TargetView{name, target.average, target.inFlight,
			now.Before(target.downTill), now.Before(target.leaving)})
	}
	slices.SortFunc(views, func(a, b TargetView) int { return cmp.Compare(a.Target, b.Target) })
	return views
}
