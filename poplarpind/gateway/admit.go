package gateway

import (
	"maps"
	"strconv"
	"time"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/route"
	"poplarpin.dev/platform"
)

const (
	maxLimiters     = 64                    // at this number the limiters or pacers without requests are dropped before another is created
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
	now := time.Now()
	limiter = gateway.limiter(matched)
	if limiter == nil {
		gateway.retryPacer(matched).Begin(now)
		return nil, true, 0
	}
	ok, retryAfter = limiter.AdmitFrom(now, classOf(matched, account), gateway.admissionAccount(account))
	return limiter, ok, retryAfter
}

// retryPacer returns the pacer of a route without a limiter. One with requests in flight is kept. The caller holds mu.
func (gateway *Gateway) retryPacer(matched *route.Route) *admit.RetryPacer {
	pacer, ok := gateway.retryPacers[matched.Name]
	if !ok {
		if len(gateway.retryPacers) >= maxLimiters {
			maps.DeleteFunc(gateway.retryPacers, func(_ string, pacer *admit.RetryPacer) bool { return pacer.InFlight() == 0 })
		}
		pacer = &admit.RetryPacer{}
		gateway.retryPacers[matched.Name] = pacer
	}
	return pacer
}

// admissionAccount returns the account as which a request is admitted, nil if the configuration has none. All requests without an account
// count as one.
func (gateway *Gateway) admissionAccount(account *route.Account) *admit.Account {
	if account == nil {
		if table := gateway.table.Load(); table == nil || !table.HasAccounts() {
			return nil
		}
		return &admit.Account{Weight: 1}
	}
	if account.RequestsPerSecond <= 0 {
		return &admit.Account{Name: account.Name, Weight: 1}
	}
	return &admit.Account{Name: account.Name, Weight: account.RequestsPerSecond}
}

// refusal returns the answer to a request that was admitted and then refused without having run.
func (gateway *Gateway) refusal(job *job, refuse fanout.Refuse) platform.Refusal {
	retryAfter := refuse.RetryAfter
	if refuse.Busy {
		retryAfter = gateway.refuseStarted(job)
	}
	return platform.Refusal{RetryAfter: gateway.retryAfter(retryAfter), Reason: refuse.Reason}
}

// refuseStarted returns when the client of a job should retry whose calls were refused by targets.
func (gateway *Gateway) refuseStarted(job *job) time.Duration {
	gateway.mu.Lock()
	defer gateway.mu.Unlock()
	if job.limiter == nil {
		return gateway.retryPacer(job.route).RefuseStarted(time.Now())
	}
	return job.limiter.RefuseStarted(time.Now(), classOf(job.route, job.account).Name)
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
	if job.limiter == nil {
		gateway.retryPacer(job.route).End(now)
	} else {
		job.limiter.Done(now, classOf(job.route, job.account).Name, job.clientRun.Congested(now))
	}
}

// recordDelay records how much later than planned a response near its objective was sent, as happens on a VM short of CPU. Other
// responses neither raise responseDelay nor let it decay. The caller holds mu.
func (gateway *Gateway) recordDelay(now time.Time, job *job) {
	if job.route.Objective <= 0 {
		return
	}
	planned := max(job.route.Objective-job.margin-gateway.responseDelay, job.route.Objective/2) // as in fanout.New
	delay := now.Sub(job.started) - planned
	if delay < 0 || delay > maxCountedDelay {
		return // sent before the planned time, or after waiting for more parts
	}
	gateway.responseDelay = min(max(time.Duration(float64(gateway.responseDelay)*delayDecay), delay), job.route.Objective/maxDelayDivisor)
}
