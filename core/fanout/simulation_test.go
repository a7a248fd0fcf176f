package fanout_test

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// simulation plays the targets and relays of a run with random outcomes and records which targets may have processed the request.
type simulation struct {
	t            *rapid.T
	spec         fanout.Spec
	run          *fanout.Run
	now          time.Time
	sends        map[int]fanout.Send
	relays       map[int][]int          // by call, the parts in flight at the relay
	forwarded    map[int]map[int]string // by call and part, the targets that the relay must call
	parts        map[int][]int          // by call or merged report, the parts that it answered
	openCalls    []int
	ranCalls     map[int]bool        // by call, those that may have run
	reported     map[int]bool        // by call, the relays that have reported
	reports      []relayReport       // all reports so far
	mayHaveRunOn map[string][]string // by service, the targets that may have processed the request
	arrivals     map[string]int      // by service
	responses    []fanout.Response
}

func newSimulation(t *rapid.T, spec fanout.Spec, shared fanout.SharedState) *simulation {
	return &simulation{t: t, spec: spec, run: fanout.New(spec, shared, start), now: start, sends: map[int]fanout.Send{},
		relays: map[int][]int{}, forwarded: map[int]map[int]string{}, parts: map[int][]int{}, ranCalls: map[int]bool{}, reported: map[int]bool{}, mayHaveRunOn: map[string][]string{}, arrivals: map[string]int{}}
}

func (simulation *simulation) apply(actions []fanout.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			assert.Assert(simulation.t, len(simulation.responses) == 0, "call after the response")
			simulation.assertMayCall(action.Call)
			simulation.sends[action.Call] = action
			simulation.parts[action.Call] = []int{slices.Index(simulation.spec.Parts, action.Target.Service)}
			simulation.openCalls = append(simulation.openCalls, action.Call)
		case fanout.Relay:
			assert.Assert(simulation.t, len(simulation.responses) == 0, "relayed after the response")
			simulation.assertMayCall(action.Call)
			simulation.relays[action.Call], simulation.forwarded[action.Call] = slices.Clone(action.Parts), map[int]string{}
			for i, target := range action.Targets {
				simulation.forwarded[action.Call][action.Parts[i]] = target
			}
			simulation.openCalls = append(simulation.openCalls, action.Call)
		case fanout.Cancel:
			simulation.close(action.Call)
			simulation.mayHaveRun(action.Call)
		case fanout.Finish:
			simulation.responses = append(simulation.responses, action.Response)
		}
	}
}

// assertMayCall requires that no other call of a request that is not idempotent is in flight or may have run.
func (simulation *simulation) assertMayCall(call int) {
	if !simulation.spec.Idempotent {
		assert.Equal(simulation.t, len(simulation.openCalls), 0, "call %d beside %v", call, simulation.openCalls)
		assert.Equal(simulation.t, len(simulation.ranCalls), 0, "call %d after %v", call, simulation.ranCalls)
	}
}

func (simulation *simulation) close(call int) {
	simulation.openCalls = slices.DeleteFunc(simulation.openCalls, func(other int) bool { return other == call })
}

// mayHaveRun records that the target of a call may have processed the request, or the targets of all parts in flight at a relay.
func (simulation *simulation) mayHaveRun(call int) {
	simulation.ranCalls[call] = true
	if send, ok := simulation.sends[call]; ok {
		simulation.mayHaveRunAt(send.Target.Service, send.Target.ID)
	}
	for _, part := range simulation.relays[call] {
		simulation.partMayHaveRun(call, part)
	}
}

// partMayHaveRun is mayHaveRun for one part of a relayed call, if the relay was told its target.
func (simulation *simulation) partMayHaveRun(call, part int) {
	simulation.ranCalls[call] = true
	if target, ok := simulation.forwarded[call][part]; ok {
		simulation.mayHaveRunAt(simulation.spec.Parts[part], target)
	}
}

func (simulation *simulation) mayHaveRunAt(service, target string) {
	if targets := simulation.mayHaveRunOn[service]; !slices.Contains(targets, target) {
		simulation.mayHaveRunOn[service] = append(targets, target)
	}
}

var outcomes = []fanout.Outcome{fanout.Answered, fanout.Answered, fanout.Answered, fanout.Failed, fanout.Refused, fanout.Displaced,
	fanout.NotSent, fanout.ConnectionLimit, fanout.NoCapacity, fanout.Lost, fanout.InvalidResponse, fanout.Undelivered}

