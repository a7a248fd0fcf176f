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
	defaultDeadline = time.Second            // of a stream without a deadline; decides only which answers count as in time
	healthInterval  = 100 * time.Millisecond // between the health checks of the simulated load balancer, and their timeout
	settleTime      = 500 * time.Millisecond // from the last answer to the reading of the targets' counters, as calls may still run
)

// Experiment is one run of a plan.
type Experiment struct {
	plan                  Plan
	random                *rand.Rand
	checker               *check.Checker
	callers               []*client.Client // one per entry VM
	mu                    sync.Mutex
	healthy               []bool // by index in callers: result of the latest health check
	report                *Report
	nonIdempotentOutcomes map[string][]api.Outcome // by request ID, one outcome per submission
	faulted               bool                     // a fault was injected
	firstFault            time.Duration            // offset of the first fault from start
	start                 time.Time
}

// New returns an experiment that is ready to run.
func New(plan Plan) (*Experiment, error) {
	experiment := &Experiment{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 7)), checker: check.New(),
		report: newReport(), nonIdempotentOutcomes: map[string][]api.Outcome{}}
	for _, address := range plan.Callers {
		caller, err := client.New(address, client.TLS{})
		if err != nil {
			return nil, err
		}
		experiment.callers = append(experiment.callers, caller)
		experiment.healthy = append(experiment.healthy, true)
	}
	for _, name := range plan.Notes {
		if err := experiment.addIndexes(name); err != nil {
			return nil, err
		}
	}
	return experiment, nil
}

// addIndexes registers the index versions of a release note with the checker.
func (experiment *Experiment) addIndexes(name string) error {
	note, err := experiment.plan.readNote(name)
	if err != nil {
		return err
	}
	for _, index := range append(note.Add.Indexes, note.Change.Indexes...) {
		experiment.checker.AddIndex(index)
	}
	return nil
}

// Run sends the requests, injects the faults and returns the report.
func (experiment *Experiment) Run(ctx context.Context) (*Report, error) {
	before, err := experiment.fetchCounters(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	experiment.start = time.Now()
	go experiment.checkHealth(ctx)
	var group sync.WaitGroup
	group.Go(func() { experiment.runSchedule(ctx) })
	experiment.sendRequests(ctx, &group)
	group.Wait()
	time.Sleep(settleTime)
	if err := experiment.collectCounters(ctx, before); err != nil {
		return nil, err
	}
	experiment.report.computeTotals(experiment.plan)
	return experiment.report, nil
}

// sendRequests sends requests at the arrival times of a Poisson process, without waiting for the answers to earlier ones.
func (experiment *Experiment) sendRequests(ctx context.Context, group *sync.WaitGroup) {
	at := time.Duration(0)
	for number := 0; ctx.Err() == nil; number++ {
		at += time.Duration(experiment.random.ExpFloat64() / experiment.plan.Rate * float64(time.Second))
		if at >= experiment.plan.Duration.Std() {
			return
		}
		stream := experiment.chooseStream()
		id := fmt.Sprintf("q%d-%d", experiment.plan.Seed, number)
		copies := 1
		if experiment.random.Float64() < stream.Twice {
			copies = 2
		}
		if wait := time.Until(experiment.start.Add(at)); wait > 0 {
			time.Sleep(wait)
		}
		for range copies {
			caller := experiment.chooseCaller()
			group.Go(func() { experiment.send(ctx, caller, stream, id, at) })
		}
	}
}

// chooseStream returns a random stream, weighted by share.
func (experiment *Experiment) chooseStream() Stream {
	draw := experiment.random.Float64()
	for _, stream := range experiment.plan.Streams {
		draw -= stream.Share
		if draw < 0 {
			return stream
		}
	}
	return experiment.plan.Streams[len(experiment.plan.Streams)-1]
}

// chooseCaller returns the client of a random healthy entry VM; if none is healthy, of any entry VM.
func (experiment *Experiment) chooseCaller() *client.Client {
	experiment.mu.Lock()
	defer experiment.mu.Unlock()
	var candidates []*client.Client
	for i, caller := range experiment.callers {
		if experiment.healthy[i] {
			candidates = append(candidates, caller)
		}
	}
	if len(candidates) == 0 {
		candidates = experiment.callers
	}
	return candidates[experiment.random.IntN(len(candidates))]
}

// checkHealth starts the periodic health checks of the entry VMs, as the platform's load balancer runs them.
func (experiment *Experiment) checkHealth(ctx context.Context) {
	for i, caller := range experiment.callers {
		go func() {
			for ctx.Err() == nil {
				probeCtx, cancel := context.WithTimeout(ctx, healthInterval)
				healthy := caller.Healthy(probeCtx)
				cancel()
				experiment.mu.Lock()
				experiment.healthy[i] = healthy
				experiment.mu.Unlock()
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

// send sends one request and records its result. Latency counts from the arrival time in the schedule, so that delays of the load
// generator itself are not hidden.
func (experiment *Experiment) send(ctx context.Context, caller *client.Client, stream Stream, id string, at time.Duration) {
	request := stream.request(id)
	answer, err := caller.Query(ctx, request)
	latency := time.Since(experiment.start.Add(at))
	experiment.mu.Lock()
	defer experiment.mu.Unlock()
	measured := at >= experiment.plan.WarmUp.Std()
	figures := experiment.report.stream(stream.name())
	if measured {
		figures.Sent++
	}
	if err != nil {
		experiment.recordError(figures, id, stream, err, measured)
		return
	}
	deadline := stream.Deadline.Std()
	if deadline == 0 {
		deadline = defaultDeadline
	}
	if measured {
		figures.add(answer, latency, deadline)
	}
	experiment.report.interval(at).add(answer, latency)
	if stream.NonIdempotent {
		experiment.nonIdempotentOutcomes[id] = append(experiment.nonIdempotentOutcomes[id], answer.Outcome)
		return
	}
	experiment.report.RequiredCalls += int64(experiment.plan.Calls)
	experiment.report.Violations = append(experiment.report.Violations, experiment.checker.CheckAnswer(request, answer)...)
	experiment.recordRecovery(answer, at)
}

// recordRecovery records the latest arrival after the first fault that got a partial answer.
func (experiment *Experiment) recordRecovery(answer api.Answer, at time.Duration) {
	if answer.Outcome == api.Partial && experiment.faulted && at >= experiment.firstFault {
		experiment.report.RecoveredIn = max(experiment.report.RecoveredIn, config.Duration(at-experiment.firstFault))
	}
}

// recordError counts a request without an answer. Only an error from an entry VM with the outcome NotRun shows that nothing was run;
// after any other error the outcome is unknown.
func (experiment *Experiment) recordError(figures *Figures, id string, stream Stream, err error, measured bool) {
	var apiError *api.Error
	cause := "cut"
	if errors.As(err, &apiError) {
		cause = string(apiError.Kind)
	}
	if measured {
		figures.Errors[cause]++
	}
	if !stream.NonIdempotent {
		return
	}
	outcome := api.Unknown
	if apiError != nil && apiError.Outcome == api.NotRun {
		outcome = api.NotRun
	}
	experiment.nonIdempotentOutcomes[id] = append(experiment.nonIdempotentOutcomes[id], outcome)
}
