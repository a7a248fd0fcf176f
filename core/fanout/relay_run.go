package fanout

import (
	"slices"
	"time"

	"poplarpin.dev/core/place"
)

// RelayRun is the relay's side of a relayed request. It calls a target once per part: one of its own failure domain, or the one that the
// requesting VM names. It never asks a further VM. It reports answers together once all calls have ended or Relay.ReportAfter has passed, and later answers one by one; a part without an answer is reported
// at once, with the answers so far. It neither hedges nor retries: the requesting VM decides that.
type RelayRun struct {
	route         string
	fleet         *place.Fleet
	budgets       *Budgets // that pay for the calls; nil if the requesting VM does
	started       time.Time
	earlyReportAt time.Time // when the available results are reported if some are missing
	parts         []relayPart
	inFlight      int
	reportedEarly bool // the early report has been sent, or there is none
	ended         bool
}

type relayPart struct {
	service  string
	named    string // target that the requesting VM has chosen; empty for none
	attempt  *place.Attempt
	outcome  Outcome // empty while the call is in flight
	latency  time.Duration
	reported bool
}

// Missing is a part without a result.
type Missing struct {
	Part    int     `json:"part"`
	Outcome Outcome `json:"outcome"`
}

// Report asks for a message to the requesting VM with the results since the last report.
type Report struct {
	Answered  []int
	Latencies []time.Duration // by index in Answered, from the start of the relay run to the answer of the target
	Missing   []Missing
	Refused   bool // this VM reaches none of the targets; nothing was sent
	Early     bool // sent after Relay.ReportAfter; the parts not reported so far take longer
	Final     bool // no further report follows
}

func (Report) action() {}

// RelaySpec describes a relayed request.
type RelaySpec struct {
	Route       string
	Services    []string      // of the parts
	Targets     []string      // that must be called, one for each part; empty if the relay chooses
	ReportAfter time.Duration // until the early report
	Budgets     *Budgets      // of this VM, which pay for the calls; nil if the requesting VM does
	Once        bool          // the request is not idempotent; there is no early report, as a VM of build e92619e would send a second call
}

// NewRelayRun returns a relay run that has not started.
func NewRelayRun(spec RelaySpec, fleet *place.Fleet, now time.Time) *RelayRun {
	relayRun := &RelayRun{route: spec.Route, fleet: fleet, budgets: spec.Budgets, started: now, earlyReportAt: now.Add(spec.ReportAfter), reportedEarly: spec.Once,
		parts: make([]relayPart, len(spec.Services))}
	for i, service := range spec.Services {
		relayRun.parts[i].service = service
		if len(spec.Targets) > 0 {
			relayRun.parts[i].named = spec.Targets[i]
		}
	}
	return relayRun
}

// Start calls a target for each part, if this VM may call one, or refuses the request if it reaches no target at all. Call indices are part
// indices.
func (relayRun *RelayRun) Start(now time.Time) []Action {
	if relayRun.fleet.Stranded(now) {
		relayRun.ended = true
		return []Action{Report{Refused: true, Final: true}}
	}
	var actions []Action
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		target, ok := relayRun.choose(now, part)
		if !ok {
			part.outcome = relayRun.whyNot(now, part)
			continue
		}
		if relayRun.budgets != nil && !relayRun.budgets.ForService(now, part.service).Spend(now, 1) {
			part.outcome = Unpaid
			continue
		}
		part.attempt = relayRun.fleet.StartAttempt(now, target.ID, relayRun.route)
		relayRun.inFlight++
		actions = append(actions, Send{Call: i, Target: target, Reason: "relayed"})
	}
	if relayRun.inFlight < len(relayRun.parts) {
		relayRun.ended = relayRun.inFlight == 0
		actions = append(actions, relayRun.report(false, relayRun.ended)...)
	}
	return actions
}

// choose returns the target of a part, and reports whether this VM may call it.
func (relayRun *RelayRun) choose(now time.Time, part *relayPart) (place.Endpoint, bool) {
	if part.named != "" {
		return relayRun.fleet.Callable(now, part.named, part.service)
	}
	target, ok := relayRun.fleet.ChooseLocal(now, part.service, relayRun.route)
	return target, ok && !relayRun.fleet.Stuck(now, target.ID)
}