// relayedOutcomes are the outcomes that a relay of this or any other build may report for a missing part.
var relayedOutcomes = append([]fanout.Outcome{fanout.Unreached, fanout.Unpaid, "ofLaterBuild", ""}, outcomes[3:]...)

// strandRandomly lets this VM lose its own links to the targets of some failure domains, with and without a second VM in its own.
func strandRandomly(t *rapid.T, fleet *place.Fleet, services []string) {
	if rapid.Bool().Draw(t, "neighbour") {
		fleet.Update(start, place.Endpoint{ID: "vm-a", Service: fanout.RelayService("a"), FailureDomain: "a", Slots: 16, State: place.Ready, Peer: true})
	}
	for _, domain := range []string{"a", "b", "c"} {
		if rapid.Bool().Draw(t, "cut off from "+domain) {
			strand(fleet, domain, services)
		}
	}
}

// strand lets the targets of a failure domain leave calls of this VM unanswered until they count as cut off.
func strand(fleet *place.Fleet, domain string, services []string) {
	for range 10 {
		for _, service := range services {
			if id := service + "-" + domain; fleet.Has(id) {
				fleet.StartAttempt(start.Add(-time.Second), id, "r").Discard()
			}
		}
	}
}

// endOneCall ends a random open call with a random outcome.
func (simulation *simulation) endOneCall() {
	call := rapid.SampledFrom(simulation.openCalls).Draw(simulation.t, "call")
	if _, ok := simulation.relays[call]; ok {
		simulation.reportFromRelay(call)
		return
	}
	outcome := rapid.SampledFrom(outcomes).Draw(simulation.t, "outcome")
	simulation.close(call)
	if simulation.ran(outcome) {
		simulation.mayHaveRun(call)
	}
	simulation.apply(simulation.run.Result(simulation.now, call, outcome))
}

// ran reports whether a call with this outcome may have been processed, as far as the request's attempts count it.
func (simulation *simulation) ran(outcome fanout.Outcome) bool {
	return ran(outcome) && !(outcome == fanout.Undelivered && simulation.spec.Idempotent)
}

// ran reports whether a call with this outcome may have been processed.
func ran(outcome fanout.Outcome) bool {
	switch outcome {
	case fanout.Refused, fanout.Displaced, fanout.NotSent, fanout.ConnectionLimit, fanout.NoCapacity, fanout.Unreached, fanout.Unpaid:
		return false
	}
	return true
}

type relayReport struct {
	call   int
	report fanout.Report
}

// reportFromRelay makes a relay answer some of its parts and miss others, or fails the relayed call.
func (simulation *simulation) reportFromRelay(call int) {
	if rapid.IntRange(0, 9).Draw(simulation.t, "vanish") == 0 {
		simulation.close(call)
		outcome := rapid.SampledFrom([]fanout.Outcome{fanout.Lost, fanout.Refused, fanout.NotSent, fanout.Undelivered}).Draw(simulation.t, "loss")
		if simulation.ran(outcome) || simulation.reported[call] {
			simulation.mayHaveRun(call)
		}
		simulation.apply(simulation.run.RelayFailed(simulation.now, call, outcome))
		return
	}
	var report fanout.Report
	var left []int
	for _, part := range simulation.relays[call] {
		switch rapid.IntRange(0, 3).Draw(simulation.t, "part") {
		case 0, 1:
			simulation.partMayHaveRun(call, part)
			report.Answered = append(report.Answered, part)
			report.Latencies = append(report.Latencies, simulation.now.Sub(start))
		case 2:
			missing := fanout.Missing{Part: part, Outcome: rapid.SampledFrom(relayedOutcomes).Draw(simulation.t, "miss")}
			if ran(missing.Outcome) {
				simulation.partMayHaveRun(call, part)
			}
			report.Missing = append(report.Missing, missing)
		default:
			left = append(left, part)
		}
	}
	report.Early = rapid.Bool().Draw(simulation.t, "early")
	report.Final = len(left) == 0 || rapid.IntRange(0, 4).Draw(simulation.t, "final") == 0
	if rapid.IntRange(0, 4).Draw(simulation.t, "unasked") == 0 {
		simulation.addUnasked(&report)
	}
	if usable := !slices.ContainsFunc(report.Answered, simulation.isUnasked); !usable {
		left = append(left, slices.DeleteFunc(slices.Clone(report.Answered), simulation.isUnasked)...)
	}
	if report.Final {
		for _, part := range left {
			simulation.partMayHaveRun(call, part)
		}
		simulation.close(call)
	}
	simulation.relays[call], simulation.reported[call] = left, true
	simulation.reports = append(simulation.reports, relayReport{call, report})
	simulation.report(call, report)
}

