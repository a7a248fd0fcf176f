package fleetload_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// The simulated network and processors, alike for all loads.
const (
	inDomainDelay    = 150 * time.Microsecond // one way
	crossDomainDelay = 1200 * time.Microsecond
	clientDelay      = time.Millisecond
	simMargin        = 9 * time.Millisecond   // ResponseMargin of each VM
	callCost         = 120 * time.Microsecond // of one core, half for sending a call and half for its result
	messageCost      = 200 * time.Microsecond // of one core for a message to or from a relay, and for a client's request
	observationDelay = 50 * time.Millisecond  // between two exchanges of observations in a failure domain
	simQueue         = 12                     // calls that wait at a target, beyond which it refuses
)

var start = time.Unix(1000, 0)

type event struct {
	at    time.Time
	order int
	do    func()
}

// events is a heap of events by time, then by the order in which they were scheduled.
type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].order < events[j].order
}
func (events events) Swap(i, j int)   { events[i], events[j] = events[j], events[i] }
func (events *events) Push(added any) { *events = append(*events, added.(event)) }
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

func serviceNames(count int) []string {
	services := make([]string, count)
	for i := range services {
		services[i] = fmt.Sprintf("s%03d", i)
	}
	return services
}

// loadClass is one kind of request to all shards.
type loadClass struct {
	name        string
	perSecond   float64
	work        time.Duration // mean time of one call at a target
	objective   time.Duration
	timeout     time.Duration
	minCoverage float64
}

// slowSpan makes a share of the targets slower by a factor for a time, at most one of each shard: a shard whose targets are all slow is
// beyond its capacity, whatever is decided.
type slowSpan struct {
	share  float64
	factor float64
	from   time.Duration
	until  time.Duration
}

// fleetLoad describes a deployment and what happens on it.
type fleetLoad struct {
	vms           map[string][]float64 // cores of the VMs of each failure domain
	shards        int
	targetDomains []string // failure domains with one target of each shard
	slots         int
	classes       []loadClass
	slow          slowSpan
	stranded      strandedSpan
	pause         time.Duration // of each target, every pauseEvery
	pauseEvery    time.Duration
	slack         float64 // extra calls of a service in ten seconds, beyond a fraction of 0.2
	duration      time.Duration
}

// classResult is what the clients of one class got.
type classResult struct {
	requests int
	inTime   int
	whole    int     // in time, with all parts
	failed   int     // refused, or without an answer
	credit   float64 // share of the parts, squared, of the answers in time; a tenth of it for late ones
	missing  fanout.MissingCauses
}

// meanCredit returns the mean credit of a request.
func (result *classResult) meanCredit() float64 { return result.credit / float64(result.requests) }

func (result *classResult) String() string {
	return fmt.Sprintf("requests %d, in time %d, whole %d, failed %d, credit %.3f, missing %s", result.requests, result.inTime, result.whole,
		result.failed, result.meanCredit(), result.missing)
}

// simTarget is a target with slots and a queue.
type simTarget struct {
	id          string
	domain      string
	busy        int
	queue       []*simCall
	pausedUntil time.Time
	slow        bool
}

// simCall is a call on its way to a target or at it.
type simCall struct {
	work    time.Duration
	ended   func(outcome fanout.Outcome)
	aborted bool
}

// simVM is an entry VM with the real decision code and a processor that does one thing after the other.
type simVM struct {
	name      string
	domain    string
	cores     float64
	fleet     *place.Fleet
	shared    fanout.SharedState
	busyUntil time.Time
	messages  int // sent to other VMs
	forwards  *fanout.ForwardLimit
}

// fleetRun is one run of a load on simulated VMs, targets and links.
type fleetRun struct {
	load    fleetLoad
	random  *rand.Rand
	pending events
	order   int
	now     time.Time
	vms     []*simVM
	byName  map[string]*simVM
	targets map[string]*simTarget
	calls   int // received by targets
	parts   int // of all requests
	results map[string]*classResult
	reached map[bool]*classResult // of the requests during stranded, by whether their VM is stranded
}

