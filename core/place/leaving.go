package place

import (
	"slices"
	"time"
)

const (
	defaultDrainDelay = 2 * time.Second        // the drain delay where the settings have none
	departedStateTTL  = 10 * time.Minute       // the state of a removed incarnation is kept for this time, longer than any pause
	maxHintedPause    = time.Second            // another VM's hint lowers the preference for a paused target for this time at most
	leavingPenalty    = 5 * time.Second        // added to the cost of a leaving target; below downPenalty, as it is preferred to one that is down
	hintedPenalty     = 400 * time.Millisecond // added to the cost of a target that is said to have asked for a pause; above deprioritizedPenalty
	maxHintMillis     = 1_000_000_000          // hints with a longer time than this are invalid
)

// LeavingHint tells other VMs that a target is leaving.
type LeavingHint struct {
	Target           string `json:"server"`
	Address          string `json:"address"`
	StartedUnixMilli int64  `json:"born,omitempty"`
	AgeMillis        int64  `json:"age"` // since the target said so
}

// PauseHint tells other VMs that a target wants no requests for some time.
type PauseHint struct {
	Target           string `json:"server"`
	Address          string `json:"address"`
	StartedUnixMilli int64  `json:"born,omitempty"`
	LeftMillis       int64  `json:"left"` // until the end of the pause
}

// Valid reports whether a decoded hint is usable.
func (hint LeavingHint) Valid() bool {
	return hint.Target != "" && hint.AgeMillis >= 0 && hint.AgeMillis <= maxHintMillis
}

// Valid reports whether a decoded hint is usable.
func (hint PauseHint) Valid() bool {
	return hint.Target != "" && hint.LeftMillis >= 0 && hint.LeftMillis <= maxHintMillis
}

// SetMaxDrainDelay sets the time within which a leaving target must get no more requests; 0 restores the default.
func (fleet *Fleet) SetMaxDrainDelay(delay time.Duration) {
	if delay <= 0 {
		delay = defaultDrainDelay
	}
	fleet.maxDrainDelay = delay
}

// markLeaving records that a target has been leaving for some time.
func (fleet *Fleet) markLeaving(now time.Time, target Endpoint, state *reportedState, age time.Duration) bool {
	since := now.Add(-age)
	if !state.leavingSince.IsZero() {
		if since.Before(state.leavingSince) {
			state.leavingSince = since
		}
		return false
	}
	state.leavingSince = since
	fleet.recordChange(target, "leaving", fleet.maxDrainDelay/2-age)
	if age == 0 {
		fleet.addHint(target.ID)
	}
	return true
}

// pause records that a target wants no requests for some time. Pauses are never shortened, since answers may arrive out of order.
func (fleet *Fleet) pause(now time.Time, target Endpoint, state *reportedState, left time.Duration) {
	if until := now.Add(left); until.After(state.pausedUntil) {
		if !now.Before(state.pausedUntil) {
			fleet.recordChange(target, "paused", left)
			fleet.addHint(target.ID)
		}
		state.pausedUntil = until
	}
}

// addHint notes a target that other VMs should hear of.
func (fleet *Fleet) addHint(id string) {
	if len(fleet.hints) < maxPendingObservations && !slices.Contains(fleet.hints, id) {
		fleet.hints = append(fleet.hints, id)
	}
}

// Hints describe the present state of some targets to other VMs.
type Hints struct {
	Leaving []LeavingHint `json:"leaving,omitempty"`
	Paused  []PauseHint   `json:"paused,omitempty"`
	Limited []LimitHint   `json:"limited,omitempty"`
}

// Empty reports whether there are no hints.
func (hints Hints) Empty() bool { return len(hints.Leaving)+len(hints.Paused)+len(hints.Limited) == 0 }

// HasHints reports whether hints wait to be shared.
func (fleet *Fleet) HasHints() bool { return len(fleet.hints) > 0 }

// TakeHints returns the targets that have said something of themselves since the last call that other VMs should hear of, and clears the list.
func (fleet *Fleet) TakeHints() []string {
	hints := fleet.hints
	fleet.hints = nil
	return hints
}

// Hints returns the hints that describe the present state of some targets.
func (fleet *Fleet) Hints(now time.Time, targets []string) Hints {
	var hints Hints
	for _, id := range targets {
		if endpoint, ok := fleet.endpoints[id]; ok {
			hints.add(now, endpoint)
		}
	}
	return hints
}

// AllHints returns the hints that describe the present state of all targets, for a VM that may have missed earlier ones.
func (fleet *Fleet) AllHints(now time.Time) Hints {
	var hints Hints
	for _, endpoint := range fleet.endpoints {
		if endpoint.leaves() || now.Before(endpoint.reported.pausedUntil) || endpoint.reported.limit.holds {
			hints.add(now, endpoint)
		}
	}
	return hints
}

