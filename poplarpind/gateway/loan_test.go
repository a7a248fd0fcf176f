package gateway_test

import (
	"net/http"
	"sync"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// loseFirstAnswers lets targets lose the answer to the first call of each request.
func loseFirstAnswers(targets ...*platformtest.Target) {
	var lost sync.Map
	for _, target := range targets {
		target.SetHandler(func(writer http.ResponseWriter, request *http.Request) {
			if _, again := lost.LoadOrStore(platformtest.RequestID(request), true); !again {
				panic(http.ErrAbortHandler)
			}
			platformtest.Sign(writer, "i")
		})
	}
}

// startLender starts two VMs of the targets' failure domain, and returns the first, which has no budget of extra calls, and the two targets of the
// route /l/, which lose the answer to the first call of each request. The second VM has this slack.
func startLender(t *testing.T, slack float64) (*vm, []*platformtest.Target) {
	t.Helper()
	store, targets := newDeployment(t)
	loseFirstAnswers(targets["i-3"], targets["i-4"])
	config := platformtest.Config(2)
	platformtest.AddPublicRoute(config, "l", "/l/", "one")
	store.PutConfig(config)
	lender := newSettings(t, "vm-a2", "a", store)
	lender.Bounds.RetryBudgetRatio, lender.Bounds.RetryBudgetSlack = 0, slack
	startVMWith(t, lender, zap.NewNop())
	borrower := startVMWithin(t, platform.Bounds{}, "vm-a1", "a", store)
	waitFor(t, "ready", borrower.gateway.Ready)
	waitFor(t, "the list of VMs", func() bool { return borrower.gateway.Dump().Endpoint("vm-a2").State == "ready" })
	return borrower, []*platformtest.Target{targets["i-3"], targets["i-4"]}
}

// TestLentBudget guards against requests that fail for want of a budget that another VM has, and against calls that no VM pays for.
func TestLentBudget(t *testing.T) {
	const requests = 4 // fewer than it takes for both targets to count as down
	serve := func(t *testing.T, vm *vm) (served int) {
		for range requests {
			if vm.do(t, http.MethodGet, "/l/x", nil).StatusCode == http.StatusOK {
				served++
			}
		}
		return served
	}
	t.Run("the other VM retries", func(t *testing.T) {
		vm, targets := startLender(t, 1000)
		assert.Equal(t, serve(t, vm), requests)
		assert.Equal(t, targets[0].Calls.Load()+targets[1].Calls.Load(), int64(2*requests))
	})
	t.Run("not if its budget is spent too", func(t *testing.T) {
		vm, targets := startLender(t, 0)
		assert.Equal(t, serve(t, vm), 0)
		assert.Equal(t, targets[0].Calls.Load()+targets[1].Calls.Load(), int64(requests))
	})
}