// playLoad plays a load to its end; the seed decides on arrivals, latencies and slow targets.
func playLoad(load fleetLoad, seed uint64) *fleetRun {
	run := &fleetRun{load: load, random: rand.New(rand.NewPCG(seed, 7)), now: start, byName: map[string]*simVM{}, targets: map[string]*simTarget{},
		results: map[string]*classResult{}, reached: map[bool]*classResult{false: {missing: fanout.MissingCauses{}}, true: {missing: fanout.MissingCauses{}}}}
	run.addVMs()
	run.addTargets()
	for _, class := range load.classes {
		run.results[class.name] = &classResult{missing: fanout.MissingCauses{}}
		for at := time.Duration(0); at < load.duration; at += time.Duration(run.random.ExpFloat64() / class.perSecond * float64(time.Second)) {
			run.at(start.Add(at), func() { run.request(class) })
		}
	}
	for at := time.Duration(0); at < load.duration; at += observationDelay {
		run.at(start.Add(at), run.shareObservations)
		if load.stranded.vms != nil {
			run.at(start.Add(at), run.probe)
		}
	}
	for len(run.pending) > 0 {
		next := heap.Pop(&run.pending).(event)
		run.now = next.at
		next.do()
	}
	return run
}

// at schedules an event.
func (run *fleetRun) at(at time.Time, do func()) {
	run.order++
	heap.Push(&run.pending, event{at, run.order, do})
}

// after schedules an event after a delay.
func (run *fleetRun) after(delay time.Duration, do func()) { run.at(run.now.Add(delay), do) }

// process spends processor time of a VM, once it is free, and then continues.
func (run *fleetRun) process(vm *simVM, cost time.Duration, do func()) {
	from := run.now
	if vm.busyUntil.After(from) {
		from = vm.busyUntil
	}
	vm.busyUntil = from.Add(time.Duration(float64(cost) / vm.cores))
	run.at(vm.busyUntil, do)
}

func delayBetween(from, to string) time.Duration {
	if from == to {
		return inDomainDelay
	}
	return crossDomainDelay
}

func (run *fleetRun) addVMs() {
	var peers []place.Endpoint
	for _, domain := range slices.Sorted(maps.Keys(run.load.vms)) {
		for i, cores := range run.load.vms[domain] {
			vm := &simVM{name: fmt.Sprintf("vm-%s%d", domain, i), domain: domain, cores: cores, forwards: fanout.NewForwardLimit(cores)}
			vm.fleet = place.New(domain, cores, rand.New(rand.NewPCG(uint64(len(run.vms)), 5)))
			run.vms, run.byName[vm.name] = append(run.vms, vm), vm
			peers = append(peers, place.Endpoint{ID: vm.name, Address: vm.name, Service: fanout.RelayService(domain), FailureDomain: domain, Slots: 16,
				State: place.Ready, Cores: cores, Peer: true})
		}
	}
	for _, vm := range run.vms {
		budgets := fanout.NewBudgets(0.2*0.9, run.load.slack*0.9, start.Add(-time.Minute))
		budgets.SetVMs(start, len(run.vms))
		vm.shared = fanout.SharedState{Fleet: vm.fleet, Budgets: budgets, ResponseMargin: simMargin}
		vm.fleet.ReplacePeers(start, slices.DeleteFunc(slices.Clone(peers), func(peer place.Endpoint) bool { return peer.ID == vm.name }))
	}
}

func (run *fleetRun) addTargets() {
	for _, service := range serviceNames(run.load.shards) {
		slow := int(run.random.Float64() / max(run.load.slow.share, 1e-9)) // index of the slow target; mostly beyond the last, for none
		for i, domain := range run.load.targetDomains {
			target := &simTarget{id: service + "-" + domain, domain: domain, slow: i == slow}
			run.targets[target.id] = target
			for _, vm := range run.vms {
				vm.fleet.Update(start, place.Endpoint{ID: target.id, Address: target.id, Service: service, FailureDomain: domain, Slots: run.load.slots, State: place.Ready})
			}
			if run.load.pause > 0 {
				for at := time.Duration(run.random.Float64() * float64(run.load.pauseEvery)); at < run.load.duration; at += run.load.pauseEvery {
					run.at(start.Add(at), func() { target.pausedUntil = run.now.Add(run.load.pause) })
				}
			}
		}
	}
}

// shareObservations gives the observations of each VM to the others of its failure domain.
func (run *fleetRun) shareObservations() {
	for _, from := range run.vms {
		observations := from.fleet.TakeObservations()
		for _, to := range run.vms {
			if to == from || to.domain != from.domain {
				continue
			}
			for _, observation := range observations {
				to.fleet.ApplyObservation(run.now, observation)
			}
		}
	}
}

