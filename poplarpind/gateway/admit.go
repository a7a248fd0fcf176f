package gateway

import (
	"time"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/route"
)

const (
	maxLimiters     = 64                    // limiters kept, one per set of shards
	maxDelay        = 20 * time.Millisecond // of a response sent when planned; a later response was waiting for more parts
	delayDecay      = 0.95                  // per response sent near its objective
	maxDelayDivisor = 8                     // the delay counts for at most this part of the objective
)

// limiter returns the limiter for the shards that a route gathers from, nil for other routes; the caller holds mu.
func (gateway *Gateway) limiter(matched *route.Route) *admit.Limiter {
	gather, ok := matched.Destination.(route.Gather)
	if !ok {
		return nil
	}
	key := gather.Shards[0]
	limiter, ok := gateway.limiters[key]
	if !ok {
		if len(gateway.limiters) >= maxLimiters {
			clear(gateway.limiters)
		}
		limiter = admit.New()
		gateway.limiters[key] = limiter
	}
	return limiter
}

// admit decides whether to accept a request; if not, it returns when the client should retry.
func (gateway *Gateway) admit(matched *route.Route) (ok bool, retryAfter time.Duration) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	limiter := gateway.limiter(matched)
	if limiter == nil {
		return true, 0
	}
	return limiter.Admit(admit.Class{Name: matched.Name, Priority: matched.Priority})
}

// release ends a request and reports to the limiter whether it saw congestion.
func (gateway *Gateway) release(job *job) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.recordDelay(now, job)
	if limiter := gateway.limiter(job.route); limiter != nil {
		limiter.Done(now, job.route.Name, job.clientRun.Congested(now))
	}
}

// recordDelay records how much later than planned a response near its objective was sent, as happens on a VM short of CPU;
// the caller holds mu.
func (gateway *Gateway) recordDelay(now time.Time, job *job) {
	if job.route.Objective <= 0 {
		return
	}
	delay := now.Sub(job.started) - (job.route.Objective - networkMargin - gateway.responseDelay)
	if delay < 0 || delay > maxDelay {
		return // complete before the planned time, or held back for more parts
	}
	gateway.responseDelay = min(max(time.Duration(float64(gateway.responseDelay)*delayDecay), delay), job.route.Objective/maxDelayDivisor)
}
