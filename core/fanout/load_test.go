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

// The load that these tests play: gather requests to 20 shards whose servers take 28 ms on two slots, queue 12 calls and
// refuse more, with an objective of 200 ms and a deadline of 2 s.
const (
	loadShards    = 20
	loadWork      = 28 * time.Millisecond
	loadSlots     = 2
	loadQueue     = 12
	loadObjective = 200 * time.Millisecond
	loadTimeout   = 2 * time.Second
	loadSpan      = 10 * time.Second
	loadLeast     = 0.89
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

// job is one call at a fake server.
type job struct {
	work   time.Duration
	done   func(now time.Time, outcome fanout.Outcome)
	broken bool
}

type fakeServer struct {
	busy   int
	queue  []*job
	paused time.Time
}

// plant is a set of fake servers and the clients of one VM.
type plant struct {
	random  *rand.Rand
	pending events
	order   int
	servers map[string]*fakeServer
	shared  fanout.SharedState
	limiter *admit.Limiter // nil for none
	inTime  int
	late    int
	refused int
	failed  int
	calls   int
}

func newPlant(replicas int, limited bool) *plant {
	plant := &plant{random: rand.New(rand.NewPCG(7, 7)), servers: map[string]*fakeServer{}}
	fleet := place.New("a", 0.4, plant.random)
	for i := range loadShards {
		for replica := range replicas {
			id := fmt.Sprintf("s%02d-%d", i, replica)
			plant.servers[id] = &fakeServer{}
			fleet.Update(start, place.Endpoint{ID: id, Service: fmt.Sprintf("s%02d", i), FailureDomain: "a", Slots: loadSlots, State: place.Ready})
		}
	}
	budgets := fanout.NewBudgets(0.14, 5, start.Add(-time.Minute))
	budgets.SetVMs(start, 1)
	plant.shared = fanout.SharedState{Fleet: fleet, Budgets: budgets, ResponseMargin: 8 * time.Millisecond}
	if limited {
		plant.limiter = admit.New()
	}
	return plant
}

func (plant *plant) after(at time.Time, do func(now time.Time)) {
	plant.order++
	heap.Push(&plant.pending, event{at, plant.order, do})
}

// arrive gives a call to a server.
func (plant *plant) arrive(now time.Time, id string, call *job) {
	server := plant.servers[id]
	if server.busy < loadSlots {
		plant.serve(now, server, call)
	} else if len(server.queue) < loadQueue {
		server.queue = append(server.queue, call)
	} else {
		plant.after(now, func(now time.Time) { call.done(now, fanout.Refused) })
	}
}

func (plant *plant) serve(now time.Time, server *fakeServer, call *job) {
	server.busy++
	from := now
	if server.paused.After(now) {
		from = server.paused
	}
	plant.after(from.Add(call.work), func(now time.Time) {
		server.busy--
		if !call.broken {
			call.done(now, fanout.Answered)
		}
		for len(server.queue) > 0 && server.busy < loadSlots {
			next := server.queue[0]
			server.queue = server.queue[1:]
			if !next.broken {
				plant.serve(now, server, next)
			}
		}
	})
}

func (plant *plant) work() time.Duration {
	return time.Duration(float64(loadWork) * math.Exp(0.35*plant.random.NormFloat64()-0.06))
}

// request plays one client's request.
func (plant *plant) request(now time.Time) {
	class := admit.Class{Name: "r", Priority: 1}
	if plant.limiter != nil {
		if ok, _ := plant.limiter.Admit(class); !ok {
			plant.refused++
			return
		}
	}
	spec := fanout.Spec{Route: "r", Parts: names(loadShards), Gather: true, MinCoverage: loadLeast, Idempotent: true, MaxAttempts: 2,
		Objective: loadObjective, Timeout: loadTimeout}
	run := fanout.New(spec, plant.shared, now)
	jobs := map[int]*job{}
	var take func(now time.Time, actions []fanout.Action)
	var tick func(now time.Time)
	take = func(now time.Time, actions []fanout.Action) {
		for _, action := range actions {
			switch action := action.(type) {
			case fanout.Send:
				plant.calls++
				jobs[action.Call] = &job{work: plant.work(), done: func(now time.Time, outcome fanout.Outcome) {
					take(now, run.Result(now, action.Call, outcome))
				}}
				plant.arrive(now, action.Target.ID, jobs[action.Call])
			case fanout.Cancel:
				jobs[action.Call].broken = action.CloseConnection
			case fanout.Finish:
				plant.finish(now, now.Sub(run.Started()), action.Response, run)
			}
		}
	}
	tick = func(now time.Time) {
		if run.Finished() {
			return
		}
		take(now, run.Tick(now))
		if !run.Finished() {
			plant.after(run.Next().Add(time.Microsecond), tick)
		}
	}
	take(now, run.Start(now))
	plant.after(run.Next(), tick)
}

func (plant *plant) finish(now time.Time, spent time.Duration, verdict fanout.Response, run *fanout.Run) {
	if plant.limiter != nil {
		plant.limiter.Done(now, "r", run.Congested(now))
	}
	_, delivered := verdict.(fanout.Deliver)
	switch {
	case delivered && spent <= loadObjective:
		plant.inTime++
	case delivered:
		plant.late++
	default:
		plant.failed++
	}
}

// play sends requests at a rate and runs until all is done.
func (plant *plant) play(perSecond float64, pauses bool) {
	for at := start; at.Before(start.Add(loadSpan)); at = at.Add(time.Duration(plant.random.ExpFloat64() / perSecond * float64(time.Second))) {
		plant.after(at, plant.request)
	}
	if pauses {
		for _, id := range slices.Sorted(maps.Keys(plant.servers)) {
			plant.pause(start.Add(time.Duration(plant.random.Float64()*6*float64(time.Second))), id)
		}
	}
	for len(plant.pending) > 0 {
		next := heap.Pop(&plant.pending).(event)
		next.do(next.at)
	}
}

// pause lets a server stand still for 250 ms each 6 s.
func (plant *plant) pause(at time.Time, id string) {
	if at.After(start.Add(loadSpan)) {
		return
	}
	plant.after(at, func(now time.Time) { plant.servers[id].paused = now.Add(250 * time.Millisecond) })
	plant.pause(at.Add(6*time.Second), id)
}

func (plant *plant) share(count int) float64 {
	return float64(count) / float64(plant.inTime+plant.late+plant.failed+plant.refused)
}

// TestOverload plays 130% of what the servers can take. With a limit at least nine tenths of what they can do is in time and
// the rest is refused at once; without one, requests fail in numbers after having been held to their deadline.
func TestOverload(t *testing.T) {
	capacity := float64(loadSlots) / loadWork.Seconds()
	open, limited := newPlant(1, false), newPlant(1, true)
	open.play(1.3*capacity, false)
	limited.play(1.3*capacity, false)
	t.Logf("in time, late, refused, failed: open %d %d %d %d, limited %d %d %d %d",
		open.inTime, open.late, open.refused, open.failed, limited.inTime, limited.late, limited.refused, limited.failed)
	assert.Assert(t, limited.share(limited.inTime) > 0.9/1.3)
	assert.Assert(t, limited.share(limited.failed) < 0.01)
	assert.Assert(t, open.share(open.inTime) < limited.share(limited.inTime)/1.5)
}

// TestPauses plays 40% of what two replicas can take while each stands still for 250 ms in 6 s: almost all is in time, and the
// extra calls stay within a fifth.
func TestPauses(t *testing.T) {
	capacity := 2 * float64(loadSlots) / loadWork.Seconds()
	plant := newPlant(2, true)
	plant.play(0.4*capacity, true)
	requests := plant.inTime + plant.late + plant.refused + plant.failed
	t.Logf("in time %d, late %d, refused %d, failed %d, calls %.3f a part", plant.inTime, plant.late, plant.refused, plant.failed,
		float64(plant.calls)/float64(requests*loadShards))
	assert.Assert(t, plant.share(plant.inTime) > 0.95)
	assert.Assert(t, float64(plant.calls) < 1.2*float64(requests*loadShards))
}