// addUnasked adds parts to a report that no VM asks for.
func (simulation *simulation) addUnasked(report *fanout.Report) {
	part := rapid.SampledFrom([]int{-1, len(simulation.spec.Parts)}).Draw(simulation.t, "unasked part")
	if rapid.Bool().Draw(simulation.t, "unasked answer") {
		report.Answered, report.Latencies = append(report.Answered, part), append(report.Latencies, 0)
	} else {
		report.Missing = append(report.Missing, fanout.Missing{Part: part, Outcome: rapid.SampledFrom(relayedOutcomes).Draw(simulation.t, "unasked miss")})
	}
}

func (simulation *simulation) isUnasked(part int) bool {
	return part < 0 || part >= len(simulation.spec.Parts)
}

func (simulation *simulation) report(call int, report fanout.Report) {
	merged, actions := simulation.run.RelayReport(simulation.now, call, report)
	if merged >= 0 {
		simulation.parts[merged] = report.Answered
	}
	simulation.apply(actions)
}

// repeat lets a relay repeat its reports, or its link fail, before and after the end of the call.
func (simulation *simulation) repeat() {
	earlier := rapid.SampledFrom(simulation.reports).Draw(simulation.t, "earlier report")
	if rapid.IntRange(0, 2).Draw(simulation.t, "repeated") > 0 {
		if earlier.report.Final {
			simulation.close(earlier.call)
		}
		simulation.report(earlier.call, earlier.report)
		return
	}
	if slices.Contains(simulation.openCalls, earlier.call) {
		simulation.mayHaveRun(earlier.call)
		simulation.close(earlier.call)
	}
	outcome := rapid.SampledFrom(relayedOutcomes).Draw(simulation.t, "late loss")
	simulation.apply(simulation.run.RelayFailed(simulation.now, earlier.call, outcome))
}

// runToEnd runs the simulation with random events until the request has a response.
func (simulation *simulation) runToEnd() {
	simulation.apply(simulation.run.Start(simulation.now))
	for len(simulation.responses) == 0 {
		if len(simulation.reports) > 0 && rapid.IntRange(0, 5).Draw(simulation.t, "repeat") == 0 {
			simulation.repeat()
			continue
		}
		if len(simulation.openCalls) > 0 && rapid.IntRange(0, 3).Draw(simulation.t, "step") > 0 {
			simulation.now = simulation.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(simulation.t, "ms")) * time.Millisecond)
			if deadline := start.Add(timeout); simulation.now.After(deadline) {
				simulation.now = deadline
			}
			simulation.endOneCall()
			continue
		}
		if next := simulation.run.Next(); next.After(simulation.now) {
			simulation.now = next
		}
		simulation.apply(simulation.run.Tick(simulation.now))
		assert.Assert(simulation.t, !simulation.now.After(start.Add(timeout)), "no response at the deadline")
	}
	for _, call := range slices.Clone(simulation.openCalls) {
		simulation.mayHaveRun(call)
	}
}

func (simulation *simulation) assertDelivered(deliver fanout.Deliver) {
	answered := map[int]bool{}
	for _, call := range deliver.Calls {
		for _, part := range simulation.parts[call] {
			assert.Assert(simulation.t, !answered[part], "part %d is answered twice", part)
			answered[part] = true
		}
	}
	assert.Equal(simulation.t, len(answered)+deliver.Missing, len(simulation.spec.Parts))
	assert.Assert(simulation.t, float64(len(answered)) >= simulation.spec.MinCoverage*float64(len(simulation.spec.Parts)),
		"%d parts answered", len(answered))
}

func (simulation *simulation) assertResponse() {
	assert.Equal(simulation.t, len(simulation.responses), 1)
	switch response := simulation.responses[0].(type) {
	case fanout.Deliver:
		simulation.assertDelivered(response)
	case fanout.Refuse:
		for service, targets := range simulation.mayHaveRunOn {
			assert.Assert(simulation.t, len(targets) == 0, "refused as not run, but %v of %s may have run it", targets, service)
		}
		assert.Assert(simulation.t, response.RetryAfter > 0)
	}
}

func (simulation *simulation) assertAttempts() {
	for service, targets := range simulation.mayHaveRunOn {
		assert.Assert(simulation.t, len(targets) <= simulation.spec.MaxAttempts, "%s: %v", service, targets)
	}
}
