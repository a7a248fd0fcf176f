package gateway

import "go.uber.org/zap"

// callStopper is a state machine that stops calls which would run a request twice.
type callStopper interface{ StoppedCalls() int }

// newlyStopped returns how many calls of a job have been stopped since it was last asked; the caller holds mu.
func (job *job) newlyStopped() int {
	stopper, ok := job.machine.(callStopper)
	if !ok {
		return 0
	}
	before := job.stoppedCalls
	job.stoppedCalls = stopper.StoppedCalls()
	return job.stoppedCalls - before
}

// reportStopped counts and logs stopped calls: each shows a fault of this build, which the state machine was able to contain.
func (job *job) reportStopped(calls int) {
	if calls == 0 {
		return
	}
	callCounts.Add("stopped", int64(calls))
	job.gateway.log.Error("second call of a request that must run once stopped", zap.String("request", truncate(job.request.ID)),
		zap.String("route", job.route.Name), zap.Int("calls", calls))
}
