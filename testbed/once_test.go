package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpin/check"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/target"
	"poplarpin.dev/testbed/fleet"
)

var (
	onceSeed     = flag.Uint64("once.seed", 1, "seed of TestOnceUnderRandomFaults and TestOnceUnderCuts")
	onceDuration = flag.Duration("once.duration", 8*time.Second, "duration of TestOnceUnderRandomFaults and TestOnceUnderCuts")
)

const (
	onceInterval  = 15 * time.Millisecond // between requests
	oncePause     = 60 * time.Millisecond // mean pause before a request is submitted again
	maxSubmission = 4                     // times that a request is submitted, one after the other
)

// onceLoad submits non-idempotent requests, some of them through two VMs at once, and again after an outcome that allows it.
type onceLoad struct {
	vms      int
	query    func(vm int, request api.Request) (api.Answer, error)
	mu       sync.Mutex
	random   *rand.Rand
	outcomes map[string][]api.Outcome
}

func newOnceLoad(vms int, query func(vm int, request api.Request) (api.Answer, error)) *onceLoad {
	return &onceLoad{vms: vms, query: query, random: rand.New(rand.NewPCG(*onceSeed, 0)), outcomes: map[string][]api.Outcome{}}
}

// draw returns a random number below n.
func (onceLoad *onceLoad) draw(n int) int {
	onceLoad.mu.Lock()
	defer onceLoad.mu.Unlock()
	return onceLoad.random.IntN(n)
}

// send submits a request until an outcome is final.
func (onceLoad *onceLoad) send(id string) {
	request := api.Request{ID: id, Service: "heat", Query: "crew", NonIdempotent: true, Shard: fmt.Sprintf("v1-s%02d", onceLoad.draw(8)),
		Deadline: config.Duration(time.Duration(100+onceLoad.draw(900)) * time.Millisecond)}
	for range maxSubmission {
		answer, err := onceLoad.query(onceLoad.draw(onceLoad.vms), request)
		outcome := answer.Outcome
		if err != nil {
			outcome = api.Unknown
			var failure *api.Error
			if errors.As(err, &failure) && failure.Outcome == api.NotRun {
				outcome = api.NotRun
			}
		}
		onceLoad.mu.Lock()
		onceLoad.outcomes[id] = append(onceLoad.outcomes[id], outcome)
		onceLoad.mu.Unlock()
		if outcome != api.NotRun && outcome != api.Unknown {
			return
		}
		time.Sleep(oncePause/2 + time.Duration(onceLoad.draw(int(oncePause))))
	}
}

// run submits requests until the end and waits for the last outcome.
func (onceLoad *onceLoad) run(end time.Time) {
	var group sync.WaitGroup
	for number := 0; time.Now().Before(end); number++ {
		id := fmt.Sprintf("once-%d", number)
		for range 1 + onceLoad.draw(2) {
			group.Go(func() { onceLoad.send(id) })
		}
		time.Sleep(onceInterval)
	}
	group.Wait()
	time.Sleep(time.Second) // calls of requests that ended as unknown may still run
}

// assertOnce checks the outcomes against how often each request ran.
func (onceLoad *onceLoad) assertOnce(t *testing.T, runs map[string]int) {
	t.Helper()
	counts := map[api.Outcome]int{}
	for id, outcomes := range onceLoad.outcomes {
		for _, outcome := range outcomes {
			counts[outcome]++
		}
		assert.Check(t, len(check.NonIdempotent(id, outcomes, runs[id])) == 0, "%s ran %d times: %v", id, runs[id], outcomes)
	}
	t.Logf("seed %d: %d requests, %d of them ran, outcomes %v", *onceSeed, len(onceLoad.outcomes), len(runs), counts)
	assert.Assert(t, counts[api.Ran] > 0 && counts[api.Unknown] > 0, "%v", counts)
}

// disturb repeats random faults until the end, each for a while and followed by a quiet time; fault starts one and returns the function that ends it.
func disturb(seed uint64, end time.Time, quiet time.Duration, fault func(random *rand.Rand) (undo func())) {
	random := rand.New(rand.NewPCG(*onceSeed, seed))
	for time.Now().Before(end) {
		undo := fault(random)
		time.Sleep(time.Duration(50+random.IntN(1200)) * time.Millisecond)
		undo()
		time.Sleep(time.Duration(random.Int64N(int64(2 * quiet))))
	}
}

// disturbVM freezes a VM, so that its peers may take it for lost and it wakes up unaware, or kills or stops it.
func disturbVM(t *testing.T, running *fleet.Fleet, random *rand.Rand) (undo func()) {
	vm := running.VMs[random.IntN(len(running.VMs))]
	signal := []syscall.Signal{syscall.SIGSTOP, syscall.SIGSTOP, syscall.SIGKILL, syscall.SIGTERM}[random.IntN(4)]
	assert.Check(t, vm.Signal(signal))
	return func() {
		if signal == syscall.SIGSTOP {
			assert.Check(t, vm.Signal(syscall.SIGCONT))
			return
		}
		_ = vm.Wait()
		assert.Check(t, running.Launch(vm))
	}
}

func disturbTargets(t *testing.T, running *fleet.Fleet, random *rand.Rand) (undo func()) {
	part := random.Float64()
	faults := []target.Faults{{CutAfterWork: part}, {Slow: 300 * part}, {Silent: part}, {Shed: part}, {Hung: true}, {Down: true}, {Draining: true},
		{SlowPart: part, SlowFactor: 200, CutAfterWork: part, Shed: part}}
	assert.Check(t, running.SetTargets(faults[random.IntN(len(faults))]))
	return func() { assert.Check(t, running.SetTargets(target.Faults{})) }
}

func disturbPlatform(t *testing.T, running *fleet.Fleet, random *rand.Rand) (undo func()) {
	part := random.Float64()
	faults := []platform.Faults{{LoseWrite: part}, {LoseWrite: part, Slow: config.Duration(part * float64(time.Second))},
		{DownFor: running.Topology.FailureDomains[:1]}, {Down: true}}
	assert.Check(t, running.SetPlatform(faults[random.IntN(len(faults))]))
	return func() { assert.Check(t, running.SetPlatform(platform.Faults{})) }
}

// TestOnceUnderRandomFaults guards against a request that runs twice, or has run although reported as not run, when its callers submit it again while
// VMs are frozen, killed, stopped and restarted, targets are slow, silent or cut calls off, and the platform is slow, down or loses answers.
func TestOnceUnderRandomFaults(t *testing.T) {
	running := startFleet(t)
	onceLoad := newOnceLoad(len(running.VMs), func(vm int, request api.Request) (api.Answer, error) {
		return running.VMs[vm].CallerClient().Query(context.Background(), request)
	})
	end := time.Now().Add(*onceDuration)
	var group sync.WaitGroup
	start := func(seed uint64, quiet time.Duration, fault func(*testing.T, *fleet.Fleet, *rand.Rand) func()) {
		group.Go(func() { disturb(seed, end, quiet, func(random *rand.Rand) func() { return fault(t, running, random) }) })
	}
	start(1, 200*time.Millisecond, disturbVM)
	start(2, 500*time.Millisecond, disturbTargets)
	start(3, time.Second, disturbPlatform)
	onceLoad.run(end)
	group.Wait()
	var runs map[string]int
	assert.NilError(t, running.Admin(http.MethodGet, "/runs", nil, &runs))
	onceLoad.assertOnce(t, runs)
}