// add adds the hints on one endpoint.
func (hints *Hints) add(now time.Time, endpoint *trackedEndpoint) {
	state := endpoint.reported
	if !state.leavingSince.IsZero() {
		hints.Leaving = append(hints.Leaving, LeavingHint{endpoint.ID, endpoint.Address, endpoint.StartedUnixMilli, max(now.Sub(state.leavingSince), 0).Milliseconds()})
	}
	until := state.pausedUntil
	if state.hintedPauseUntil.After(until) {
		until = state.hintedPauseUntil
	}
	if left := until.Sub(now).Milliseconds(); left > 0 {
		hints.Paused = append(hints.Paused, PauseHint{endpoint.ID, endpoint.Address, endpoint.StartedUnixMilli, left})
	}
	if limit, ok := endpoint.limitHint(now); ok {
		hints.Limited = append(hints.Limited, limit)
	}
}

// ApplyLeavingHint applies a hint of another VM and reports whether it was news.
func (fleet *Fleet) ApplyLeavingHint(now time.Time, hint LeavingHint) bool {
	endpoint, ok := fleet.hinted(hint.Target, hint.Address, hint.StartedUnixMilli)
	return ok && fleet.markLeaving(now, endpoint.Endpoint, endpoint.reported, max(time.Duration(hint.AgeMillis)*time.Millisecond, time.Millisecond))
}

// ApplyPauseHint applies a hint of another VM and reports whether it was news.
func (fleet *Fleet) ApplyPauseHint(now time.Time, hint PauseHint) bool {
	endpoint, ok := fleet.hinted(hint.Target, hint.Address, hint.StartedUnixMilli)
	if !ok {
		return false
	}
	news := !now.Before(endpoint.reported.hintedPauseUntil)
	endpoint.reported.hintedPauseUntil = now.Add(min(time.Duration(hint.LeftMillis)*time.Millisecond, maxHintedPause))
	return news
}

// hinted returns the target that a hint is about, if the incarnation is the known one.
func (fleet *Fleet) hinted(id, address string, startedUnixMilli int64) (*trackedEndpoint, bool) {
	endpoint, ok := fleet.endpoints[id]
	if !ok || endpoint.Peer || endpoint.Address != address || endpoint.StartedUnixMilli != startedUnixMilli {
		return nil, false
	}
	return endpoint, true
}

// left reports whether a target has been leaving for so long that it must get no more calls.
func (fleet *Fleet) left(now time.Time, state *reportedState) bool {
	return !state.leavingSince.IsZero() && now.Sub(state.leavingSince) >= fleet.maxDrainDelay/2
}

// leaves reports whether an endpoint is leaving.
func (endpoint *trackedEndpoint) leaves() bool { return !endpoint.reported.leavingSince.IsZero() }

// MayStop reports whether a target may stop as planned: it is leaving or draining, or its entry is gone.
func (fleet *Fleet) MayStop(id string) bool {
	endpoint, ok := fleet.endpoints[id]
	return !ok || endpoint.State != Ready || endpoint.leaves() || !endpoint.missingSince.IsZero()
}

// hasStaying reports whether a service has an endpoint in reach that can be called, is not down and is not leaving.
func (fleet *Fleet) hasStaying(now time.Time, service string, outOfReach []string) bool {
	return slices.ContainsFunc(fleet.services[service], func(endpoint *trackedEndpoint) bool {
		return !endpoint.leaves() && fleet.directlyCallable(now, endpoint) && !endpoint.down(now, Direct) &&
			!slices.Contains(outOfReach, endpoint.ID)
	})
}

// NextPauseEnd returns the earliest end of a pause of a service's targets, or of the time until this VM's share of a target's limit allows a
// call, if none of its targets can be called until then except those in outOfReach, and reports whether that is so.
func (fleet *Fleet) NextPauseEnd(now time.Time, service string, outOfReach []string) (end time.Time, ok bool) {
	for _, endpoint := range fleet.services[service] {
		if slices.Contains(outOfReach, endpoint.ID) {
			continue
		}
		if fleet.callable(now, endpoint) {
			wait, usedUp := fleet.untilShare(now, endpoint)
			if !usedUp {
				return time.Time{}, false
			}
			if until := now.Add(wait); !ok || until.Before(end) {
				end, ok = until, true
			}
			continue
		}
		until := endpoint.reported.pausedUntil
		if now.Before(until) && endpoint.State == Ready && !fleet.isEvacuated(endpoint) && !endpoint.displaced && !fleet.left(until, endpoint.reported) && (!ok || until.Before(end)) {
			end, ok = until, true
		}
	}
	return end, ok
}
