package entry

import (
	"context"
	"sync"
	"time"

	"poplarpin.dev/core/admit"
	"poplarpin.dev/core/api"
	"poplarpin.dev/core/budget"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/latency"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/query"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
	"poplarpin.dev/poplarpind/settings"
)

const noReleaseRetryAfter = time.Second // sent to callers while the VM has no configuration or no index of the service

// service holds the state that all queries of one search service share on this VM.
type service struct {
	sync.Mutex
	shared  query.Shared
	limiter *admit.Limiter
}

// service returns the state of a service, created at its first use.
func (vm *VM) service(name string) *service {
	vm.services.Lock()
	defer vm.services.Unlock()
	found, ok := vm.services.byName[name]
	if !ok {
		found = &service{limiter: admit.New(), shared: query.Shared{
			Versions: query.NewVersions(), Tracker: latency.New(newRand()), Budget: budget.New(0)}}
		vm.services.byName[name] = found
	}
	return found
}

// retain drops the state of services and targets that are no longer in the configuration.
func (vm *VM) retain(configuration *config.Configuration) {
	vm.services.Lock()
	defer vm.services.Unlock()
	for name, service := range vm.services.byName {
		if _, ok := configuration.Services[name]; !ok {
			delete(vm.services.byName, name)
			continue
		}
		service.Lock()
		service.shared.Tracker.Retain(func(target string) bool {
			_, ok := configuration.Targets[target]
			return ok
		})
		service.Unlock()
	}
}

// Query runs a request and returns its final answer; the error is an api.Error.
func (vm *VM) Query(ctx context.Context, request api.Request) (api.Answer, error) {
	if err := vm.refuseLate(); err != nil {
		return api.Answer{}, err
	}
	vm.requests.Add(1)
	defer vm.requests.Add(-1)
	configuration := vm.configuration()
	if configuration == nil {
		return api.Answer{}, &api.Error{Op: "query", Kind: api.NoRelease, Message: "no configuration is in force on this VM yet",
			Outcome: api.NotRun, RetryAfter: retryAfter(noReleaseRetryAfter)}
	}
	class, err := resolveClass(request, configuration)
	if err != nil {
		return api.Answer{}, err
	}
	if request.NonIdempotent {
		return vm.runNonIdempotent(ctx, request, configuration, class)
	}
	return vm.search(ctx, request, configuration, class)
}

// resolveClass validates the request's service and class against the configuration and returns the class.
func resolveClass(request api.Request, configuration *config.Configuration) (config.Class, error) {
	declared, ok := configuration.Services[request.Service]
	if !ok {
		return config.Class{}, &api.Error{Op: "query", Kind: api.NotFound, Field: "service", Message: "is not in force: " + request.Service, Outcome: api.NotRun}
	}
	if len(configuration.Indexes[request.Service]) == 0 {
		return config.Class{}, &api.Error{Op: "query", Kind: api.NoRelease, Field: "service", Message: "has no index version in force",
			Outcome: api.NotRun, RetryAfter: retryAfter(noReleaseRetryAfter)}
	}
	name := request.Class
	if name == "" {
		name = declared.Classes[0]
	}
	for _, allowed := range declared.Classes {
		if allowed == name {
			return configuration.Classes[name], nil
		}
	}
	return config.Class{}, &api.Error{Op: "query", Kind: api.BadRequest, Field: "class", Message: "is not one of the service's classes: " + name, Outcome: api.NotRun}
}

// search admits an idempotent query and runs it as a scatter-gather.
func (vm *VM) search(ctx context.Context, request api.Request, configuration *config.Configuration, class config.Class) (api.Answer, error) {
	service := vm.service(request.Service)
	if vm.settings.Mode != settings.Direct {
		service.Lock()
		ok, delay := service.limiter.AdmitFrom(time.Now(), admit.Class{Name: class.Name, Priority: class.Priority, GuaranteedShare: class.Share}, nil)
		service.Unlock()
		if !ok {
			return api.Answer{}, &api.Error{Op: "query", Kind: api.Overloaded, Message: "the service's targets are busy with requests of this class and higher ones",
				Outcome: api.NotRun, RetryAfter: retryAfter(delay)}
		}
	}
	running := &scatter{vm: vm, service: service, class: class.Name, request: request, configuration: configuration,
		id: vm.newQueryID(), ownerByCall: map[int64]member.Member{}, done: make(chan api.Answer, 1)}
	vm.register(running.id, running)
	defer vm.unregister(running.id)
	running.start()
	select {
	case answer := <-running.done:
		answer.VM = vm.settings.Name
		return answer, nil
	case <-ctx.Done():
		running.abort()
		return api.Answer{}, &api.Error{Op: "query", Kind: api.Unavailable, Message: "the caller has gone"}
	}
}

// scatter executes the scatter-gather of one query; the service's lock guards all its state.
type scatter struct {
	vm            *VM
	service       *service
	class         string
	request       api.Request
	configuration *config.Configuration
	id            string
	run           *query.Run
	ownerByCall   map[int64]member.Member // VM through which each call was sent, by call id
	timer         *time.Timer
	done          chan api.Answer
	finished      bool
}