// workTime returns the time of one call at a target.
func (run *fleetRun) workTime(target *simTarget, mean time.Duration) time.Duration {
	work := float64(mean) * math.Exp(0.35*run.random.NormFloat64()-0.06)
	if since := run.now.Sub(start); target.slow && since >= run.load.slow.from && since < run.load.slow.until {
		work *= run.load.slow.factor
	}
	return time.Duration(work)
}

// receive serves a call at a target, queues it, or refuses it.
func (run *fleetRun) receive(target *simTarget, call *simCall) {
	run.calls++
	switch {
	case target.busy < run.load.slots:
		run.serve(target, call)
	case len(target.queue) < simQueue:
		target.queue = append(target.queue, call)
	default:
		call.ended(fanout.Refused)
	}
}

func (run *fleetRun) serve(target *simTarget, call *simCall) {
	target.busy++
	from := run.now
	if target.pausedUntil.After(from) {
		from = target.pausedUntil
	}
	run.at(from.Add(call.work), func() {
		target.busy--
		if !call.aborted {
			call.ended(fanout.Answered)
		}
		for len(target.queue) > 0 && target.busy < run.load.slots {
			next := target.queue[0]
			target.queue = target.queue[1:]
			if !next.aborted {
				run.serve(target, next)
			}
		}
	})
}

// call sends a call from a VM to a target; ended is called on the VM with its outcome.
func (run *fleetRun) call(vm *simVM, id string, work time.Duration, ended func(outcome fanout.Outcome)) *simCall {
	target := run.targets[id]
	delay := delayBetween(vm.domain, target.domain)
	call := &simCall{work: run.workTime(target, work)}
	call.ended = func(outcome fanout.Outcome) {
		run.after(delay, func() { run.process(vm, callCost/2, func() { ended(outcome) }) })
	}
	run.process(vm, callCost/2, func() {
		if run.isStranded(vm) {
			run.lose(call)
			return
		}
		run.after(delay, func() { run.receive(target, call) })
	})
	return call
}

// message sends a message from one VM to another.
func (run *fleetRun) message(from, to *simVM, do func()) {
	from.messages++
	run.process(from, messageCost, func() {
		run.after(delayBetween(from.domain, to.domain), func() { run.process(to, messageCost, do) })
	})
}

// request plays one client request at a random VM.
func (run *fleetRun) request(class loadClass) {
	vm := run.vms[run.random.IntN(len(run.vms))]
	sent := run.now
	run.after(clientDelay, func() {
		run.process(vm, messageCost, func() {
			request := &simRequest{run: run, vm: vm, class: class, sent: sent, calls: map[int]*simCall{}, relayRuns: map[int]*fanout.RelayRun{}}
			request.start()
		})
	})
}

// simRequest is one client request in flight.
type simRequest struct {
	run       *fleetRun
	vm        *simVM
	class     loadClass
	sent      time.Time
	decision  *fanout.Run
	calls     map[int]*simCall
	relayRuns map[int]*fanout.RelayRun
	tickAt    time.Time // of the next tick; zero if none is planned
}

func (request *simRequest) start() {
	run, class := request.run, request.class
	spec := fanout.Spec{Route: class.name, Parts: serviceNames(run.load.shards), Gather: true, MinCoverage: class.minCoverage, Idempotent: true,
		MaxAttempts: 2, Objective: class.objective, Timeout: class.timeout}
	run.parts += len(spec.Parts)
	request.decision = fanout.New(spec, request.vm.shared, run.now)
	request.apply(request.decision.Start(run.now))
}

// schedule plans the next tick, unless an earlier one is planned.
func (request *simRequest) schedule() {
	if request.decision.Finished() {
		return
	}
	next := request.decision.Next()
	if !next.After(request.run.now) {
		next = request.run.now.Add(time.Microsecond)
	}
	if !request.tickAt.IsZero() && !next.Before(request.tickAt) {
		return
	}
	request.tickAt = next
	request.run.at(next, func() {
		if request.tickAt.Equal(next) {
			request.tickAt = time.Time{}
			request.apply(request.decision.Tick(request.run.now))
		}
	})
}

