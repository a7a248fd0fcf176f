package gateway_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform/platformtest"
)

// strandedDeployment is a VM with links to all targets that can be cut, beside VMs that reach them.
type strandedDeployment struct {
	store    *platformtest.Store
	targets  map[string]*platformtest.Target
	links    []*platformtest.Link
	stranded *vm
	others   []*vm
}

// newStrandedDeployment starts a VM of the failure domain of the targets, whose links can be cut, and VMs of another one. Alone in its
// failure domain, the first VM learns the targets' addresses from the store only, which names its links.
func newStrandedDeployment(t *testing.T) *strandedDeployment {
	deployment := &strandedDeployment{}
	deployment.store, deployment.targets = newDeployment(t)
	for _, target := range deployment.targets {
		deployment.links = append(deployment.links, platformtest.NewLink(t, target))
	}
	settings := newSettings(t, "vm-a1", "a", deployment.store)
	settings.StoreAddress = deployment.store.Behind(t, deployment.links...)
	deployment.stranded = startVMWith(t, settings, zap.NewNop())
	deployment.others = []*vm{startVM(t, "vm-b1", "b", deployment.store), startVM(t, "vm-b2", "b", deployment.store)}
	for _, vm := range append(deployment.others, deployment.stranded) {
		waitFor(t, "ready", vm.gateway.Ready)
	}
	for _, peer := range []string{"vm-b1", "vm-b2"} {
		waitFor(t, "the list of VMs", func() bool { return deployment.stranded.gateway.Dump().Endpoint(peer).State == "ready" })
	}
	assertServes(t, deployment.stranded, "/g/x", "/o/x")
	return deployment
}

func (deployment *strandedDeployment) eachLink(change func(link *platformtest.Link)) {
	for _, link := range deployment.links {
		change(link)
	}
}

// assertServes waits until a VM serves requests to each path one after another without a failure.
func assertServes(t *testing.T, vm *vm, paths ...string) {
	t.Helper()
	for _, path := range paths {
		waitFor(t, "ten answers in a row to "+path, func() bool {
			for range 10 {
				if status := vm.doWithin(t, path); status != 200 {
					return false
				}
			}
			return true
		})
	}
}

// doWithin sends a request whose client waits for half a second, and returns the status of the answer.
func (vm *vm) doWithin(t *testing.T, path string) int {
	request := platformtest.NewRequest(t, http.MethodPost, vm.clients.URL+path, []byte("b"))
	platformtest.SetTimeout(request, 500*time.Millisecond)
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

// TestStrandedVM guards against a VM that refuses or holds its callers' requests while only its own links to the targets are cut.
func TestStrandedVM(t *testing.T) {
	cuts := map[string]func(*platformtest.Link){
		"connections hang":                 (*platformtest.Link).Hang,
		"connections are reset":            (*platformtest.Link).Reset,
		"only new connections are refused": (*platformtest.Link).Refuse,
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			deployment := newStrandedDeployment(t)
			deployment.eachLink(cut)
			for _, target := range deployment.targets {
				target.SetHandler(platformtest.LastReply) // no open connection outlives its next answer
			}
			assertServes(t, deployment.stranded, "/g/x", "/o/x")
			assert.Assert(t, deployment.stranded.gateway.Ready())
			deployment.eachLink((*platformtest.Link).Restore)
			assertServes(t, deployment.stranded, "/g/x", "/o/x")
		})
	}
}

