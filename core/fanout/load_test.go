package fanout_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
)

// The simulated load: gather requests to 20 shards, each target with two slots, calls of 28 ms, a queue of 12 calls and refusals beyond
// it, an objective of 200 ms and a timeout of 2 s.
const (
	loadShards      = 20
	loadWorkTime    = 28 * time.Millisecond
	loadSlots       = 2
	loadQueue       = 12
	loadObjective   = 200 * time.Millisecond
	loadTimeout     = 2 * time.Second
	loadDuration    = 10 * time.Second
	loadMinCoverage = 0.89
)

type event struct {
	at    time.Time
	order int
	do    func(now time.Time)
}

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

// fakeCall is a call to a fake target.
type fakeCall struct {
	work      time.Duration
	target    place.Endpoint
	done      func(now time.Time, outcome fanout.Outcome)
	cancelled bool
}

type fakeTarget struct {
	busy        int
	queue       []*fakeCall
	pausedUntil time.Time
	slowdown    float64 // factor on the duration of work; 0 for none
}

// cluster simulates targets and the clients of one VM.
type cluster struct {
	random    *rand.Rand
	pending   events
	order     int
	targets   map[string]*fakeTarget
	shared    fanout.SharedState
	limiter   *admit.Limiter // nil for no admission control
	inTime    int
	late      int
	refused   int
	failed    int
	calls     int
	reports   bool                                   // targets report their load in answers
	latency   time.Duration                          // of all delivered requests together
	slowCalls int                                    // to targets with a slowdown
	slow      func(now time.Time, id string) float64 // factor on the time of calls at a target; nil for none
}

func newCluster(replicas int, limited bool) *cluster {
	cluster := &cluster{random: rand.New(rand.NewPCG(7, 7)), targets: map[string]*fakeTarget{}}
	fleet := place.New("a", 0.4, cluster.random)
	for i := range loadShards {
		for replica := range replicas {
			id := fmt.Sprintf("s%02d-%d", i, replica)
			cluster.targets[id] = &fakeTarget{}
			fleet.Update(start, place.Endpoint{ID: id, Service: fmt.Sprintf("s%02d", i), FailureDomain: "a", Slots: loadSlots, State: place.Ready})
		}
	}
	budgets := fanout.NewBudgets(0.14, 5, start.Add(-time.Minute))
	budgets.SetVMs(start, 1)
	cluster.shared = fanout.SharedState{Fleet: fleet, Budgets: budgets, ResponseMargin: 8 * time.Millisecond}
	if limited {
		cluster.limiter = admit.New()
	}
	return cluster
}

func (cluster *cluster) schedule(at time.Time, do func(now time.Time)) {
	cluster.order++
	heap.Push(&cluster.pending, event{at, cluster.order, do})
}

// receive starts a call at a target, queues it, or refuses it if the queue is full.
func (cluster *cluster) receive(now time.Time, id string, call *fakeCall) {
	target := cluster.targets[id]
	if cluster.slow != nil {
		call.work = time.Duration(float64(call.work) * cluster.slow(now, id))
	}
	if target.busy < loadSlots {
		cluster.serve(now, target, call)
	} else if len(target.queue) < loadQueue {
		target.queue = append(target.queue, call)
	} else {
		cluster.schedule(now, func(now time.Time) { call.done(now, fanout.Refused) })
	}
}

func (cluster *cluster) serve(now time.Time, target *fakeTarget, call *fakeCall) {
	target.busy++
	from := now
	if target.pausedUntil.After(now) {
		from = target.pausedUntil
	}
	work := call.work
	if target.slowdown > 0 {
		work = time.Duration(float64(work) * target.slowdown)
		cluster.slowCalls++
	}
	cluster.schedule(from.Add(work), func(now time.Time) {
		target.busy--
		cluster.report(now, call.target, target)
		if !call.cancelled {
			call.done(now, fanout.Answered)
		}
		for len(target.queue) > 0 && target.busy < loadSlots {
			next := target.queue[0]
			target.queue = target.queue[1:]
			if !next.cancelled {
				cluster.serve(now, target, next)
			}
		}
	})
}

func (cluster *cluster) workTime() time.Duration {
	return time.Duration(float64(loadWorkTime) * math.Exp(0.35*cluster.random.NormFloat64()-0.06))
}

