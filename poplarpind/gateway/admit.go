package gateway

import (
	"maps"
	"strconv"
	"time"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/route"
)

const (
	maxLimiters     = 64                    // at this number the limiters without requests are dropped before another is created
	maxCountedDelay = 20 * time.Millisecond // a response later than this was waiting for more parts, so its delay is not counted
	delayDecay      = 0.95                  // applied to responseDelay at each response whose delay is counted
	maxDelayDivisor = 8                     // responseDelay is at most the objective divided by this
)

// limiter returns the limiter of a route that gathers, nil for other routes; routes with the same first shard share one. The caller
// holds mu.
func (gateway *Gateway) limiter(matched *route.Route) *admit.Limiter {
	gather, ok := matched.Destination.(route.Gather)
	if !ok {
		return nil
	}
	key := gather.Shards[0]
	limiter, ok := gateway.limiters[key]
	if !ok {
		if len(gateway.limiters) >= maxLimiters {
			maps.DeleteFunc(gateway.limiters, func(_ string, limiter *admit.Limiter) bool { return limiter.InFlight() == 0 })
		}
		limiter = admit.New()
		gateway.limiters[key] = limiter
	}
	return limiter
}

// admit decides whether to accept a request; if not, it returns when the client should retry. The limiter that admitted the request, nil
// for routes without one, must be told of its end.
func (gateway *Gateway) admit(matched *route.Route, account *route.Account) (limiter *admit.Limiter, ok bool, retryAfter time.Duration) {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	limiter = gateway.limiter(matched)
	if limiter == nil {
		return nil, true, 0
	}
	ok, retryAfter = limiter.Admit(classOf(matched, account))
	return limiter, ok, retryAfter
}

// classOf returns the admission class of an account's requests on a route; account is nil for requests without one.
func classOf(matched *route.Route, account *route.Account) admit.Class {
	class := admit.Class{Name: matched.Name, Priority: matched.EffectivePriority(account)}
	if class.Priority != matched.Priority {
		class.Name += "@" + strconv.Itoa(class.Priority)
	}
	return class
}

// release ends a request and reports to the limiter that admitted it whether it saw congestion.
func (gateway *Gateway) release(job *job) {
	now := time.Now()
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	gateway.recordDelay(now, job)
	if job.limiter != nil {
		job.limiter.Done(now, classOf(job.route, job.account).Name, job.clientRun.Congested(now))
	}
}

// recordDelay records how much later than planned a response near its objective was sent, as happens on a VM short of CPU. Other
// responses neither raise responseDelay nor let it decay. The caller holds mu.
func (gateway *Gateway) recordDelay(now time.Time, job *job) {
	if job.route.Objective <= 0 {
		return
	}
	delay := now.Sub(job.started) - (job.route.Objective - job.margin - gateway.responseDelay)
	if delay < 0 || delay > maxCountedDelay {
		return // sent before the planned time, or after waiting for more parts
	}
	gateway.responseDelay = min(max(time.Duration(float64(gateway.responseDelay)*delayDecay), delay), job.route.Objective/maxDelayDivisor)
}
