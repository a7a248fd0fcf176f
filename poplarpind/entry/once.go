package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/claim"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
	"poplarpin.dev/poplarpind/platform"
)

const (
	claimPrefix  = "claims/"
	waitPause    = 50 * time.Millisecond // before a claim that another submission holds is read again
	claimPause   = 20 * time.Millisecond // before a platform call for a claim is repeated
	onceRetry    = time.Second           // when a caller may ask again what became of its request
	resultBuffer = 4
)

// once drives one non-idempotent request.
type once struct {
	vm       *VM
	request  api.Request
	object   string
	id       string
	class    string
	target   config.Target
	batch    rpc.Batch
	owner    atomic.Value // name of the VM that the call was sent through last
	results  chan rpc.Result
	version  int64
	response rpc.Result
}

// runOnce runs a non-idempotent request at most once, whoever submits it and however often.
func (vm *VM) runOnce(ctx context.Context, request api.Request, configuration *config.Configuration, class config.Class) (api.Answer, error) {
	started := time.Now()
	index := configuration.Indexes[request.Service][0]
	at := slices.IndexFunc(index.Shards, func(shard config.Shard) bool { return shard.Name == request.Shard })
	if at < 0 {
		return api.Answer{}, &api.Error{Op: "query", Kind: api.NotFound, Field: "shard", Message: "is not in the index: " + request.Shard, Outcome: api.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout(configuration.Services[request.Service]))
	defer cancel()
	shard := index.Shards[at]
	once := &once{vm: vm, request: request, id: vm.queryID(), class: class.Name,
		object: claimPrefix + request.Service + "/" + request.ID, results: make(chan rpc.Result, resultBuffer)}
	once.target = configuration.Targets[vm.replica(request.Service, shard.Replicas)]
	once.batch = rpc.Batch{QueryID: once.id, Class: class.Name, Started: started.UnixMicro(), RequestID: request.ID,
		Service: request.Service, Version: index.Version, Text: request.Query, Top: request.RecordLimit(), NonIdempotent: true,
		Calls: []rpc.Call{{Target: once.target.Name, Shards: []search.Shard{{Name: shard.Name, From: shard.From, To: shard.To}}}}}
	vm.register(once.id, once)
	defer vm.unregister(once.id)
	finish := once.drive(ctx)
	answer := api.Answer{ID: request.ID, Outcome: finish.Outcome, Message: finish.Message, VM: vm.settings.Name,
		Snapshot: api.Snapshot{Release: configuration.Release, Version: index.Version}, Elapsed: config.Duration(time.Since(started))}
	if finish.Outcome == api.Ran && len(once.response.Shards) == 1 {
		answer.Records, answer.Coverage, answer.Sufficient = once.response.Shards[0].Records, 1, true
	}
	if finish.Outcome == api.NotRun || finish.Outcome == api.Unknown {
		answer.RetryAfter = retry(onceRetry)
	}
	return answer, nil
}

// replica chooses the target by what the service's other calls have shown.
func (vm *VM) replica(name string, replicas []string) string {
	service := vm.service(name)
	service.Lock()
	defer service.Unlock()
	return service.shared.Tracker.Rank(replicas, time.Now())[0]
}

// drive carries out the runner's actions until it has the final outcome.
func (once *once) drive(ctx context.Context) claim.Finish {
	runner := claim.New(once.id)
	action := runner.Step(claim.Begin{})
	for {
		if finish, ok := action.(claim.Finish); ok {
			once.record(finish.Record)
			return finish
		}
		event := once.perform(ctx, action)
		if _, ok := event.(claim.NoAnswer); ok {
			pause(ctx, claimPause)
		}
		if ctx.Err() != nil {
			if _, ok := event.(claim.Result); !ok {
				event = claim.Aborted{}
			}
		}
		action = runner.Step(event)
	}
}

func pause(ctx context.Context, about time.Duration) {
	select {
	case <-time.After(about/2 + rand.N(about)):
	case <-ctx.Done():
	}
}

func (once *once) perform(ctx context.Context, action claim.Action) claim.Event {
	switch action := action.(type) {
	case claim.Write:
		return once.write(ctx, action)
	case claim.Read:
		if action.Waiting {
			pause(ctx, waitPause)
		}
		return once.read(ctx)
	case claim.Send:
		return once.send(ctx)
	}
	return claim.Aborted{}
}

func (once *once) write(ctx context.Context, write claim.Write) claim.Event {
	value, err := json.Marshal(write.Claim)
	if err != nil {
		return claim.NoAnswer{}
	}
	version, err := once.vm.platform.PutClaim(ctx, once.object, write.Version, value)
	switch {
	case err == nil:
		once.version = version
		return claim.Written{Version: version}
	case platform.KindOf(err) == platform.Stale:
		return once.read(ctx)
	}
	return claim.NoAnswer{}
}

func (once *once) read(ctx context.Context) claim.Event {
	found, err := once.vm.platform.GetClaim(ctx, once.object)
	if platform.KindOf(err) == platform.NotFound {
		return claim.Found{}
	}
	if err != nil {
		return claim.NoAnswer{}
	}
	var held claim.Claim
	if err := json.Unmarshal(found.Value, &held); err != nil {
		return claim.NoAnswer{}
	}
	return claim.Found{Claim: held, Version: found.Version}
}

// send sends the call once; another owner is tried only while it surely has not left.
func (once *once) send(ctx context.Context) claim.Event {
	for {
		deadline, _ := ctx.Deadline()
		if time.Until(deadline) <= 0 {
			return claim.Result{Outcome: rpc.Expired}
		}
		owner := once.vm.ownerOf(once.target)
		once.owner.Store(owner.Name)
		once.batch.Timeout = config.Duration(time.Until(deadline))
		once.vm.send(owner, once.batch)
		select {
		case result := <-once.results:
			if result.Outcome != rpc.OwnerNotReached {
				once.response = result
				return claim.Result{Outcome: result.Outcome}
			}
			pause(ctx, claimPause)
		case <-ctx.Done():
			return claim.Aborted{}
		}
	}
}

// result implements waiter.
func (once *once) result(result rpc.Result) {
	select {
	case once.results <- result:
	default:
	}
}

// lost implements waiter.
func (once *once) lost(owner string) {
	if owner == once.owner.Load() {
		once.result(rpc.Result{Outcome: rpc.OwnerLost})
	}
}

// record stores the outcome for later submissions of the same id, without need for success.
func (once *once) record(write *claim.Write) {
	if write == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
		defer cancel()
		for range claim.MaxAttempts {
			if _, ok := once.write(ctx, *write).(claim.NoAnswer); !ok {
				return
			}
			pause(ctx, longestPause)
		}
	}()
}