// TestStrandedVMBesideOlderBuild guards against a message that names targets to a VM whose build chooses the targets itself, and may hedge, or
// merges their records as its own version of the route says.
func TestStrandedVMBesideOlderBuild(t *testing.T) {
	deployment := newStrandedDeployment(t)
	older := startRelay(t, deployment.store, "vm-b0", "b")
	merging := startRelay(t, deployment.store, "vm-b4", "b", rpc.NamedTargets)
	newer := startRelay(t, deployment.store, "vm-b3", "b", rpc.OwnCapabilities()...)
	waitFor(t, "the list of VMs", func() bool { return deployment.stranded.gateway.Dump().Endpoint("vm-b3").State == "ready" })
	deployment.eachLink((*platformtest.Link).Hang)
	for _, target := range deployment.targets {
		target.SetHandler(platformtest.LastReply)
	}
	waitFor(t, "a message to a VM that understands it", func() bool {
		var requests sync.WaitGroup
		for range 8 { // one by one they may all go to the first VM that has answered
			requests.Go(func() { deployment.stranded.doWithin(t, "/g/x") })
		}
		requests.Wait()
		return len(newer.gathers) > 0
	})
	assertServes(t, deployment.stranded, "/g/x", "/o/x")
	gather := <-newer.gathers
	assert.Assert(t, len(gather.Targets) > 0)
	assert.Equal(t, gather.RecordLimit, 5)
	assert.Equal(t, len(older.gathers), 0)
	for len(merging.gathers) > 0 {
		assert.Equal(t, (<-merging.gathers).ShardsDigest, uint64(0))
	}
}

// TestStrandedVMSuspectsNoRequest guards against requests that count as crashing their targets because one VM lost its links to these.
func TestStrandedVMSuspectsNoRequest(t *testing.T) {
	deployment := newStrandedDeployment(t)
	for _, target := range deployment.targets {
		target.SetHandler(platformtest.Delayed(100 * time.Millisecond))
	}
	running := deployment.targets["i-1"].Calls.Load()
	ended := make(chan int)
	go func() { ended <- deployment.stranded.doWithin(t, "/g/innocent") }()
	waitFor(t, "a call", func() bool { return deployment.targets["i-1"].Calls.Load() > running })
	deployment.eachLink((*platformtest.Link).Refuse) // all links are cut before the first call is lost
	deployment.eachLink((*platformtest.Link).Reset)
	<-ended
	time.Sleep(300 * time.Millisecond) // longer than a VM takes to check whether a target has crashed
	assert.Equal(t, len(deployment.stranded.gateway.Dump().Suspects), 0)
}

// TestStrandedVMRunsOnce guards against a second call of a request that is not idempotent while the relay of the first takes long.
func TestStrandedVMRunsOnce(t *testing.T) {
	deployment := newStrandedDeployment(t)
	recorder := &platformtest.Recorder{}
	for _, id := range []string{"i-3", "i-4"} {
		recorder.Record(deployment.targets[id], "one", func() time.Duration { return 300 * time.Millisecond })
	}
	deployment.eachLink((*platformtest.Link).Hang)
	var served int
	for range 10 {
		if deployment.stranded.doWithin(t, "/o/x") == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, served > 0)
	runs := map[string]int{}
	for _, run := range recorder.Runs() {
		runs[run.RequestID]++
		assert.Equal(t, runs[run.RequestID], 1, "%v", recorder.Runs())
	}
}

// TestInvalidStatusByRelay guards against an answer made of a response whose status no target may give, and that another VM has received.
func TestInvalidStatusByRelay(t *testing.T) {
	deployment := newStrandedDeployment(t)
	deployment.eachLink((*platformtest.Link).Hang)
	for _, target := range deployment.targets {
		target.SetHandler(platformtest.LastReply)
	}
	assertServes(t, deployment.stranded, "/o/x")
	for _, id := range []string{"i-3", "i-4"} {
		deployment.targets[id].SetHandler(func(writer http.ResponseWriter, _ *http.Request) {
			platformtest.Sign(writer, "odd")
			writer.WriteHeader(777)
		})
	}
	calls := func() int64 { return deployment.targets["i-3"].Calls.Load() + deployment.targets["i-4"].Calls.Load() }
	before := calls()
	assert.Equal(t, deployment.stranded.doWithin(t, "/o/x"), http.StatusBadGateway)
	assert.Equal(t, calls(), before+1)
}
