package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/check"
	"poplarpin.dev/poplarpin/client"
)

const (
	defaultDeadline = time.Second            // of a stream that gives none, for the count of answers in time
	healthInterval  = 100 * time.Millisecond // of the balancer that the load stands in for
	settleTime      = 500 * time.Millisecond // after the last answer, before the runs are counted
)

// Load is one experiment under way.
type Load struct {
	plan    Plan
	random  *rand.Rand
	checker *check.Checker
	callers []*client.Client
	mu      sync.Mutex
	healthy []bool
	report  *Report
	once    map[string][]api.Outcome // outcomes of non-idempotent requests, by id
	fault   time.Duration            // when the first fault came about, 0 for none yet
	start   time.Time
}

// New prepares an experiment.
func New(plan Plan) (*Load, error) {
	load := &Load{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 7)), checker: check.New(),
		report: newReport(), once: map[string][]api.Outcome{}}
	for _, server := range plan.Callers {
		caller, err := client.New(server, client.TLS{})
		if err != nil {
			return nil, err
		}
		load.callers = append(load.callers, caller)
		load.healthy = append(load.healthy, true)
	}
	for _, name := range plan.Notes {
		if err := load.learn(name); err != nil {
			return nil, err
		}
	}
	return load, nil
}

// learn teaches the checker the index versions of a release note.
func (load *Load) learn(name string) error {
	note, err := load.plan.note(name)
	if err != nil {
		return err
	}
	for _, index := range append(note.Add.Indexes, note.Change.Indexes...) {
		load.checker.AddIndex(index)
	}
	return nil
}

// Run sends the requests, brings about the faults and returns the report.
func (load *Load) Run(ctx context.Context) (*Report, error) {
	before, err := load.counters(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	load.start = time.Now()
	go load.balance(ctx)
	var group sync.WaitGroup
	group.Go(func() { load.faults(ctx) })
	load.arrivals(ctx, &group)
	group.Wait()
	time.Sleep(settleTime)
	if err := load.finish(ctx, before); err != nil {
		return nil, err
	}
	load.report.finish(load.plan)
	return load.report, nil
}

// arrivals sends requests at the times of a Poisson process, whatever becomes of the earlier ones.
func (load *Load) arrivals(ctx context.Context, group *sync.WaitGroup) {
	at := time.Duration(0)
	for number := 0; ctx.Err() == nil; number++ {
		at += time.Duration(load.random.ExpFloat64() / load.plan.Rate * float64(time.Second))
		if at >= load.plan.Duration.Std() {
			return
		}
		stream := load.choose()
		id := fmt.Sprintf("q%d-%d", load.plan.Seed, number)
		copies := 1
		if load.random.Float64() < stream.Twice {
			copies = 2
		}
		if wait := time.Until(load.start.Add(at)); wait > 0 {
			time.Sleep(wait)
		}
		for range copies {
			caller := load.pick()
			group.Go(func() { load.send(ctx, caller, stream, id, at) })
		}
	}
}

func (load *Load) choose() Stream {
	dice := load.random.Float64()
	for _, stream := range load.plan.Streams {
		dice -= stream.Share
		if dice < 0 {
			return stream
		}
	}
	return load.plan.Streams[len(load.plan.Streams)-1]
}

// pick returns a random caller address among those that the health check shows as up.
func (load *Load) pick() *client.Client {
	load.mu.Lock()
	defer load.mu.Unlock()
	var up []*client.Client
	for i, caller := range load.callers {
		if load.healthy[i] {
			up = append(up, caller)
		}
	}
	if len(up) == 0 {
		up = load.callers
	}
	return up[load.random.IntN(len(up))]
}

// balance checks the entry VMs' health as the platform's balancer does.
func (load *Load) balance(ctx context.Context) {
	for i, caller := range load.callers {
		go func() {
			for ctx.Err() == nil {
				probe, cancel := context.WithTimeout(ctx, healthInterval)
				healthy := caller.Healthy(probe)
				cancel()
				load.mu.Lock()
				load.healthy[i] = healthy
				load.mu.Unlock()
				time.Sleep(healthInterval)
			}
		}()
	}
}

func (stream Stream) name() string {
	if stream.Class == "" {
		return stream.Service
	}
	return stream.Service + "/" + stream.Class
}

func (stream Stream) request(id string) api.Request {
	return api.Request{ID: id, Service: stream.Service, Class: stream.Class, Query: stream.Query, Top: api.MaxTop,
		Deadline: stream.Deadline, NonIdempotent: stream.NonIdempotent, Shard: stream.Shard}
}

// send makes one request and records what became of it.
func (load *Load) send(ctx context.Context, caller *client.Client, stream Stream, id string, at time.Duration) {
	request := stream.request(id)
	answer, err := caller.Query(ctx, request)
	latency := time.Since(load.start.Add(at))
	load.mu.Lock()
	defer load.mu.Unlock()
	measured := at >= load.plan.WarmUp.Std()
	figures := load.report.stream(stream.name())
	if measured {
		figures.Sent++
	}
	if err != nil {
		load.refused(figures, id, stream, err, measured)
		return
	}
	deadline := stream.Deadline.Std()
	if deadline == 0 {
		deadline = defaultDeadline
	}
	if measured {
		figures.add(answer, latency, deadline)
	}
	load.report.slice(at).add(answer, latency)
	if stream.NonIdempotent {
		load.once[id] = append(load.once[id], answer.Outcome)
		return
	}
	load.report.Needed += int64(load.plan.Calls)
	load.report.Violations = append(load.report.Violations, load.checker.CheckAnswer(request, answer)...)
	load.recovery(answer, at)
}

// recovery notes the last partial answer after the first fault.
func (load *Load) recovery(answer api.Answer, at time.Duration) {
	if answer.Outcome == api.Partial && load.fault > 0 && at >= load.fault {
		load.report.RecoveredIn = max(load.report.RecoveredIn, config.Duration(at-load.fault))
	}
}

// refused counts a request without an answer; only a refusal that came from an entry VM says that nothing was run.
func (load *Load) refused(figures *Figures, id string, stream Stream, err error, measured bool) {
	var refusal *api.Error
	cause := "cut"
	if errors.As(err, &refusal) {
		cause = string(refusal.Kind)
	}
	if measured {
		figures.Errors[cause]++
	}
	if !stream.NonIdempotent {
		return
	}
	outcome := api.Unknown
	if refusal != nil && refusal.Outcome == api.NotRun {
		outcome = api.NotRun
	}
	load.once[id] = append(load.once[id], outcome)
}
