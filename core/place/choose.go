package place

import (
	"math"
	"slices"
	"time"
)

const (
	slownessStep   = 1.3                   // factor by which one call moves a server's slowness, so that single slow calls move it little
	maxSlowness    = 50.0                  // beyond which more makes no difference
	stuckFactor    = 2.5                   // times what is usual, after which a call without an answer shows a stuck server
	stuckAtLeast   = 12 * time.Millisecond // and at least this late
	downSpan       = 300 * time.Millisecond
	maxDownSpan    = 3 * time.Second
	fullSpan       = 30 * time.Millisecond  // how long a server that refused for want of room is put last
	crossFactor    = 1.6                    // how much slower a server of the own failure domain may be before another is better
	forgetEvery    = 400 * time.Millisecond // without answers, after which a server's slowness counts less
	brokenInRow    = 3                      // connections that broke without an answer in between, from which a server counts as down
	penaltyDown    = 10 * time.Second
	penaltyFull    = 200 * time.Millisecond
	penaltyMissing = time.Second // for a server whose entry may have lapsed
	forgetFactor   = 0.8         // that the excess of its slowness shrinks by
)

// Attempt is one call that is under way at a server.
type Attempt struct {
	fleet    *Fleet
	server   *known
	route    *Baseline
	started  time.Time
	expected time.Duration
	ended    bool
}