// request simulates one client request.
func (cluster *cluster) request(now time.Time) {
	class := admit.Class{Name: "r", Priority: 1}
	if cluster.limiter != nil {
		if ok, _ := cluster.limiter.Admit(class); !ok {
			cluster.refused++
			return
		}
	}
	spec := fanout.Spec{Route: "r", Parts: serviceNames(loadShards), Gather: true, MinCoverage: loadMinCoverage, Idempotent: true,
		MaxAttempts: 2, Objective: loadObjective, Timeout: loadTimeout}
	run := fanout.New(spec, cluster.shared, now)
	fakeCalls := map[int]*fakeCall{}
	var apply func(now time.Time, actions []fanout.Action)
	var tick func(now time.Time)
	apply = func(now time.Time, actions []fanout.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case fanout.Send:
				cluster.calls++
				fakeCalls[action.Call] = &fakeCall{work: cluster.workTime(), target: action.Target, done: func(now time.Time, outcome fanout.Outcome) {
					apply(now, run.Result(now, action.Call, outcome))
				}}
				cluster.receive(now, action.Target.ID, fakeCalls[action.Call])
			case fanout.Cancel:
				fakeCalls[action.Call].cancelled = action.CloseConnection
			case fanout.Finish:
				cluster.finish(now, now.Sub(run.Started()), action.Response, run)
			}
		}
	}
	tick = func(now time.Time) {
		if run.Finished() {
			return
		}
		apply(now, run.Tick(now))
		if !run.Finished() {
			cluster.schedule(run.Next().Add(time.Microsecond), tick)
		}
	}
	apply(now, run.Start(now))
	cluster.schedule(run.Next(), tick)
}

func (cluster *cluster) finish(now time.Time, spent time.Duration, response fanout.Response, run *fanout.Run) {
	if cluster.limiter != nil {
		cluster.limiter.Done(now, "r", run.Congested(now))
	}
	_, delivered := response.(fanout.Deliver)
	if delivered {
		cluster.latency += spent
	}
	switch {
	case delivered && spent <= loadObjective:
		cluster.inTime++
	case delivered:
		cluster.late++
	default:
		cluster.failed++
	}
}

// report applies the load report in an answer of a target.
func (cluster *cluster) report(now time.Time, endpoint place.Endpoint, target *fakeTarget) {
	if cluster.reports {
		load := place.LoadReport{Running: target.busy, Waiting: len(target.queue), Slots: loadSlots, PacePercent: 100 * max(target.slowdown, 1)}
		cluster.shared.Fleet.ApplyReport(now, endpoint, place.TargetReport{Load: &load})
	}
}

func (cluster *cluster) meanLatency() time.Duration {
	return cluster.latency / time.Duration(cluster.inTime+cluster.late)
}

// run sends requests at a rate and simulates until all have ended.
func (cluster *cluster) run(perSecond float64, pauses bool) {
	for at := start; at.Before(start.Add(loadDuration)); at = at.Add(time.Duration(
		cluster.random.ExpFloat64() / perSecond * float64(time.Second))) {
		cluster.schedule(at, cluster.request)
	}
	if pauses {
		for _, id := range slices.Sorted(maps.Keys(cluster.targets)) {
			cluster.pause(start.Add(time.Duration(cluster.random.Float64()*6*float64(time.Second))), id)
		}
	}
	for len(cluster.pending) > 0 {
		next := heap.Pop(&cluster.pending).(event)
		next.do(next.at)
	}
}

// pause stops a target for 250 ms every 6 s.
func (cluster *cluster) pause(at time.Time, id string) {
	if at.After(start.Add(loadDuration)) {
		return
	}
	cluster.schedule(at, func(now time.Time) { cluster.targets[id].pausedUntil = now.Add(250 * time.Millisecond) })
	cluster.pause(at.Add(6*time.Second), id)
}

func (cluster *cluster) share(count int) float64 {
	return float64(count) / float64(cluster.inTime+cluster.late+cluster.failed+cluster.refused)
}

// TestOverload guards against a collapse under overload. At 130% of the capacity of the targets, admission control must keep at least
// 90% of the capacity in time and refuse the rest at once; without it, many requests fail after waiting for their deadline.
func TestOverload(t *testing.T) {
	capacity := float64(loadSlots) / loadWorkTime.Seconds()
	unlimited, limited := newCluster(1, false), newCluster(1, true)
	unlimited.run(1.3*capacity, false)
	limited.run(1.3*capacity, false)
	t.Logf("in time, late, refused, failed: unlimited %d %d %d %d, limited %d %d %d %d",
		unlimited.inTime, unlimited.late, unlimited.refused, unlimited.failed, limited.inTime, limited.late, limited.refused, limited.failed)
	assert.Assert(t, limited.share(limited.inTime) > 0.9/1.3)
	assert.Assert(t, limited.share(limited.failed) < 0.01)
	assert.Assert(t, unlimited.share(unlimited.inTime) < limited.share(limited.inTime)/1.5)
}

// TestPauses guards against late answers and excessive hedging when targets pause. At 40% of the capacity of two replicas that each
// stop for 250 ms every 6 s, 95% of the requests must be in time, with at most 20% extra calls.
func TestPauses(t *testing.T) {
	capacity := 2 * float64(loadSlots) / loadWorkTime.Seconds()
	cluster := newCluster(2, true)
	cluster.run(0.4*capacity, true)
	requests := cluster.inTime + cluster.late + cluster.refused + cluster.failed
	t.Logf("in time %d, late %d, refused %d, failed %d, calls %.3f a part", cluster.inTime, cluster.late, cluster.refused, cluster.failed,
		float64(cluster.calls)/float64(requests*loadShards))
	assert.Assert(t, cluster.share(cluster.inTime) > 0.95)
	assert.Assert(t, float64(cluster.calls) < 1.2*float64(requests*loadShards))
}
