package fanout

import (
	"maps"
	"slices"
	"strings"
	"time"

	"poplarpin.dev/core/place"
)

const (
	callTimeDivisor = 8        // a VM offloads calls that would take its processor more than objective/callTimeDivisor, and relays share them
	minRelayedParts = 3        // for fewer parts, direct calls are cheaper than a message to a relay
	relayPrefix     = "relay/" // prefix of the service names and route names of relays in a fleet
)

// RelayService returns the service name under which a fleet lists the VMs of a failure domain.
func RelayService(failureDomain string) string { return relayPrefix + failureDomain }

// IsRelayService reports whether a fleet lists VMs under a service name, so that no target may have it.
func IsRelayService(service string) bool { return strings.HasPrefix(service, relayPrefix) }

// baselineRoute returns the route name whose baseline latency applies to the call.
func (call *call) baselineRoute(route string) string {
	if call.viaRelay {
		return relayPrefix + route
	}
	return route
}

// relayKind returns the kind of the request's relayed calls.
func (spec Spec) relayKind() place.RelayKind {
	if spec.Gather {
		return place.MergedCalls
	}
	return place.NamedCalls
}

// relayParts relays parts to VMs of the failure domains with the best targets. A VM that is short of CPU also offloads parts whose best
// target is in its own failure domain to a larger VM there. It returns the actions and the set of relayed parts.
func (run *Run) relayParts(now time.Time) ([]Action, map[int]bool) {
	relayed := map[int]bool{}
	if !run.spec.Gather {
		return nil, relayed
	}
	byDomain := map[string][]int{}
	offload := run.spec.Objective > 0 &&
		run.shared.Fleet.ShouldOffload(now, len(run.parts), run.spec.Objective/callTimeDivisor, RelayService(run.shared.Fleet.FailureDomain()))
	for i := range run.parts {
		if len(run.parts[i].calls) > 0 {
			continue
		}
		for _, domain := range run.shared.Fleet.BestAllowedFailureDomains(now, run.parts[i].service, run.spec.Route, offload, run.spec.Regions.Allows) {
			byDomain[domain] = append(byDomain[domain], i)
		}
	}
	var actions []Action
	for len(byDomain) > 0 {
		domain := run.domainWithMostParts(byDomain, relayed)
		parts := remaining(byDomain[domain], relayed)
		delete(byDomain, domain)
		if len(parts) < minRelayedParts {
			break
		}
		relays := run.chooseRelays(now, domain, len(parts))
		for i, vm := range relays {
			share := parts[i*len(parts)/len(relays) : (i+1)*len(parts)/len(relays)]
			actions = append(actions, run.startRelay(now, vm, share)...)
			for _, part := range share {
				relayed[part] = true
			}
		}
	}
	return append(actions, run.relayLimitedParts(now, relayed)...), relayed
}

// chooseRelays returns the VMs of a failure domain that share the calls for some parts: as many as it takes for each to spend at most
// objective/callTimeDivisor of its processor on them, but none with less than half of the cores of the best. It returns none if the best
// VM does not answer.
func (run *Run) chooseRelays(now time.Time, domain string, parts int) []place.Endpoint {
	var relays []place.Endpoint
	chosen := run.shared.Fleet.UnfitRelays(now, place.MergedCalls, RelayService(domain), domain)
	for needed := 1; len(relays) < needed; {
		vm, ok := run.shared.Fleet.Choose(now, RelayService(domain), relayPrefix+run.spec.Route, chosen)
		if !ok || run.shared.Fleet.Stuck(now, vm.ID) || len(relays) > 0 && vm.Cores < relays[0].Cores/2 {
			break
		}
		if len(relays) == 0 && run.spec.Objective > 0 {
			needed = min(place.VMsForCalls(parts, vm.Cores, run.spec.Objective/callTimeDivisor), parts/minRelayedParts)
		}
		relays, chosen = append(relays, vm), append(chosen, vm.ID)
	}
	return relays
}

// domainWithMostParts returns the failure domain that can serve the most of the remaining parts; ties are broken at random.
func (run *Run) domainWithMostParts(byDomain map[string][]int, relayed map[int]bool) string {
	domains := slices.Sorted(maps.Keys(byDomain))
	first := run.shared.Fleet.RandomIntN(len(domains))
	best, most := "", -1
	for i := range domains {
		domain := domains[(first+i)%len(domains)]
		if count := len(remaining(byDomain[domain], relayed)); count > most {
			best, most = domain, count
		}
	}
	return best
}

func remaining(parts []int, relayed map[int]bool) []int {
	var rest []int
	for _, i := range parts {
		if !relayed[i] {
			rest = append(rest, i)
		}
	}
	return rest
}