// whyNot returns the outcome of a part whose target is not called: Unreached if this VM reaches none of the targets in its failure domain that
// the request is for. A few of them show nothing while the failure domain answers, as they may be down.
func (relayRun *RelayRun) whyNot(now time.Time, part *relayPart) Outcome {
	domain := relayRun.domainOf(part)
	if relayRun.fleet.CutOff(now, domain) {
		return Unreached
	}
	parts := 0
	for i := range relayRun.parts {
		if other := &relayRun.parts[i]; relayRun.domainOf(other) == domain {
			parts++
			if slices.ContainsFunc(relayRun.candidates(other), func(id string) bool { return relayRun.fleet.Reaches(now, id) }) {
				return NoCapacity
			}
		}
	}
	if parts < minRelayedParts {
		return NoCapacity
	}
	return Unreached
}

// domainOf returns the failure domain of the targets of a part.
func (relayRun *RelayRun) domainOf(part *relayPart) string {
	if part.named == "" {
		return relayRun.fleet.FailureDomain()
	}
	target, _ := relayRun.fleet.Endpoint(part.named)
	return target.FailureDomain
}

// candidates returns the targets that may be called for a part.
func (relayRun *RelayRun) candidates(part *relayPart) []string {
	if part.named != "" {
		return []string{part.named}
	}
	return relayRun.fleet.EndpointIDs(part.service, relayRun.fleet.FailureDomain())
}

// Result records the outcome of a part's call.
func (relayRun *RelayRun) Result(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(relayRun.parts) || relayRun.parts[index].outcome != "" {
		return nil
	}
	part := &relayRun.parts[index]
	part.outcome, part.latency = outcome, now.Sub(relayRun.started)
	recordOutcome(now, part.attempt, outcome)
	relayRun.inFlight--
	if relayRun.ended {
		return nil
	}
	if relayRun.inFlight == 0 {
		relayRun.ended = true
		return relayRun.report(false, true)
	}
	if relayRun.reportedEarly || outcome != Answered {
		return relayRun.report(false, false)
	}
	return nil
}

// Next returns the time of the next Tick.
func (relayRun *RelayRun) Next() time.Time {
	return relayRun.earlyReportAt
}

// Tick sends the early report when it is due.
func (relayRun *RelayRun) Tick(now time.Time) []Action {
	if relayRun.ended || relayRun.reportedEarly || now.Before(relayRun.Next()) {
		return nil
	}
	relayRun.reportedEarly = true
	return relayRun.report(true, false)
}

// Finished reports whether the run needs no more ticks: it has ended or sent the early report. Calls may still be in flight.
func (relayRun *RelayRun) Finished() bool { return relayRun.ended || relayRun.reportedEarly }

// Abort ends the run and cancels the calls in flight, except those that are the only ones at their target.
func (relayRun *RelayRun) Abort(now time.Time) []Action {
	if relayRun.ended {
		return nil
	}
	relayRun.ended = true
	var actions []Action
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		if part.outcome != "" || part.attempt == nil {
			continue
		}
		if part.attempt.OnlyInFlight() {
			continue // the outcome shows whether the target has recovered
		}
		part.outcome = Lost
		part.attempt.Cancelled(now)
		actions = append(actions, Cancel{Call: i, CloseConnection: true})
	}
	return actions
}

// AnsweredParts returns the number of parts that have been answered.
func (relayRun *RelayRun) AnsweredParts() int {
	count := 0
	for i := range relayRun.parts {
		if relayRun.parts[i].outcome == Answered {
			count++
		}
	}
	return count
}

// report returns the results that have not been reported yet.
func (relayRun *RelayRun) report(early, final bool) []Action {
	report := Report{Early: early, Final: final}
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		if part.reported || part.outcome == "" {
			continue
		}
		part.reported = true
		if part.outcome == Answered {
			report.Answered, report.Latencies = append(report.Answered, i), append(report.Latencies, part.latency)
		} else {
			report.Missing = append(report.Missing, Missing{i, part.outcome})
		}
	}
	return []Action{report}
}
