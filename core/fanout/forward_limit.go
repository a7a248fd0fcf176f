package fanout

import (
	"time"

	"golang.org/x/time/rate"

	"poplarpin.dev/core/place"
)

const (
	forwardShare = 0.5                    // a VM spends this share of its processor on calls for VMs that do not reach targets
	forwardBurst = 250 * time.Millisecond // a VM may make the calls of this time at once
)

// ForwardLimit bounds the calls that a VM makes for VMs that do not reach the targets, so that its own callers keep their share.
type ForwardLimit struct{ calls *rate.Limiter }

// NewForwardLimit returns the limit of a VM with this number of processor cores, 0 for unknown.
func NewForwardLimit(cores float64) *ForwardLimit {
	if cores <= 0 {
		return &ForwardLimit{rate.NewLimiter(rate.Inf, 0)}
	}
	perSecond := forwardShare * float64(place.CallsWithin(time.Second, cores))
	return &ForwardLimit{rate.NewLimiter(rate.Limit(perSecond), int(perSecond*forwardBurst.Seconds()))}
}

// Allow reports whether the VM makes this many calls now, and counts them. A message with more calls than fit in a burst is allowed while
// the limit has not been used.
func (forwardLimit *ForwardLimit) Allow(now time.Time, calls int) bool {
	if forwardLimit.calls.Limit() != rate.Inf {
		calls = min(calls, forwardLimit.calls.Burst())
	}
	return forwardLimit.calls.AllowN(now, calls)
}