func (request *simRequest) apply(actions []fanout.Action) {
	run, vm := request.run, request.vm
	for _, action := range actions {
		switch action := action.(type) {
		case fanout.Send:
			request.calls[action.Call] = run.call(vm, action.Target.ID, request.class.work, func(outcome fanout.Outcome) {
				request.apply(request.decision.Result(run.now, action.Call, outcome))
			})
		case fanout.Relay:
			request.relay(action)
		case fanout.Cancel:
			if call := request.calls[action.Call]; call != nil {
				call.aborted = action.CloseConnection
			} else if relayRun := request.relayRuns[action.Call]; relayRun != nil {
				relayRun.Abort(run.now)
			}
		case fanout.Finish:
			request.finish(action.Response)
		}
	}
	request.schedule()
}

// relay plays the relay's side of a relayed call.
func (request *simRequest) relay(relay fanout.Relay) {
	run, vm := request.run, request.vm
	relayVM := run.byName[relay.VM.ID]
	services := make([]string, len(relay.Parts))
	for i, part := range relay.Parts {
		services[i] = serviceNames(run.load.shards)[part]
	}
	run.message(vm, relayVM, func() {
		if len(relay.Targets) > 0 && !relayVM.forwards.Allow(run.now, len(relay.Targets)) {
			run.message(relayVM, vm, func() { request.refused(relay) })
			return
		}
		spec := fanout.RelaySpec{Route: request.class.name, Services: services, Targets: relay.Targets, ReportAfter: relay.ReportAfter}
		if relay.Reason == fanout.BudgetSpent {
			spec.Budgets = relayVM.shared.Budgets
		}
		relayRun := fanout.NewRelayRun(spec, relayVM.fleet, run.now)
		request.relayRuns[relay.Call] = relayRun
		var apply func(actions []fanout.Action)
		apply = func(actions []fanout.Action) {
			for _, action := range actions {
				switch action := action.(type) {
				case fanout.Send:
					run.call(relayVM, action.Target.ID, request.class.work, func(outcome fanout.Outcome) {
						apply(relayRun.Result(run.now, action.Call, outcome))
					})
				case fanout.Report:
					run.message(relayVM, vm, func() {
						if action.Refused {
							request.refused(relay)
							return
						}
						request.report(relay, action)
					})
				}
			}
		}
		apply(relayRun.Start(run.now))
		run.at(relayRun.Next(), func() { apply(relayRun.Tick(run.now)) })
	})
}

// refused tells the request that a relay makes none of its calls.
func (request *simRequest) refused(relay fanout.Relay) {
	request.apply(request.decision.RelayFailed(request.run.now, relay.Call, fanout.Refused))
}

// report gives a relay's report to the request, with the indices of its own parts.
func (request *simRequest) report(relay fanout.Relay, report fanout.Report) {
	received := fanout.Report{Latencies: report.Latencies, Early: report.Early, Final: report.Final}
	for _, part := range report.Answered {
		received.Answered = append(received.Answered, relay.Parts[part])
	}
	for _, missing := range report.Missing {
		received.Missing = append(received.Missing, fanout.Missing{Part: relay.Parts[missing.Part], Outcome: missing.Outcome})
	}
	_, actions := request.decision.RelayReport(request.run.now, relay.Call, received)
	request.apply(actions)
}

// finish records what the client gets.
func (request *simRequest) finish(response fanout.Response) {
	request.count(request.run.results[request.class.name], response)
	if request.run.load.stranded.judges(request.sent) {
		request.count(request.run.reached[request.run.load.stranded.vms(request.vm.name)], response)
	}
}

// count adds the client's credit and the outcome to a result.
func (request *simRequest) count(result *classResult, response fanout.Response) {
	result.requests++
	for cause, count := range request.decision.MissingCauses() {
		result.missing[cause] += count
	}
	deliver, ok := response.(fanout.Deliver)
	if !ok {
		result.failed++
		return
	}
	coverage := 1 - float64(deliver.Missing)/float64(request.run.load.shards)
	if request.run.now.Add(clientDelay).Sub(request.sent) > request.class.objective {
		result.credit += 0.1 * coverage * coverage
		return
	}
	result.inTime++
	if deliver.Missing == 0 {
		result.whole++
	}
	result.credit += coverage * coverage
}

// extraRatio returns the calls beyond one for each part, as a fraction of the parts.
func (run *fleetRun) extraRatio() float64 { return float64(run.calls-run.parts) / float64(run.parts) }

// busiestMessages returns the most messages that one VM sent to others.
func (run *fleetRun) busiestMessages() int {
	busiest := 0
	for _, vm := range run.vms {
		busiest = max(busiest, vm.messages)
	}
	return busiest
}
