package budget

import "time"

// Window is the span over which calls and extra calls are counted.
const Window = 10 * time.Second

const (
	window     = Window
	bucketSpan = 100 * time.Millisecond
	buckets    = int(window / bucketSpan)
	burstSpan  = 10 // buckets whose calls may be answered by one burst of extra calls
)

type bucket struct {
	tick  int64
	calls int
	extra int
}

// Budget counts calls and extra calls in a sliding window and is spent as tokens that calls earn.
type Budget struct {
	fraction float64
	slack    float64
	tokens   float64
	origin   time.Time // from which ticks are counted, on the steady clock where the times carry it
	ring     [buckets]bucket
}

// New returns a budget of extra calls as a fraction of calls.
func New(fraction float64) *Budget { return &Budget{fraction: fraction} }

// SetFraction changes the fraction.
func (budget *Budget) SetFraction(fraction float64) { budget.fraction = fraction }

// SetSlack allows some extra calls in any window beyond the fraction.
func (budget *Budget) SetSlack(calls float64) {
	budget.tokens = max(0, budget.tokens+calls-budget.slack)
	budget.slack = calls
}

// RecordCalls counts first calls, which earn tokens.
func (budget *Budget) RecordCalls(now time.Time, calls int) {
	budget.at(now).calls += calls
	recent, _ := budget.sum(now, burstSpan)
	burst := max(1, budget.slack, budget.fraction*float64(recent))
	budget.tokens = min(burst, budget.tokens+budget.fraction*float64(calls))
}

// Spend takes tokens for extra calls and reports whether there were enough.
func (budget *Budget) Spend(now time.Time, extra int) bool {
	calls, spent := budget.sum(now, buckets)
	if budget.tokens < float64(extra) || float64(spent+extra) > budget.fraction*float64(calls)+budget.slack {
		return false
	}
	budget.tokens -= float64(extra)
	budget.at(now).extra += extra
	return true
}

// WindowCounts returns the calls and extra calls in the window that ends now.
func (budget *Budget) WindowCounts(now time.Time) (calls, extra int) { return budget.sum(now, buckets) }

// tick returns the number of the bucket of a time.
func (budget *Budget) tick(now time.Time) int64 {
	if budget.origin.IsZero() {
		budget.origin = now.Add(-window)
	}
	return int64(now.Sub(budget.origin) / bucketSpan)
}

func (budget *Budget) at(now time.Time) *bucket {
	tick := budget.tick(now)
	bucket := &budget.ring[tick%int64(buckets)]
	if bucket.tick != tick {
		bucket.tick, bucket.calls, bucket.extra = tick, 0, 0
	}
	return bucket
}

func (budget *Budget) sum(now time.Time, span int) (calls, extra int) {
	tick := budget.tick(now)
	for i := range budget.ring {
		if bucket := &budget.ring[i]; bucket.tick > tick-int64(span) && bucket.tick <= tick {
			calls += bucket.calls
			extra += bucket.extra
		}
	}
	return calls, extra
}
