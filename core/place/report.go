package place

import (
	"time"
)

const (
	reportLifetime  = 250 * time.Millisecond // the weight of a load report falls from 1 to 0 over this time
	slowPacePercent = 200                    // calls to a target that reports this pace are hedged early
	maxStateChanges = 256                    // at most this many changes wait for TakeStateChanges; more are dropped
)

// LoadReport is what a target says of its load in an answer.
type LoadReport struct {
	Running     int     // requests that it processes
	Waiting     int     // requests that wait there
	Slots       int     // requests that it processes at the same time without slowing down; 0 if it does not say
	PacePercent float64 // duration of work there now, in percent of the usual one; 0 if it does not say
}

// TargetReport is what a target says of itself in one answer.
type TargetReport struct {
	Load     *LoadReport // nil if it does not say
	Leaving  bool
	PauseFor time.Duration  // for which it wants no requests; 0 for none
	ColdFor  *time.Duration // for which it answers slowly after its start; nil if it does not say

	CallLimit   *float64  // requests a second that it takes from all VMs together; nil if it names no limit
	NoCallLimit bool      // it surely names no limit, so that one that it named before has ended
	AskedAt     time.Time // when the call was sent; an answer to an older call does not end a limit
}

// incarnation identifies one run of a target.
type incarnation struct {
	id               string
	address          string
	startedUnixMilli int64
}

func incarnationOf(endpoint Endpoint) incarnation {
	return incarnation{endpoint.ID, endpoint.Address, endpoint.StartedUnixMilli}
}

// reportedState is what an incarnation of a target has said of itself.
type reportedState struct {
	load             LoadReport
	loadAt           time.Time // zero for no load report
	leavingSince     time.Time // zero if it is not leaving
	pausedUntil      time.Time
	hintedPauseUntil time.Time // another VM got the pause; it only lowers the preference for the target
	coldState
	limit limitState
}

// StateChange is a change of what a target said of itself, for logs and metrics.
type StateChange struct {
	Target  string
	Service string
	State   string // "leaving", "paused", "cold", "warm", "limited" or "unlimited"
	Left    time.Duration
	Limit   float64 // requests a second that a limited target takes from all VMs together
}

// ApplyReport records what a target said of itself in an answer. A target that was removed, restarted or moved since keeps the report
// under its former incarnation.
func (fleet *Fleet) ApplyReport(now time.Time, target Endpoint, report TargetReport) {
	if report == (TargetReport{}) || target.Peer {
		return
	}
	state := fleet.stateOf(target)
	if report.Load != nil {
		state.load, state.loadAt = *report.Load, now
	}
	if report.Leaving {
		fleet.markLeaving(now, target, state, 0)
	}
	if report.PauseFor > 0 {
		fleet.pause(now, target, state, report.PauseFor)
	}
	if report.ColdFor != nil {
		state.setCold(now, *report.ColdFor)
	}
	fleet.noteLimit(now, target, state, report)
}

// stateOf returns what an incarnation of a target has said of itself, which outlasts its entry.
func (fleet *Fleet) stateOf(target Endpoint) *reportedState {
	key := incarnationOf(target)
	if found, ok := fleet.endpoints[target.ID]; ok && incarnationOf(found.Endpoint) == key {
		return found.reported
	}
	state, ok := fleet.departed[key]
	if !ok {
		state = &reportedState{}
		fleet.departed[key] = state
	}
	return state
}

// keepState keeps what a removed endpoint has said of itself, for the case that its entry comes back.
func (fleet *Fleet) keepState(removed *trackedEndpoint) {
	state := removed.reported
	if !removed.Peer && (!state.leavingSince.IsZero() || !state.pausedUntil.IsZero() || state.fromAnswer || !state.assumedStart.IsZero() ||
		!state.limit.reportedAt.IsZero()) {
		fleet.departed[incarnationOf(removed.Endpoint)] = removed.reported
	}
}

// takeState returns the state of an endpoint that is added to the fleet.
func (fleet *Fleet) takeState(added Endpoint) *reportedState {
	key := incarnationOf(added)
	if state, ok := fleet.departed[key]; ok {
		delete(fleet.departed, key)
		return state
	}
	return &reportedState{}
}

// forgetStates drops what removed incarnations have said of themselves once it has no more effect.
func (fleet *Fleet) forgetStates(now time.Time) {
	for key, state := range fleet.departed {
		last := state.loadAt
		for _, at := range []time.Time{state.leavingSince, state.pausedUntil, state.hintedPauseUntil, state.warmAt, state.assumedStart, state.limit.reportedAt} {
			if at.After(last) {
				last = at
			}
		}
		if now.Sub(last) > departedStateTTL {
			delete(fleet.departed, key)
		}
	}
}

// weight returns the weight of the load report, which falls linearly with its age.
func (state *reportedState) weight(now time.Time) float64 {
	age := max(now.Sub(state.loadAt), 0)
	if state.loadAt.IsZero() || age >= reportLifetime {
		return 0
	}
	return 1 - float64(age)/float64(reportLifetime)
}

// reportedQueue raises the queue that calls show, in multiples of the endpoint's slots, towards the reported one.
func (endpoint *trackedEndpoint) reportedQueue(now time.Time, queue float64) float64 {
	weight := endpoint.reported.weight(now)
	if weight == 0 {
		return queue
	}
	slots := endpoint.reported.load.Slots
	if slots == 0 {
		slots = max(endpoint.Slots, 1)
	}
	load := &endpoint.reported.load
	return queue + weight*max(float64(load.Running+load.Waiting)/float64(slots)-queue, 0)
}

// reportedSlowness raises the slowness that calls show towards the reported pace. A lower pace takes at most half of the excess over 1,
// and only if no slow call ended within reportLifetime before the report, so that a report never outweighs calls.
func (endpoint *trackedEndpoint) reportedSlowness(now time.Time, slowness float64) float64 {
	weight, pace := endpoint.reported.weight(now), endpoint.reported.load.PacePercent/100
	switch {
	case weight == 0 || pace == 0:
		return slowness
	case pace >= slowness:
		return slowness + weight*(min(pace, maxSlowness)-slowness)
	case slowness > 1 && endpoint.reported.loadAt.Sub(endpoint.lastSlowCall) >= reportLifetime:
		return max(1+(slowness-1)*(1-weight/2), pace)
	}
	return slowness
}

// ReportedSlow reports whether the newest load report of an endpoint has a pace of at least slowPacePercent and was fresh at some time
// since a call to it started, and the time of the report.
func (fleet *Fleet) ReportedSlow(id string, started time.Time) (at time.Time, slow bool) {
	endpoint, ok := fleet.endpoints[id]
	if !ok || endpoint.reported.load.PacePercent < slowPacePercent {
		return time.Time{}, false
	}
	at = endpoint.reported.loadAt
	return at, at.Add(reportLifetime).After(started)
}

// recordChange keeps a change of state for TakeStateChanges.
func (fleet *Fleet) recordChange(target Endpoint, state string, left time.Duration) {
	fleet.keepChange(StateChange{Target: target.ID, Service: target.Service, State: state, Left: left})
}

func (fleet *Fleet) keepChange(change StateChange) {
	if len(fleet.stateChanges) < maxStateChanges {
		fleet.stateChanges = append(fleet.stateChanges, change)
	}
}

// TakeStateChanges returns the changes of state since the last call and clears them.
func (fleet *Fleet) TakeStateChanges() []StateChange {
	changes := fleet.stateChanges
	fleet.stateChanges = nil
	return changes
}
