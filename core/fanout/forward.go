package fanout

import (
	"math"
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

// reportShare is the part of the time until a partial answer is due after which a VM reports the results of calls that it makes for this one.
const reportShare = 0.67

// ForwardReason is why another VM calls a target that this VM has chosen.
type ForwardReason string

// Reasons for forwarded calls.
const (
	TargetUnreached  ForwardReason = "unreached"  // this VM does not reach the target
	ConnectionNeeded ForwardReason = "connection" // a hedge of this VM would need a new connection
	BudgetSpent      ForwardReason = "budget"     // this VM's budget of extra calls is spent, the other VM's pays
)

// forwarded is a part of a relayed call whose target this VM chose.
type forwarded struct {
	target  place.Endpoint
	cause   string  // of the call, see Send.Reason
	outcome Outcome // empty while the part is in flight
}

// chosen is a target and, if another VM must make the call, that VM.
type chosen struct {
	target place.Endpoint
	relay  place.Endpoint
	path   place.Path
}

// choose returns the target for the next call of a part: the best one that this VM reaches itself, else one that another VM reaches. If this
// VM's own calls to a target fail, it is chosen only if no other VM can be asked.
func (run *Run) choose(now time.Time, part *partState, exclude, excludeForwarded []string) (chosen, bool) {
	direct, ok := run.chooseTarget(now, part.service, exclude)
	if ok && !run.shared.Fleet.Down(now, direct.ID) {
		return chosen{target: direct}, true
	}
	if forward, found := run.chooseForwarded(now, part, excludeForwarded); found {
		return forward, true
	}
	return chosen{target: direct}, ok
}

// declined reports whether a relay did not make a call, so that another VM may be asked for the same one.
func (outcome Outcome) declined() bool {
	return outcome == NoCapacity || outcome == Unreached || outcome == Unpaid
}

// chooseForwarded returns a target of a part and the VM that should call it.
func (run *Run) chooseForwarded(now time.Time, part *partState, exclude []string) (chosen, bool) {
	fleet := run.shared.Fleet
	exclude = slices.Clone(exclude)
	for {
		target, ok := fleet.ChooseRelayed(now, part.service, run.spec.Route, exclude, run.outOfReach(part.service))
		if !ok {
			return chosen{}, false
		}
		if relay, ok := run.chooseRelay(now, part, target.FailureDomain); ok {
			return chosen{target, relay, place.Relayed}, true
		}
		exclude = append(exclude, fleet.EndpointIDs(part.service, target.FailureDomain)...) // no VM reaches that failure domain
	}
}

// chooseRelay returns the VM that should call a target of a failure domain for a part: one that gets a message in this step anyway, if it has
// room for the part.
func (run *Run) chooseRelay(now time.Time, part *partState, failureDomain string) (place.Endpoint, bool) {
	asked := part.relays()
	for _, unsent := range run.unsent {
		if unsent.near == failureDomain && len(unsent.parts) < run.maxForwardedParts(unsent.endpoint) && !slices.Contains(asked, unsent.endpoint.ID) {
			return unsent.endpoint, true
		}
	}
	return run.shared.Fleet.ChooseRelay(now, run.spec.relayKind(), relayPrefix+run.spec.Route, failureDomain, asked, run.spec.Regions.Allows)
}

// maxForwardedParts returns how many calls for this request a VM may be asked for in one message.
func (run *Run) maxForwardedParts(vm place.Endpoint) int {
	if run.spec.Objective <= 0 {
		return math.MaxInt
	}
	return max(place.CallsWithin(run.spec.Objective/callTimeDivisor, vm.Cores), minRelayedParts)
}

// relays returns the VMs that were asked to call targets for a part.
func (part *partState) relays() []string {
	var names []string
	for _, call := range part.calls {
		if call.viaRelay {
			names = append(names, call.endpoint.ID)
		}
	}
	return names
}

// forward adds a part to the message that asks a VM to call a target, and reports whether it may. It is sent at the end of the step, see takeForwards.
func (run *Run) forward(now time.Time, part *partState, chosen chosen, reason ForwardReason, cause string) bool {
	permit, ok := run.permitCall(part)
	if !ok {
		return false
	}
	i := slices.IndexFunc(run.unsent, func(unsent *call) bool {
		return unsent.endpoint.ID == chosen.relay.ID && unsent.near == chosen.target.FailureDomain && unsent.reason == reason
	})
	if i < 0 {
		i = len(run.unsent)
		call := run.newRelayedCall(now, chosen.relay)
		call.near, call.reason, call.forwarded = chosen.target.FailureDomain, reason, map[int]*forwarded{}
		run.unsent = append(run.unsent, call)
	}
	call := run.unsent[i]
	call.forwarded[part.index] = &forwarded{target: chosen.target, cause: cause}
	call.targetAttempts[part.index] = run.shared.Fleet.StartRelayedAttempt(now, chosen.target.ID, run.spec.Route, chosen.relay.FailureDomain)
	call.add(permit)
	return true
}

// takeForwards adds the messages to other VMs that a step has filled to its actions.
func (run *Run) takeForwards(now time.Time, actions []Action) []Action {
	unsent := run.unsent
	run.unsent = nil
	for _, call := range unsent {
		if run.finished || call.ended {
			continue
		}
		relay := Relay{Call: call.index, VM: call.endpoint, Reason: call.reason, ReportAfter: run.reportAfter(now)}
		if left := run.answerBy.Sub(now); left > 0 { // the report should be here before a partial answer is due
			relay.ReportAfter = min(relay.ReportAfter, max(time.Duration(reportShare*float64(left)), minHedgeDelay))
		}
		for _, part := range call.parts {
			relay.Parts = append(relay.Parts, part.index)
			forwarded := call.forwarded[part.index]
			relay.Targets, relay.Causes = append(relay.Targets, forwarded.target.ID), append(relay.Causes, forwarded.cause)
		}
		actions = append(actions, relay)
	}
	return actions
}

// partOutcome returns the outcome of a call for a part, and reports whether it has ended.
func (call *call) partOutcome(part *partState) (Outcome, bool) {
	if forwarded := call.forwarded[part.index]; forwarded != nil {
		return forwarded.outcome, forwarded.outcome != ""
	}
	return call.outcome, call.ended
}

// endForwarded records the outcome of a part whose call was forwarded. If a relay contradicts itself, the outcome counts that may have run.
func (call *call) endForwarded(part int, outcome Outcome) {
	if forwarded := call.forwarded[part]; forwarded != nil && (forwarded.outcome == "" || outcome.possiblyRan() && !forwarded.outcome.possiblyRan()) {
		forwarded.outcome = outcome
	}
}

// worstOutcome returns the outcome of a missing part: its latest report, unless an earlier one says that the forwarded call may have run.
func (call *call) worstOutcome(missing Missing) Outcome {
	if forwarded := call.forwarded[missing.Part]; forwarded != nil && forwarded.outcome.possiblyRan() {
		return forwarded.outcome
	}
	return missing.Outcome
}

// tried returns the targets that the next call of a part must not go to, for calls of this VM and for forwarded ones: a target that may have
// processed the part, has it in flight or could not be reached on that path. After a refusal, only the next call must go elsewhere.
func (run *Run) tried(part *partState) (direct, forwarded []string) {
	for i, earlier := range part.calls {
		last := i == len(part.calls)-1
		if earlier.viaRelay && earlier.forwarded == nil {
			if last { // the relay has chosen the target
				targets := run.possibleTargets(earlier, part)
				direct, forwarded = append(direct, targets...), append(forwarded, targets...)
			}
			continue
		}
		target := earlier.targetOf(part)
		outcome, ended := earlier.partOutcome(part)
		switch {
		case !ended || outcome.possiblyRan():
			direct, forwarded = append(direct, target), append(forwarded, target)
		case outcome == Refused:
			if last {
				direct, forwarded = append(direct, target), append(forwarded, target)
			}
		case earlier.viaRelay:
			if !outcome.declined() {
				forwarded = append(forwarded, target)
			}
		case outcome != NoCapacity || last:
			direct = append(direct, target)
		}
	}
	return direct, forwarded
}

// targetOf returns the target of a call for a part; the call must not be relayed to a target of the relay's choice.
func (call *call) targetOf(part *partState) string {
	if forwarded := call.forwarded[part.index]; forwarded != nil {
		return forwarded.target.ID
	}
	return call.endpoint.ID
}
