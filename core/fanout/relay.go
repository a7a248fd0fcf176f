package fanout

import (
	"maps"
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

const (
	sendPart     = 8        // of the objective that a VM's own calls may take of its processor
	leastRelayed = 3        // parts that make a message to a relay cheaper than calls of their own
	relayPrefix  = "relay/" // of the services under which a fleet knows the VMs of a failure domain
)

// RelayService returns the service under which a fleet knows the VMs of a failure domain.
func RelayService(domain string) string { return relayPrefix + domain }

// route returns the name under which a fleet knows how long calls like this one take.
func (call *call) route(name string) string {
	if call.relay {
		return relayPrefix + name
	}
	return name
}

// relay hands the parts that have no good server in this failure domain to VMs of domains that have one. It returns the
// actions, and which parts are taken care of.
func (run *Run) relay(now time.Time) ([]Action, map[int]bool) {
	taken := map[int]bool{}
	if !run.spec.Gather {
		return nil, taken
	}
	byDomain := map[string][]int{}
	burdened := run.spec.Objective > 0 &&
		run.shared.Fleet.ShouldOffload(now, len(run.parts), run.spec.Objective/sendPart, RelayService(run.shared.Fleet.FailureDomain()))
	for i := range run.parts {
		for _, domain := range run.shared.Fleet.BestFailureDomains(now, run.parts[i].service, run.spec.Route, burdened) {
			byDomain[domain] = append(byDomain[domain], i)
		}
	}
	var actions []Action
	for len(byDomain) > 0 {
		domain := run.widest(byDomain, taken)
		parts := left(byDomain[domain], taken)
		delete(byDomain, domain)
		if len(parts) < leastRelayed {
			break
		}
		vm, ok := run.shared.Fleet.Choose(now, RelayService(domain), relayPrefix+run.spec.Route, nil)
		if !ok || run.shared.Fleet.Stuck(now, vm.ID) {
			continue
		}
		actions = append(actions, run.hand(now, vm, parts))
		for _, i := range parts {
			taken[i] = true
		}
	}
	return actions, taken
}

// widest returns the failure domain that can take most of the parts that are left; equal ones by chance.
func (run *Run) widest(byDomain map[string][]int, taken map[int]bool) string {
	domains := slices.Sorted(maps.Keys(byDomain))
	first := run.shared.Fleet.RandomIntN(len(domains))
	best, most := "", -1
	for i := range domains {
		domain := domains[(first+i)%len(domains)]
		if count := len(left(byDomain[domain], taken)); count > most {
			best, most = domain, count
		}
	}
	return best
}

func left(parts []int, taken map[int]bool) []int {
	var rest []int
	for _, i := range parts {
		if !taken[i] {
			rest = append(rest, i)
		}
	}
	return rest
}

// hand gives parts to a relay.
func (run *Run) hand(now time.Time, vm place.Endpoint, indices []int) Action {
	run.shared.Fleet.SetObjective(relayPrefix+run.spec.Route, run.spec.Objective)
	made := &call{index: len(run.calls), relay: true, server: vm, started: now,
		shadows: map[int]*place.Attempt{}, flight: run.shared.Fleet.StartAttempt(now, vm.ID, relayPrefix+run.spec.Route)}
	run.calls = append(run.calls, made)
	for _, i := range indices {
		part := &run.parts[i]
		made.parts = append(made.parts, part)
		part.calls = append(part.calls, made)
		part.pending++
		part.tries++
		if there := run.shared.Fleet.EndpointIDs(part.service, vm.FailureDomain); len(there) > 0 {
			made.shadows[i] = run.shared.Fleet.StartAttempt(now, there[0], run.spec.Route)
		}
	}
	typical := run.shared.Fleet.Baseline(run.spec.Route)
	return Relay{Call: made.index, VM: vm, Parts: indices, ReportAfter: run.hedgeBy(typical, typical.P95(), now).Sub(now)}
}

// RelayReport takes a report of a relay. Where it brought parts, bundle is the index under which Deliver names what it brought.
func (run *Run) RelayReport(now time.Time, index int, report Report) (bundle int, actions []Action) {
	if index < 0 || index >= len(run.calls) || !run.calls[index].relay {
		return -1, nil
	}
	call := run.calls[index]
	if call.ended {
		return -1, nil
	}
	call.flight.Answered(now) // the first report counts
	for i, part := range report.Answered {
		if shadow := call.shadows[part]; shadow != nil && i < len(report.Latencies) {
			shadow.AnsweredAfter(now, report.Latencies[i])
		}
	}
	bundle = run.bundle(now, call, report.Answered, &actions)
	for _, missing := range report.Missing {
		if shadow := call.shadows[missing.Part]; shadow != nil {
			note(now, shadow, missing.Outcome)
		}
		if part := call.release(missing.Part); part != nil {
			actions = append(actions, run.miss(now, part, missing.Outcome)...)
		}
	}
	if report.Final {
		actions = append(actions, run.lose(now, call, Lost)...)
	} else if report.Early {
		actions = append(actions, run.hedge(now, call)...)
	}
	return bundle, append(actions, run.settle(now)...)
}

// bundle records the parts that a report brought together. They count also over an answer of their own, as what the relay
// merged cannot be taken apart.
func (run *Run) bundle(now time.Time, call *call, brought []int, actions *[]Action) int {
	for _, i := range brought {
		if i < 0 || i >= len(run.parts) || !call.took(&run.parts[i]) || run.parts[i].won != nil && run.parts[i].won.relay {
			return -1 // it is not of this call, or came before: nothing of the report can be used
		}
	}
	if len(brought) == 0 {
		return -1
	}
	made := call.copy(len(run.calls))
	run.calls = append(run.calls, made)
	for _, i := range brought {
		part := &run.parts[i]
		if call.release(i) != nil {
			part.pending--
			part.runs++
		}
		made.parts = append(made.parts, part)
		run.win(now, part, made)
		*actions = append(*actions, run.drop(now, part)...)
	}
	return made.index
}

// took reports whether a relay's call was made for a part.
func (call *call) took(part *shard) bool { return slices.Contains(part.calls, call) }

// forget ends what a relay's call still had at servers, of which nothing more is heard.
func (call *call) forget() {
	for _, shadow := range call.shadows {
		shadow.Unsent()
	}
}

// copy returns an ended call that stands for what a relay brought in one report.
func (call *call) copy(index int) *call {
	made := *call
	made.index, made.parts, made.ended, made.outcome = index, nil, true, Answered
	return &made
}

// release takes a part off a relay's call and returns it, nil if the call does not have it.
func (call *call) release(index int) *shard {
	for i, part := range call.parts {
		if part.index == index {
			call.parts = slices.Delete(call.parts, i, i+1)
			return part
		}
	}
	return nil
}

// miss finds another way for a part that a relay did not bring.
func (run *Run) miss(now time.Time, part *shard, outcome Outcome) []Action {
	part.pending--
	if outcome.ran() {
		part.runs++
	}
	if part.won != nil {
		return nil
	}
	part.last = outcome
	return run.retry(now, part, outcome)
}

// lose ends a relay's call and finds other ways for the parts that it still had.
func (run *Run) lose(now time.Time, call *call, outcome Outcome) []Action {
	call.ended, call.outcome = true, outcome
	call.forget()
	var actions []Action
	for _, part := range slices.Clone(call.parts) {
		actions = append(actions, run.miss(now, part, outcome)...)
	}
	call.parts = nil
	return actions
}

// RelayFailed takes the news that a relay's call brings nothing more.
func (run *Run) RelayFailed(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(run.calls) || !run.calls[index].relay {
		return nil
	}
	call := run.calls[index]
	note(now, call.flight, outcome)
	if call.ended {
		return nil
	}
	if run.finished {
		call.ended = true
		call.forget()
		return nil
	}
	if outcome == Refused {
		outcome = NoCapacity // the relay did, no server
	}
	actions := run.lose(now, call, outcome)
	return append(actions, run.settle(now)...)
}