// startRelay sends parts to a relay. The relay chooses the targets, so a part counts as an attempt at a target only where the relay's
// failure domain has a single one for it.
func (run *Run) startRelay(now time.Time, vm place.Endpoint, indices []int) []Action {
	var permits []permit
	for _, i := range indices {
		if permit, ok := run.permitCall(&run.parts[i]); ok {
			permits = append(permits, permit)
		}
	}
	if len(permits) == 0 {
		return nil
	}
	call := run.newRelayedCall(now, vm)
	relay := Relay{Call: call.index, VM: vm, ReportAfter: run.reportAfter(now)}
	for _, permit := range permits {
		call.add(permit)
		i := permit.part.index
		relay.Parts = append(relay.Parts, i)
		if target, ok := run.shared.Fleet.OnlyUsable(now, permit.part.service, vm.FailureDomain); ok {
			call.targetAttempts[i] = run.shared.Fleet.StartRelayedAttempt(now, target, run.spec.Route, vm.FailureDomain)
		}
	}
	return []Action{relay}
}

// newRelayedCall adds a call without parts to a relay.
func (run *Run) newRelayedCall(now time.Time, vm place.Endpoint) *call {
	run.shared.Fleet.SetObjective(relayPrefix+run.spec.Route, run.spec.Objective)
	call := &call{index: len(run.calls), viaRelay: true, endpoint: vm, started: now,
		targetAttempts: map[int]*place.Attempt{}, attempt: run.shared.Fleet.StartAttempt(now, vm.ID, relayPrefix+run.spec.Route)}
	run.calls = append(run.calls, call)
	return call
}

// reportAfter returns how long a relay that is asked now waits for all parts before it reports the ones it has.
func (run *Run) reportAfter(now time.Time) time.Duration {
	baseline := run.shared.Fleet.Baseline(run.spec.Route)
	return run.hedgeTime(baseline, slowCallDelay(baseline), now).Sub(now)
}

// RelayReport records a report of a relay. If it answers parts, merged is the index by which Deliver refers to its results, else -1.
func (run *Run) RelayReport(now time.Time, index int, report Report) (merged int, actions []Action) {
	merged, actions = run.relayReport(now, index, report)
	return merged, run.takeForwards(now, actions)
}

func (run *Run) relayReport(now time.Time, index int, report Report) (merged int, actions []Action) {
	if index < 0 || index >= len(run.calls) || !run.calls[index].viaRelay {
		return -1, nil
	}
	call := run.calls[index]
	if call.ended {
		return -1, nil
	}
	call.reported = true
	call.recordReport(now, run.shared.Fleet, report)
	if run.finished {
		call.ended = call.ended || report.Final
		return -1, nil
	}
	merged = run.recordMerged(now, call, report.Answered, &actions)
	for _, missing := range report.Missing {
		if part := call.removePart(missing.Part); part != nil {
			run.targetLost = run.targetLost || missing.Outcome == Lost
			if missing.Outcome == Failed {
				part.failedCall = call
			}
			actions = append(actions, run.retryMissing(now, part, call.chargedOutcome(call.worstOutcome(missing)))...)
		}
	}
	if report.Final {
		actions = append(actions, run.endRelay(now, call, Lost)...)
	} else if report.Early {
		actions = append(actions, run.hedge(now, call)...)
	}
	if !call.ended && len(call.parts) == 0 { // what the relay still waits for was answered by hedges
		call.ended = true
		actions = append(actions, run.cancelCall(now, call))
	}
	return merged, append(actions, run.finishIfDone(now)...)
}

// recordReport updates the fleet's view of a relay and of the targets that it called.
func (call *call) recordReport(now time.Time, fleet *place.Fleet, report Report) {
	if call.forwarded != nil && report.Final && len(call.forwarded) == len(report.Missing) && !slices.ContainsFunc(report.Missing, made) {
		call.attempt.InvalidAnswer(now) // the relay has made no call
	}
	call.attempt.Answered(now)   // only the first report counts as the latency of the relay
	reached := map[string]bool{} // by failure domain
	for _, missing := range report.Missing {
		reached[call.domainOf(missing.Part)] = missing.Outcome != Unreached
	}
	for _, part := range report.Answered {
		reached[call.domainOf(part)] = true
	}
	for domain, reached := range reached {
		fleet.RelayReached(now, call.endpoint.ID, domain, reached)
	}
	for i, part := range report.Answered {
		call.endForwarded(part, Answered)
		if attempt := call.targetAttempts[part]; attempt != nil && i < len(report.Latencies) {
			attempt.AnsweredAfter(now, report.Latencies[i])
		}
	}
	for _, missing := range report.Missing {
		call.endForwarded(missing.Part, missing.Outcome)
		attempt := call.targetAttempts[missing.Part]
		switch {
		case attempt == nil:
		case call.forwarded != nil && missing.Outcome == NoCapacity:
			attempt.Declined(now)
		default:
			recordOutcome(now, attempt, missing.Outcome)
		}
	}
}

