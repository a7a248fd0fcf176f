package gateway_test

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// runs records the targets at which each request has run.
type runs struct {
	mu      sync.Mutex
	targets map[string][]string // by request
}

// recorded returns a handler that records a run before it goes on.
func (runs *runs) recorded(target string, handler http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		runs.mu.Lock()
		id := platformtest.RequestID(request)
		runs.targets[id] = append(runs.targets[id], target)
		runs.mu.Unlock()
		handler(writer, request)
	}
}

// at returns the requests that have run at a target.
func (runs *runs) at(target string) []string {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	var requests []string
	for request, targets := range runs.targets {
		if slices.Contains(targets, target) {
			requests = append(requests, request)
		}
	}
	return requests
}

// TestSilentCallsCount guards against requests that run on more targets than their route allows: calls that the machines of their targets have
// acknowledged count as attempts, however long this VM has read nothing from there and however its probes end.
func TestSilentCallsCount(t *testing.T) {
	const requests = 8 // more than it takes for the failure domain of the second target to seem cut off
	store, release := platformtest.NewStore(t), make(chan struct{})
	runs := runs{targets: map[string][]string{}}
	targets := map[string]*platformtest.Target{}
	for domain, handler := range map[string]http.HandlerFunc{
		"a": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
		"b": func(writer http.ResponseWriter, _ *http.Request) { <-release; platformtest.Sign(writer, "b") },
		"c": func(writer http.ResponseWriter, _ *http.Request) { platformtest.Sign(writer, "c") },
	} {
		targets[domain] = platformtest.NewTarget(t, "i-"+domain)
		targets[domain].SetHandler(runs.recorded(domain, handler))
	}
	link := platformtest.NewLink(t, targets["b"])
	store.PutTarget(targets["a"], "one", "a", "ready")
	store.PutTarget(targets["b"], "one", "b", "ready")
	config := platformtest.Config(1)
	platformtest.AddPublicRoute(config, "l", "/l/", "one")
	store.PutConfig(config)
	settings := newSettings(t, "vm-a1", "a", store)
	settings.StoreAddress, settings.Bounds.RetryBudgetSlack = store.Behind(t, link), 1000
	vm := startVMWith(t, settings, zap.NewNop())
	t.Cleanup(func() { link.Restore(); close(release) })
	waitFor(t, "ready", vm.gateway.Ready)
	for range requests {
		go func() { vm.do(t, http.MethodGet, "/l/x", nil) }()
	}
	waitFor(t, "calls to the second target", func() bool { return len(runs.at("b")) == requests })
	twice := runs.at("a")
	assert.Assert(t, len(twice) > 0)
	link.Hang() // probes are not answered either
	store.PutTarget(targets["c"], "one", "c", "ready")
	time.Sleep(time.Second) // longer than a VM takes to find a failure domain cut off
	for _, request := range twice {
		assert.Assert(t, !slices.Contains(runs.at("c"), request), "%s has run on a third target", request)
	}
}