// Choose returns the server of a service that a call is best sent to, leaving out those named, and reports whether there is one.
func (fleet *Fleet) Choose(now time.Time, service, route string, exclude []string) (Endpoint, bool) {
	typical := fleet.Baseline(route)
	var best *known
	var bestCost time.Duration
	ties := 0
	for _, server := range fleet.services[service] {
		if !fleet.callable(now, server) || slices.Contains(exclude, server.ID) {
			continue
		}
		cost := fleet.cost(now, server, typical)
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = server, cost, 1
		case cost == bestCost:
			ties++
			if fleet.random.IntN(ties) == 0 {
				best = server
			}
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	return best.Endpoint, true
}

// cost estimates how long a call would take at a server, and what makes it less welcome there.
func (fleet *Fleet) cost(now time.Time, server *known, typical *Baseline) time.Duration {
	slots := float64(max(server.Slots, 1))
	factor := server.pace(now) * (1 + float64(len(server.flights))/slots)
	if server.FailureDomain != fleet.zone {
		factor *= crossFactor
	}
	if server.Peer && server.Cores > 0 {
		factor /= min(server.Cores, 1)
	}
	cost := time.Duration(float64(typical.Median()) * factor)
	if late := server.late(now); late > 0 {
		cost += 2*typical.Median() + late
	}
	if !server.missing.IsZero() {
		cost += penaltyMissing
	}
	if now.Before(server.fullTill) {
		cost += penaltyFull
	}
	if now.Before(server.downTill) {
		cost += penaltyDown
	}
	return cost
}

// remembered returns a server's slowness, of which less counts the longer no call has shown it.
func (server *known) remembered(now time.Time) float64 {
	pace := server.slowness
	if pace > 1 {
		idle := max(now.Sub(server.judged), 0) / forgetEvery
		pace = 1 + (pace-1)*math.Pow(forgetFactor, float64(idle))
	}
	return pace
}

// pace returns how much slower than usual a server's calls are expected to be.
func (server *known) pace(now time.Time) float64 {
	pace := server.remembered(now)
	if now.Before(server.warmAt) {
		pace *= coldFactor
	}
	return pace
}

// late returns by how much the oldest call under way at a server exceeds what shows that it is stuck.
func (server *known) late(now time.Time) time.Duration {
	worst := time.Duration(0)
	for _, flight := range server.flights {
		limit := max(time.Duration(stuckFactor*float64(flight.expected)), stuckAtLeast)
		if flight.started.Before(server.answered) {
			limit *= 2 // it answers others: this call is slow, the server is not stuck
		}
		worst = max(worst, now.Sub(flight.started)-limit)
	}
	return worst
}

// Stuck reports whether a server seems to have stopped answering.
func (fleet *Fleet) Stuck(now time.Time, id string) bool {
	server, ok := fleet.servers[id]
	return !ok || server.late(now) > 0 || now.Before(server.downTill)
}

// StartAttempt records that a call was sent to a server.
func (fleet *Fleet) StartAttempt(now time.Time, id, route string) *Attempt {
	flight := &Attempt{fleet: fleet, route: fleet.Baseline(route), started: now}
	server, ok := fleet.servers[id]
	if !ok {
		server = &known{Endpoint: Endpoint{ID: id}, slowness: 1} // it went since it was chosen
	}
	flight.server = server
	flight.expected = time.Duration(float64(flight.route.Median()) * server.pace(now))
	server.flights = append(server.flights, flight)
	fleet.domain(server.FailureDomain).sent(now)
	return flight
}

// end takes the call off its server.
func (flight *Attempt) end() bool {
	if flight.ended {
		return false
	}
	flight.ended = true
	flight.server.flights = slices.DeleteFunc(flight.server.flights, func(other *Attempt) bool { return other == flight })
	return true
}

// Answered records that the call was run and answered.
func (flight *Attempt) Answered(now time.Time) { flight.AnsweredAfter(now, now.Sub(flight.started)) }

// AnsweredAfter records that the call was run and answered, and how long the server took for it.
func (flight *Attempt) AnsweredAfter(now time.Time, latency time.Duration) {
	if !flight.end() {
		return
	}
	server := flight.server
	flight.fleet.domain(server.FailureDomain).answered()
	server.answered = now
	server.downTill, server.downSpan, server.broken = time.Time{}, 0, 0
	flight.learn(now, latency)
	flight.route.record(latency)
}

// learn takes what the call has shown of its server, and keeps it for other VMs.
func (flight *Attempt) learn(now time.Time, latency time.Duration) {
	pace := min(float64(latency)/float64(max(flight.route.Median(), time.Millisecond)), maxSlowness)
	flight.fleet.note(flight.server, pace)
	flight.server.learn(now, pace)
}

// learn moves a server's slowness towards the pace of one call.
func (server *known) learn(now time.Time, pace float64) {
	slowness := server.remembered(now)
	if pace > slowness {
		slowness = min(slowness*slownessStep, pace)
	} else {
		slowness = max(slowness/slownessStep, pace)
	}
	server.slowness, server.judged = slowness, now
}

// Refused records that the server had no room for the call.
func (flight *Attempt) Refused(now time.Time) {
	if flight.end() {
		flight.fleet.domain(flight.server.FailureDomain).answered()
		flight.server.answered = now
		flight.server.fullTill = now.Add(fullSpan)
	}
}

// Displaced records that another server answers at the address.
func (flight *Attempt) Displaced() {
	if flight.end() {
		flight.fleet.domain(flight.server.FailureDomain).answered()
		flight.server.displaced = true
	}
}

// Unreachable records that the server could not be reached.
func (flight *Attempt) Unreachable(now time.Time) {
	if flight.end() {
		flight.server.down(now)
	}
}

// ConnectionBroken records that the connection broke. A server that takes no more connections or loses some answers does that too;
// several in a row show that it is down.
func (flight *Attempt) ConnectionBroken(now time.Time) {
	if !flight.end() {
		return
	}
	server := flight.server
	server.fullTill = now.Add(fullSpan)
	if server.broken++; server.broken >= brokenInRow {
		server.down(now)
	}
}

// down avoids a server for a while that doubles with each failure in a row.
func (server *known) down(now time.Time) {
	if now.Before(server.downTill) {
		return
	}
	server.downSpan = min(max(downSpan, 2*server.downSpan), maxDownSpan)
	server.downTill = now.Add(server.downSpan)
}

// InvalidAnswer records that the answer was unusable, though the server can be reached.
func (flight *Attempt) InvalidAnswer() {
	if flight.end() {
		flight.fleet.domain(flight.server.FailureDomain).answered()
	}
}

// Unsent records that the call did not leave this VM.
func (flight *Attempt) Unsent() { flight.end() }

// Cancelled records that the call was broken off; it would have taken at least as long as it did.
func (flight *Attempt) Cancelled(now time.Time) {
	if !flight.end() {
		return
	}
	if latency := now.Sub(flight.started); latency > 2*flight.expected {
		flight.learn(now, latency)
	}
}

// OnlyInFlight reports whether no other call is under way at the server, so that its answer would show first that it is well.
func (flight *Attempt) OnlyInFlight() bool { return len(flight.server.flights) == 1 }

// EndpointView is what is known of one server, for dumps.
type EndpointView struct {
	ID            string  `json:"id"`
	Service       string  `json:"service"`
	State         State   `json:"state"`
	FailureDomain string  `json:"zone"`
	Slowness      float64 `json:"slowness"`
	InFlight      int     `json:"inFlight"`
	Down          bool    `json:"down"`
	Missing       bool    `json:"missing"`
}

// Views returns what is known of every server.
func (fleet *Fleet) Views(now time.Time) []EndpointView {
	views := make([]EndpointView, 0, len(fleet.servers))
	for _, server := range fleet.servers {
		views = append(views, EndpointView{server.ID, server.Service, server.State, server.FailureDomain, server.slowness,
			len(server.flights), now.Before(server.downTill), !server.missing.IsZero()})
	}
	slices.SortFunc(views, func(a, b EndpointView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}
