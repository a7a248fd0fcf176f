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
	claimPrefix           = "claims/"
	heldClaimPollInterval = 50 * time.Millisecond // mean interval between reads of a claim that another submission holds
	claimRetryDelay       = 20 * time.Millisecond // mean delay before a claim's platform call, or a call that reached no owner, is retried
	outcomeRetryAfter     = time.Second           // after which callers may resubmit a request that did not run or may have run
	resultBuffer          = 4                     // results beyond it are dropped
)

// claimedRequest executes one non-idempotent request under a claim, an object in the platform that records its state and outcome.
type claimedRequest struct {
	vm           *VM
	request      api.Request
	claimObject  string
	id           string
	class        string
	target       config.Target
	batch        rpc.Batch
	lastOwner    atomic.Value // name of the VM through which the call was last sent
	results      chan rpc.Result
	claimVersion int64
	response     rpc.Result
}

// runNonIdempotent runs a non-idempotent request at most once, however often and through whichever VM it is submitted.
func (vm *VM) runNonIdempotent(ctx context.Context, request api.Request, configuration *config.Configuration, class config.Class) (api.Answer, error) {
	started := time.Now()
	index := configuration.Indexes[request.Service][0]
	position := slices.IndexFunc(index.Shards, func(shard config.Shard) bool { return shard.Name == request.Shard })
	if position < 0 {
		return api.Answer{}, &api.Error{Op: "query", Kind: api.NotFound, Field: "shard", Message: "is not in the index: " + request.Shard, Outcome: api.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout(configuration.Services[request.Service]))
	defer cancel()
	shard := index.Shards[position]
	claimedRequest := &claimedRequest{vm: vm, request: request, id: vm.newQueryID(), class: class.Name,
		claimObject: claimPrefix + request.Service + "/" + request.ID, results: make(chan rpc.Result, resultBuffer)}
	claimedRequest.target = configuration.Targets[vm.chooseTarget(request.Service, shard.Replicas)]
	claimedRequest.batch = rpc.Batch{QueryID: claimedRequest.id, Class: class.Name, Started: started.UnixMicro(), RequestID: request.ID,
		Service: request.Service, Version: index.Version, Text: request.Query, Top: request.RecordLimit(), NonIdempotent: true,
		Calls: []rpc.Call{{Target: claimedRequest.target.Name, Shards: []search.Shard{{Name: shard.Name, From: shard.From, To: shard.To}}}}}
	vm.register(claimedRequest.id, claimedRequest)
	defer vm.unregister(claimedRequest.id)
	finish := claimedRequest.run(ctx)
	answer := api.Answer{ID: request.ID, Outcome: finish.Outcome, Message: finish.Message, VM: vm.settings.Name,
		Snapshot: api.Snapshot{Release: configuration.Release, Version: index.Version}, Elapsed: config.Duration(time.Since(started))}
	if finish.Outcome == api.Ran && len(claimedRequest.response.Shards) == 1 {
		answer.Records, answer.Coverage, answer.Sufficient = claimedRequest.response.Shards[0].Records, 1, true
	}
	if finish.Outcome == api.NotRun || finish.Outcome == api.Unknown {
		answer.RetryAfter = retryAfter(outcomeRetryAfter)
	}
	return answer, nil
}

// chooseTarget returns the replica that ranks best by the results of the service's other calls.
func (vm *VM) chooseTarget(serviceName string, replicas []string) string {
	service := vm.service(serviceName)
	service.Lock()
	defer service.Unlock()
	return service.shared.Tracker.Rank(replicas, time.Now())[0]
}

// run executes the runner's actions until the outcome is final; a cancelled context does not override a result that has arrived.
func (claimedRequest *claimedRequest) run(ctx context.Context) claim.Finish {
	runner := claim.New(claimedRequest.id)
	action := runner.Step(claim.Begin{})
	for {
		if finish, ok := action.(claim.Finish); ok {
			claimedRequest.storeOutcome(finish.Record)
			return finish
		}
		event := claimedRequest.perform(ctx, action)
		if _, ok := event.(claim.NoAnswer); ok {
			sleepJittered(ctx, claimRetryDelay)
		}
		if ctx.Err() != nil {
			if _, ok := event.(claim.Result); !ok {
				event = claim.Aborted{}
			}
		}
		action = runner.Step(event)
	}
}

// sleepJittered waits between 0.5 and 1.5 times the mean, or until the context is cancelled.
func sleepJittered(ctx context.Context, mean time.Duration) {
	select {
	case <-time.After(mean/2 + rand.N(mean)):
	case <-ctx.Done():
	}
}

func (claimedRequest *claimedRequest) perform(ctx context.Context, action claim.Action) claim.Event {
	switch action := action.(type) {
	case claim.Write:
		return claimedRequest.write(ctx, action)
	case claim.Read:
		if action.Waiting {
			sleepJittered(ctx, heldClaimPollInterval)
		}
		return claimedRequest.read(ctx)
	case claim.Send:
		return claimedRequest.send(ctx)
	}
	return claim.Aborted{}
}

// write stores the claim; if its version is stale, it returns the claim found instead.
func (claimedRequest *claimedRequest) write(ctx context.Context, write claim.Write) claim.Event {
	value, err := json.Marshal(write.Claim)
	if err != nil {
		return claim.NoAnswer{}
	}
	version, err := claimedRequest.vm.platform.PutClaim(ctx, claimedRequest.claimObject, write.Version, value)
	switch {
	case err == nil:
		claimedRequest.claimVersion = version
		return claim.Written{Version: version}
	case platform.KindOf(err) == platform.Stale:
		return claimedRequest.read(ctx)
	}
	return claim.NoAnswer{}
}

func (claimedRequest *claimedRequest) read(ctx context.Context) claim.Event {
	found, err := claimedRequest.vm.platform.GetClaim(ctx, claimedRequest.claimObject)
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

// send sends the call once; it tries again only while no owner was reached, as then the call has certainly not been sent.
func (claimedRequest *claimedRequest) send(ctx context.Context) claim.Event {
	for {
		deadline, _ := ctx.Deadline()
		if time.Until(deadline) <= 0 {
			return claim.Result{Outcome: rpc.Expired}
		}
		owner := claimedRequest.vm.ownerOf(claimedRequest.target)
		claimedRequest.lastOwner.Store(owner.Name)
		claimedRequest.batch.Timeout = config.Duration(time.Until(deadline))
		claimedRequest.vm.send(owner, claimedRequest.batch)
		select {
		case result := <-claimedRequest.results:
			if result.Outcome != rpc.OwnerNotReached {
				claimedRequest.response = result
				return claim.Result{Outcome: result.Outcome}
			}
			sleepJittered(ctx, claimRetryDelay)
		case <-ctx.Done():
			return claim.Aborted{}
		}
	}
}

// onResult implements pendingQuery. A result of a VM that was not asked says nothing of the call.
func (claimedRequest *claimedRequest) onResult(owner string, result rpc.Result) {
	if owner != claimedRequest.lastOwner.Load() {
		return
	}
	select {
	case claimedRequest.results <- result:
	default:
	}
}

// onOwnerLost implements pendingQuery.
func (claimedRequest *claimedRequest) onOwnerLost(owner string) {
	claimedRequest.onResult(owner, rpc.Result{Outcome: rpc.OwnerLost})
}

// storeOutcome records the outcome for later submissions of the same id, in the background and as a best effort.
func (claimedRequest *claimedRequest) storeOutcome(write *claim.Write) {
	if write == nil {
		return
	}
	claimedRequest.vm.storeInBackground(func(ctx context.Context) {
		for range claim.MaxAttempts {
			if _, ok := claimedRequest.write(ctx, *write).(claim.NoAnswer); !ok {
				return
			}
			sleepJittered(ctx, maxAcceptBackoff)
		}
	})
}