func (scatter *scatter) start() {
	scatter.service.Lock()
	defer scatter.service.Unlock()
	now := time.Now()
	scatter.service.shared.Budget.SetFraction(scatter.configuration.Services[scatter.request.Service].ExtraCallRatio)
	enabled := scatter.vm.settings.Mode != settings.Direct
	policy := query.Policy{Hedge: enabled && !scatter.vm.settings.NoHedge, Retry: enabled, Adaptive: enabled}
	scatter.run = query.New(scatter.request, scatter.configuration, scatter.service.shared, policy, now)
	scatter.perform(scatter.run.Start(now))
	if !scatter.finished {
		scatter.timer = time.AfterFunc(time.Until(scatter.run.NextTick()), scatter.tick)
	}
}

func (scatter *scatter) tick() {
	scatter.service.Lock()
	defer scatter.service.Unlock()
	if scatter.finished {
		return
	}
	scatter.perform(scatter.run.Tick(time.Now()))
	scatter.rearm()
}

// rearm resets the timer to the run's next tick.
func (scatter *scatter) rearm() {
	if !scatter.finished && scatter.timer != nil {
		scatter.timer.Reset(max(0, time.Until(scatter.run.NextTick())))
	}
}

// onResult implements pendingQuery.
func (scatter *scatter) onResult(_ string, result rpc.Result) {
	scatter.service.Lock()
	defer scatter.service.Unlock()
	if scatter.finished {
		return
	}
	scatter.perform(scatter.run.Result(time.Now(), result))
	if result.Outcome != rpc.OK {
		scatter.rearm()
	}
}

// onOwnerLost implements pendingQuery.
func (scatter *scatter) onOwnerLost(owner string) {
	scatter.service.Lock()
	defer scatter.service.Unlock()
	for call, calledThrough := range scatter.ownerByCall {
		if calledThrough.Name == owner && !scatter.finished {
			scatter.perform(scatter.run.OwnerLost(time.Now(), call))
		}
	}
	scatter.rearm()
}

func (scatter *scatter) abort() {
	scatter.service.Lock()
	defer scatter.service.Unlock()
	if !scatter.finished {
		scatter.perform(scatter.run.Abort(time.Now()))
		scatter.finish(false)
	}
}

func (scatter *scatter) finish(overloaded bool) {
	scatter.finished = true
	if scatter.timer != nil {
		scatter.timer.Stop()
	}
	scatter.service.limiter.Done(time.Now(), scatter.class, overloaded)
}

// perform executes the run's actions; the caller holds the service's lock.
func (scatter *scatter) perform(actions []query.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case query.Send:
			scatter.send(action.Calls)
		case query.Cancel:
			scatter.cancel(action.Calls)
		case query.Finish:
			scatter.finish(action.Overloaded)
			scatter.done <- action.Answer
		}
	}
}

// send groups calls by their target's owner and sends one batch to each owner.
func (scatter *scatter) send(calls []rpc.Call) {
	byOwner := map[string][]rpc.Call{}
	owners := map[string]member.Member{}
	for _, call := range calls {
		owner := scatter.vm.ownerOf(scatter.configuration.Targets[call.Target])
		scatter.ownerByCall[call.ID] = owner
		owners[owner.Name] = owner
		byOwner[owner.Name] = append(byOwner[owner.Name], call)
	}
	for name, owner := range owners {
		scatter.vm.send(owner, scatter.batch(byOwner[name]))
	}
}

func (scatter *scatter) batch(calls []rpc.Call) rpc.Batch {
	return rpc.Batch{
		QueryID:   scatter.id,
		Class:     scatter.class,
		Started:   scatter.run.Started().UnixMicro(),
		Timeout:   config.Duration(time.Until(scatter.run.Deadline())),
		Calls:     calls,
		RequestID: scatter.request.ID,
		Service:   scatter.request.Service,
		Version:   scatter.run.Version(),
		Text:      scatter.request.Query,
		Top:       scatter.request.RecordLimit(),
	}
}

// cancel asks the owners of calls to cancel them.
func (scatter *scatter) cancel(calls []rpc.Call) {
	byOwner := map[member.Member][]rpc.Call{}
	for _, call := range calls {
		owner := scatter.ownerByCall[call.ID]
		byOwner[owner] = append(byOwner[owner], rpc.Call{ID: call.ID, Target: call.Target})
	}
	for owner, calls := range byOwner {
		cancel := rpc.BatchCancel{QueryID: scatter.id, Calls: calls}
		if owner.Name == scatter.vm.settings.Name {
			go scatter.vm.owner.Cancel(cancel)
			continue
		}
		scatter.vm.mesh.Notify(owner.Name, owner.Address, peer.Message{Method: rpc.MethodBatchCancel, Params: cancel})
	}
}
