package budget

import "time"

// Window is the length of the sliding window in which calls and extra calls are counted.
const Window = 10 * time.Second

const (
	windowSpan   = Window
	bucketSpan   = 100 * time.Millisecond
	bucketCount  = int(windowSpan / bucketSpan)
	burstBuckets = 10 // a burst of extra calls is limited to the tokens that the calls of this many buckets add
	// A burst up to this many calls may use all that the window allows: a VM with a request a second would otherwise hold two or three, and
	// miss the others when targets turn slow. Larger bursts slow down the targets that are sound.
	smallBurst = 8.0
)

type bucket struct {
	tick       int64
	calls      int
	extraCalls int
}

// Budget is a token bucket for extra calls, filled by first calls and by the slack that each window grants, that also limits the extra
// calls in a sliding window.
type Budget struct {
	fraction float64
	slack    float64
	tokens   float64
	refilled time.Time // when tokens last got their share of the slack
	origin   time.Time // start of tick 0; keeps the monotonic clock reading, if the times have one, so that clock changes have no effect
	ring     [bucketCount]bucket
}

// New returns a budget that allows extra calls up to a fraction of first calls.
func New(fraction float64) *Budget { return &Budget{fraction: fraction} }

// SetFraction sets the ratio of extra calls to first calls.
func (budget *Budget) SetFraction(fraction float64) { budget.fraction = fraction }

// SetSlack sets the number of extra calls that any window allows beyond the fraction.
func (budget *Budget) SetSlack(calls float64) {
	budget.tokens = max(0, budget.tokens+calls-budget.slack)
	budget.slack = calls
}

// RecordCalls records first calls, which add tokens up to the burst limit.
func (budget *Budget) RecordCalls(now time.Time, calls int) {
	budget.refill(now)
	budget.bucketAt(now).calls += calls
	recent, _ := budget.sum(now, burstBuckets)
	window, _ := budget.sum(now, bucketCount)
	burst := max(1, budget.slack, budget.fraction*float64(recent), min(smallBurst, budget.slack+budget.fraction*float64(window)))
	budget.tokens = min(burst, budget.tokens+budget.fraction*float64(calls))
}

// Spend takes tokens for extra calls and reports whether the budget allows them. If not, it takes none.
func (budget *Budget) Spend(now time.Time, extra int) bool {
	budget.refill(now)
	calls, spent := budget.sum(now, bucketCount)
	if budget.tokens < float64(extra) || float64(spent+extra) > budget.fraction*float64(calls)+budget.slack {
		return false
	}
	budget.tokens -= float64(extra)
	budget.bucketAt(now).extraCalls += extra
	return true
}

// refill adds the slack of the time since the last call: each window grants the slack anew, also to a service with few calls.
func (budget *Budget) refill(now time.Time) {
	if elapsed := now.Sub(budget.refilled); !budget.refilled.IsZero() && elapsed > 0 {
		granted := budget.slack * float64(elapsed) / float64(Window)
		budget.tokens = max(budget.tokens, min(budget.tokens+granted, max(1, budget.slack)))
	}
	budget.refilled = now
}

// WindowCounts returns the first calls and extra calls in the window that ends now.
func (budget *Budget) WindowCounts(now time.Time) (calls, extra int) {
	return budget.sum(now, bucketCount)
}

// tickOf returns the number of bucket spans from the origin to now.
func (budget *Budget) tickOf(now time.Time) int64 {
	if budget.origin.IsZero() {
		budget.origin = now.Add(-windowSpan)
	}
	return int64(now.Sub(budget.origin) / bucketSpan)
}

func (budget *Budget) bucketAt(now time.Time) *bucket {
	tick := budget.tickOf(now)
	bucket := &budget.ring[tick%int64(bucketCount)]
	if bucket.tick != tick {
		bucket.tick, bucket.calls, bucket.extraCalls = tick, 0, 0
	}
	return bucket
}

// sum returns the first calls and extra calls in the given number of latest buckets.
func (budget *Budget) sum(now time.Time, buckets int) (calls, extra int) {
	tick := budget.tickOf(now)
	for i := range budget.ring {
		if bucket := &budget.ring[i]; bucket.tick > tick-int64(buckets) && bucket.tick <= tick {
			calls += bucket.calls
			extra += bucket.extraCalls
		}
	}
	return calls, extra
}
