package gateway

import "go.uber.org/zap"

// callPreventer is a state machine that prevents calls which would run a request twice.
type callPreventer interface{ PreventedCalls() int }

// newlyPrevented returns how many calls of a job have been prevented since it was last asked; the caller holds mu.
func (job *job) newlyPrevented() int {
	preventer, ok := job.machine.(callPreventer)
	if !ok {
		return 0
	}
	before := job.preventedCalls
	job.preventedCalls = preventer.PreventedCalls()
	return job.preventedCalls - before
}

// reportPrevented counts and logs prevented calls: each shows a fault of this build, which the state machine was able to contain.
func (job *job) reportPrevented(calls int) {
	if calls == 0 {
		return
	}
	callCounts.Add("prevented", int64(calls))
	job.gateway.log.Error("second call of a request that must run once prevented", zap.String("request", truncate(job.request.ID)),
		zap.String("route", job.route.Name), zap.Int("calls", calls))
}