// made reports whether a relay has tried to call a target for a missing part, or would have if its budget allowed it.
func made(missing Missing) bool { return !missing.Outcome.declined() || missing.Outcome == Unpaid }

// domainOf returns the failure domain of the target of a relayed part.
func (call *call) domainOf(part int) string {
	if forwarded := call.forwarded[part]; forwarded != nil {
		return forwarded.target.FailureDomain
	}
	return call.endpoint.FailureDomain
}

// recordMerged records the parts that one report answers and returns the index of a call that represents their merged results, or -1 if
// there are none or the report is unusable. The results replace answers to single parts, since results that the relay has merged can't be
// separated.
func (run *Run) recordMerged(now time.Time, call *call, answered []int, actions *[]Action) int {
	for _, i := range answered {
		if i < 0 || i >= len(run.parts) || !call.includes(&run.parts[i]) || run.parts[i].answeredBy.isMerged() {
			return -1 // a part of another call or a duplicate makes the whole report unusable
		}
	}
	if len(answered) == 0 {
		return -1
	}
	merged := call.copy(len(run.calls))
	run.calls = append(run.calls, merged)
	for _, i := range answered {
		part := &run.parts[i]
		if call.removePart(i) != nil {
			part.inFlight--
			part.possibleRuns++
		}
		merged.parts = append(merged.parts, part)
		run.recordAnswer(now, part, merged)
		*actions = append(*actions, run.cancelPart(now, part)...)
	}
	return merged.index
}

// isMerged reports whether a call represents the merged results of several parts.
func (call *call) isMerged() bool { return call != nil && call.viaRelay && len(call.parts) > 1 }

// includes reports whether a call was made for a part, even if the part was removed from it since.
func (call *call) includes(part *partState) bool { return slices.Contains(part.calls, call) }

// discardTargetAttempts ends the attempts of a relayed call whose outcome will not become known.
func (call *call) discardTargetAttempts() {
	for _, attempt := range call.targetAttempts {
		attempt.Discard()
	}
}

// withdrawAttempts ends the attempts of a call that was not sent.
func (call *call) withdrawAttempts() {
	call.attempt.Withdraw()
	for _, attempt := range call.targetAttempts {
		attempt.Withdraw()
	}
}

// copy returns an ended call that represents the results of one report.
func (call *call) copy(index int) *call {
	answered := *call
	answered.index, answered.parts, answered.ended, answered.outcome = index, nil, true, Answered
	return &answered
}

// removePart removes a part from a relayed call and returns it, or nil if the call does not cover it.
func (call *call) removePart(index int) *partState {
	for i, part := range call.parts {
		if part.index == index {
			call.parts = slices.Delete(call.parts, i, i+1)
			return part
		}
	}
	return nil
}

// retryMissing records that a relay did not answer a part, and retries it if allowed.
func (run *Run) retryMissing(now time.Time, part *partState, outcome Outcome) []Action {
	part.inFlight--
	if outcome.possiblyRan() {
		part.possibleRuns++
	}
	if part.answeredBy != nil {
		return nil
	}
	part.lastOutcome = outcome
	return run.retry(now, part, outcome)
}

// endRelay ends a relayed call and retries its remaining parts.
func (run *Run) endRelay(now time.Time, call *call, outcome Outcome) []Action {
	outcome = call.chargedOutcome(outcome)
	call.ended, call.outcome = true, outcome
	call.discardTargetAttempts()
	var actions []Action
	for _, part := range slices.Clone(call.parts) {
		call.endForwarded(part.index, outcome)
		actions = append(actions, run.retryMissing(now, part, outcome)...)
	}
	call.parts = nil
	return actions
}

// RelayFailed records that a relayed call failed, so that no further reports follow.
func (run *Run) RelayFailed(now time.Time, index int, outcome Outcome) []Action {
	return run.takeForwards(now, run.relayFailed(now, index, outcome))
}

func (run *Run) relayFailed(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(run.calls) || !run.calls[index].viaRelay {
		return nil
	}
	call := run.calls[index]
	recordOutcome(now, call.attempt, outcome)
	if call.ended {
		return nil
	}
	if run.finished {
		call.ended = true
		call.discardTargetAttempts()
		return nil
	}
	if call.reported && (outcome == Undelivered || !outcome.possiblyRan()) {
		outcome = Lost // the message has arrived
	}
	if outcome == Refused {
		outcome = NoCapacity // the relay refused, not a target
	}
	actions := run.endRelay(now, call, outcome)
	return append(actions, run.finishIfDone(now)...)
}
