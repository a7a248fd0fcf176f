package admit

import (
	"math"
	"time"
)

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	paceMemory    = 4 * time.Second // time constant with which ends and time in flight are forgotten
	assumedRate   = 10.0            // requests per second that end, until the first has ended
	goldenRatio   = 0.6180339887498949
)

// RetryPacer spreads the returns of refused clients by the rate at which requests really end.
//
// A client that is refused while n refused clients have not come back yet is told to come back after n+1 more requests have ended at the
// present rate. Each end frees the place of one request, and n of these places are for the clients that come back earlier. So a client
// that returns at its time finds room, unless requests that were not refused before arrive first or the rate falls.
//
// The rate is the number of requests in flight over the mean time that a request spends in flight, so that it holds too when a burst
// follows a quiet time in which few requests ended.
type RetryPacer struct {
	inFlight   int
	refused    int       // requests in flight that targets refused; they end without having held a place
	ended      float64   // requests that ended, decaying
	occupancy  float64   // seconds that requests spent in flight, decaying
	updated    time.Time // time up to which occupancy is counted
	lastReturn time.Time // latest time at which a refused client was told to come back
	overflow   float64   // position in [0, 1) of the latest client whose return would be later than maxRetryAfter
}

// advance counts the time in flight up to now.
func (pacer *RetryPacer) advance(now time.Time) {
	elapsed := now.Sub(pacer.updated)
	if elapsed <= 0 {
		return
	}
	if !pacer.updated.IsZero() {
		decay := math.Exp(-elapsed.Seconds() / paceMemory.Seconds())
		pacer.ended *= decay
		pacer.occupancy = pacer.occupancy*decay + float64(pacer.inFlight)*paceMemory.Seconds()*(1-decay)
	}
	pacer.updated = now
}

// Begin records the start of a request.
func (pacer *RetryPacer) Begin(now time.Time) {
	pacer.advance(now)
	pacer.inFlight++
}

// End records the end of a request.
func (pacer *RetryPacer) End(now time.Time) {
	pacer.advance(now)
	pacer.inFlight--
	if pacer.refused > 0 {
		pacer.refused--
		return
	}
	pacer.ended++
}

// InFlight returns the number of requests in flight.
func (pacer *RetryPacer) InFlight() int { return pacer.inFlight }

// RefuseStarted returns when the client of a request in flight should retry that targets refused. The end of that request does not count
// towards the rate, which would otherwise rise with the refusals.
func (pacer *RetryPacer) RefuseStarted(now time.Time) time.Duration {
	pacer.advance(now)
	pacer.refused++
	return pacer.retryAfter(now, 1, pacer.rate())
}

// rate returns the number of requests that end per second at the present number in flight, 0 if it is not known.
func (pacer *RetryPacer) rate() float64 {
	if pacer.ended <= 0 || pacer.occupancy <= 0 {
		return 0
	}
	return float64(pacer.inFlight-pacer.refused) * pacer.ended / pacer.occupancy
}

// retryAfter returns when a client should retry that finds room once ends more requests have ended and the clients refused before have
// come back. Returns later than maxRetryAfter are spread over the second half of it, since clients sent back at one time would arrive
// together.
func (pacer *RetryPacer) retryAfter(now time.Time, ends int, rate float64) time.Duration {
	if rate <= 0 {
		rate = assumedRate
	}
	gap := min(1/rate, maxRetryAfter.Seconds())
	wait := max(float64(ends)*gap, minRetryAfter.Seconds(), pacer.lastReturn.Sub(now).Seconds()+gap)
	if wait > maxRetryAfter.Seconds() {
		_, pacer.overflow = math.Modf(pacer.overflow + goldenRatio)
		return maxRetryAfter/2 + time.Duration(pacer.overflow*float64(maxRetryAfter/2))
	}
	delay := time.Duration(wait * float64(time.Second))
	pacer.lastReturn = now.Add(delay)
	return delay
}
