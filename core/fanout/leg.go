package fanout

import (
	"time"

	"poplarpin.dev/core/place"
)

// RelayRun is what a VM does for one of another failure domain: it calls the servers of its own domain once for some parts, and
// reports what is in once all is, or once the rest takes longer than most calls do; from then on each part by itself. It
// neither hedges nor retries, which is the asking VM's to decide.
type RelayRun struct {
	route    string
	fleet    *place.Fleet
	started  time.Time
	reportAt time.Time // when what is in is reported, if not all is
	parts    []legPart
	open     int
	early    bool // a first report has gone out
	ended    bool
}

type legPart struct {
	service  string
	flight   *place.Attempt
	outcome  Outcome // empty while the call is under way
	took     time.Duration
	reported bool
}

// Missing is a part that was not brought.
type Missing struct {
	Part    int     `json:"part"`
	Outcome Outcome `json:"outcome"`
}

// Report asks to tell the asking VM what has ended since the last report.
type Report struct {
	Answered  []int
	Latencies []time.Duration // for each part that was brought, how long its server took
	Missing   []Missing
	Early     bool // what is missing takes longer than was asked for
	Final     bool // nothing more will come
}

func (Report) action() {}

// NewRelayRun returns a leg for the services of some parts, which reports those that are in after a time.
func NewRelayRun(route string, services []string, reportIn time.Duration, fleet *place.Fleet, now time.Time) *RelayRun {
	relayRun := &RelayRun{route: route, fleet: fleet, started: now, reportAt: now.Add(reportIn), parts: make([]legPart, len(services))}
	for i, service := range services {
		relayRun.parts[i].service = service
	}
	return relayRun
}

// Start returns a call for each part that has a server here; its index is the part's.
func (relayRun *RelayRun) Start(now time.Time) []Action {
	var actions []Action
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		server, ok := relayRun.fleet.ChooseLocal(now, part.service, relayRun.route)
		if !ok || relayRun.fleet.Stuck(now, server.ID) {
			part.outcome = NoCapacity // the asking VM has other ways
			continue
		}
		part.flight = relayRun.fleet.StartAttempt(now, server.ID, relayRun.route)
		relayRun.open++
		actions = append(actions, Send{Call: i, Target: server, Reason: "relayed"})
	}
	if relayRun.open < len(relayRun.parts) {
		actions = append(actions, relayRun.report(false, relayRun.open == 0)...)
	}
	return actions
}

// Result takes the end of a part's call.
func (relayRun *RelayRun) Result(now time.Time, index int, outcome Outcome) []Action {
	if index < 0 || index >= len(relayRun.parts) || relayRun.parts[index].outcome != "" {
		return nil
	}
	part := &relayRun.parts[index]
	part.outcome, part.took = outcome, now.Sub(relayRun.started)
	note(now, part.flight, outcome)
	relayRun.open--
	if relayRun.ended {
		return nil
	}
	if relayRun.open == 0 {
		relayRun.ended = true
		return relayRun.report(false, true)
	}
	if relayRun.early || outcome != Answered {
		return relayRun.report(false, false)
	}
	return nil
}

// Next returns when Tick is due.
func (relayRun *RelayRun) Next() time.Time {
	return relayRun.reportAt
}

// Tick reports early where some parts take long.
func (relayRun *RelayRun) Tick(now time.Time) []Action {
	if relayRun.ended || relayRun.early || now.Before(relayRun.Next()) {
		return nil
	}
	relayRun.early = true
	return relayRun.report(true, false)
}

// Finished reports whether the leg has ended or needs no more ticks.
func (relayRun *RelayRun) Finished() bool { return relayRun.ended || relayRun.early }

// Abort breaks off the calls that are under way.
func (relayRun *RelayRun) Abort(now time.Time) []Action {
	if relayRun.ended {
		return nil
	}
	relayRun.ended = true
	var actions []Action
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		if part.outcome != "" || part.flight == nil {
			continue
		}
		if part.flight.OnlyInFlight() {
			continue // its end shows that the server is well
		}
		part.outcome = Lost
		part.flight.Cancelled(now)
		actions = append(actions, Cancel{Call: i, CloseConnection: true})
	}
	return actions
}

// report returns what has ended and was not reported.
func (relayRun *RelayRun) report(early, final bool) []Action {
	report := Report{Early: early, Final: final}
	for i := range relayRun.parts {
		part := &relayRun.parts[i]
		if part.reported || part.outcome == "" {
			continue
		}
		part.reported = true
		if part.outcome == Answered {
			report.Answered, report.Latencies = append(report.Answered, i), append(report.Latencies, part.took)
		} else {
			report.Missing = append(report.Missing, Missing{i, part.outcome})
		}
	}
	return []Action{report}
}
