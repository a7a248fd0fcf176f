package fanout

import (
	"math"
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

// earlyHedgeAt returns when to hedge a call whose target reports that work takes at least twice as long as usual, and reports whether it does.
func (run *Run) earlyHedgeAt(baseline *place.Baseline, call *call) (time.Time, bool) {
	if call.viaRelay || call.noEarlyHedge {
		return time.Time{}, false
	}
	reported, slow := run.shared.Fleet.ReportedSlow(call.endpoint.ID, call.started)
	at := call.started.Add(max(baseline.Median()*3/2, minHedgeDelay))
	if reported.After(at) {
		at = reported
	}
	return at, slow
}

// postponeHedge reports whether an early hedge of a call would go to a target that reports to be slow too, so that it waits for the usual
// time of a hedge. The empty id stands for no target.
func (run *Run) postponeHedge(now time.Time, slow *call, alternative string) bool {
	baseline := run.shared.Fleet.Baseline(run.spec.Route)
	if _, early := run.earlyHedgeAt(baseline, slow); !early {
		return false
	}
	if _, alsoSlow := run.shared.Fleet.ReportedSlow(alternative, now); alternative != "" && !alsoSlow {
		return false
	}
	slow.noEarlyHedge = true
	return now.Before(run.hedgeTime(baseline, slowCallDelay(baseline), slow.started))
}

// pausedBeyond reports whether all targets that a part may be sent to have paused until after the given time.
func (run *Run) pausedBeyond(now time.Time, part *partState, at time.Time) bool {
	end, paused := run.shared.Fleet.NextPauseEnd(now, part.service, run.outOfReach(part.service))
	return paused && end.After(at)
}

// retryAfter returns the delay that is sent to refused clients: if so many parts have no target but paused ones that the others do not suffice
// for an answer, the time until enough of the pauses have ended, else noTargetRetryAfter.
func (run *Run) retryAfter(now time.Time) (delay time.Duration, paused bool) {
	var ends []time.Time
	available := 0 // parts that are answered or have a target
	for i := range run.parts {
		part := &run.parts[i]
		if part.answeredBy != nil {
			available++
		} else if end, paused := run.shared.Fleet.NextPauseEnd(now, part.service, run.outOfReach(part.service)); paused {
			ends = append(ends, end)
		} else if !part.exhausted || len(part.calls) > 0 {
			available++
		}
	}
	lacking := run.minParts() - available
	if lacking <= 0 || lacking > len(ends) {
		return noTargetRetryAfter, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[lacking-1].Sub(now), true
}

// minParts returns the number of parts that an answer needs.
func (run *Run) minParts() int {
	if !run.spec.Gather {
		return 1
	}
	return max(int(math.Ceil(run.spec.MinCoverage*float64(len(run.parts))-coverageTolerance)), 1)
}

// relayLimitedParts relays the parts whose targets this VM may not call itself because they are cold or name a limit, to VMs with a share of
// the calls that those targets take. It adds the parts to the relayed ones.
func (run *Run) relayLimitedParts(now time.Time, relayed map[int]bool) []Action {
	fleet := run.shared.Fleet
	var actions []Action
	for i := range run.parts {
		service := run.parts[i].service
		if relayed[i] || len(run.parts[i].calls) > 0 {
			continue
		}
		for _, domain := range fleet.LimitedDomains(now, service, run.outOfReach(service)) {
			vm, ok := fleet.Choose(now, RelayService(domain), relayPrefix+run.spec.Route, fleet.VMsWithoutShare(now, service, domain))
			if ok && !fleet.Stuck(now, vm.ID) {
				actions, relayed[i] = append(actions, run.startRelay(now, vm, []int{i})...), true
				break
			}
		}
	}
	return actions
}
