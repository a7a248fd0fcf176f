package stop

import "time"

// RemovalTime is how long the load balancer takes to remove a VM that is not ready: it polls each second and removes it after two failures.
const RemovalTime = 2500 * time.Millisecond

const (
	defaultGrace = 6 * time.Second        // the process is killed after this time where the settings do not say
	maxExitTime  = 300 * time.Millisecond // for ending the process before it is killed
	maxWriteTime = 200 * time.Millisecond // for writing the last answers before the process ends
	exitDivisor  = 5                      // of the grace, for ending the process if that is less than maxExitTime
	writeDivisor = 10                     // of the grace, for writing the last answers if that is less than maxWriteTime
	minTimeLeft  = 20 * time.Millisecond  // a request needs this time, however fast its route is
)

// Stop is a planned stop of a VM.
type Stop struct {
	began time.Time
	grace time.Duration
}

// New returns a stop; the process is killed once the grace has passed, which is 0 if the settings do not say.
func New(began time.Time, grace time.Duration) *Stop {
	if grace <= 0 {
		grace = defaultGrace
	}
	return &Stop{began: began, grace: grace}
}

// RemovedAt returns when the load balancer has taken the VM out of its rotation, at the latest half way through the grace.
func (stop *Stop) RemovedAt() time.Time {
	return stop.began.Add(min(RemovalTime, stop.grace/2))
}

// ExitAt returns when the process ends at the latest.
func (stop *Stop) ExitAt() time.Time {
	return stop.began.Add(stop.grace - min(maxExitTime, stop.grace/exitDivisor))
}

// AnswerBy returns when the last requests are answered, with the results so far.
func (stop *Stop) AnswerBy() time.Time {
	return stop.ExitAt().Add(-min(maxWriteTime, stop.grace/writeDivisor))
}

// Request describes a request before its first call.
type Request struct {
	Timeout    time.Duration // the time that its client and its route allow
	P95        time.Duration // of the calls of its route
	Gather     bool
	Idempotent bool
}

// TimeNeeded returns the time within which the request is most probably served. A gathered one may wait for a second call of a part. One that is
// not idempotent has twice the usual time, as its client cannot repair an unknown outcome by sending it again.
func (request Request) TimeNeeded() time.Duration {
	needed := request.P95
	if request.Gather || !request.Idempotent {
		needed *= 2
	}
	return min(max(needed, minTimeLeft), request.Timeout)
}

// Takes reports whether a request is likely to be answered before the stop ends it.
func (stop *Stop) Takes(now time.Time, request Request) bool {
	return stop.AnswerBy().Sub(now) >= request.TimeNeeded()
}
