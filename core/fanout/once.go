package fanout

// permit allows one call of a part; only permitCall issues it.
type permit struct{ part *partState }

// permitCall decides on each call of a part, on every way to one: a request that is not idempotent gets none while another call of the part is in
// flight or may have run. Callers ask earlier whether they may hedge or retry, so that a call prevented here is a fault.
func (run *Run) permitCall(part *partState) (permit, bool) {
	if !run.spec.Idempotent && (part.inFlight > 0 || part.possibleRuns > 0) {
		run.preventedCalls++
		return permit{}, false
	}
	return permit{part}, true
}

// add adds a part to a call.
func (call *call) add(permit permit) {
	part := permit.part
	call.parts = append(call.parts, part)
	part.calls = append(part.calls, call)
	part.inFlight++
	part.tries++
}

// countExtra counts a call if it is an extra one.
func (run *Run) countExtra(extra bool) {
	if extra {
		run.extraCalls++
	}
}

// PreventedCalls returns the number of calls that were not made because the request must run once. Each shows a fault of this package.
func (run *Run) PreventedCalls() int { return run.preventedCalls }
