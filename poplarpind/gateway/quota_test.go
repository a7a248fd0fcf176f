package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// quotaBounds make shares count fully soon after the start.
var quotaBounds = platform.Bounds{RetryBudgetRatio: 0.2, RetryBudgetSlack: 50, QuotaWindow: time.Second, QuotaOvershoot: 0.5, QuotaSlack: 20}

// configWithQuota returns a configuration in which the account with the key k has this quota.
func configWithQuota(version int, requestsPerSecond, burst float64) map[string]any {
	config := platformtest.Config(version)
	config["tenants"] = []map[string]any{{"name": "bulk", "api_keys": []string{"k"}, "rate_per_s": requestsPerSecond, "burst": burst}}
	return config
}

// send sends a request of the account and returns the status of the response.
func (vm *vm) send(t *testing.T) *http.Response {
	t.Helper()
	request := platformtest.NewRequest(t, http.MethodGet, vm.clients.URL+"/g/x", nil)
	request.Header.Set("Authorization", "Bearer k")
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response
}

// quotas returns a VM's part in the quotas, with at least one account.
func (vm *vm) quotas() quota.View {
	view := vm.gateway.Dump().Quotas
	if view == nil {
		view = &quota.View{}
	}
	if len(view.Accounts) == 0 {
		view.Accounts = make([]quota.AccountView, 1)
	}
	return *view
}

// startQuotaVMs starts three VMs that are on the list already, and waits until the pool has all shares and a full bucket.
func startQuotaVMs(t *testing.T, store *platformtest.Store) (pool *vm, others []*vm) {
	t.Helper()
	names := []string{"vm-a1", "vm-a2", "vm-a3"}
	for _, name := range names {
		store.Put(platform.VMsKind, name, platform.VM{Name: name, FailureDomain: "a", Address: "127.0.0.1:1"})
	}
	for _, name := range names {
		others = append(others, startVMWithin(t, quotaBounds, name, "a", store))
	}
	waitFor(t, "a pool with all shares and a full bucket", func() bool {
		for i, vm := range others {
			if view := vm.quotas(); view.Loans == 2 && view.Accounts[0].Level >= 15 {
				pool, others = vm, append(others[:i], others[i+1:]...)
				return true
			}
		}
		return false
	})
	return pool, others
}

// TestQuotas guards against VMs that let an account use more than its quota together, or refuse what it may use.
func TestQuotas(t *testing.T) {
	store, targets := newDeployment(t)
	store.Put("config", "main", configWithQuota(1, 1, 3))
	pool, others := startQuotaVMs(t, store)
	t.Run("the VMs together admit what the quota permits", func(t *testing.T) {
		statuses := map[int]int{}
		start := time.Now()
		for i := 0; time.Since(start) < quotaBounds.QuotaWindow*9/10; i++ {
			vm := []*vm{pool, others[0], others[1]}[i%3]
			response := vm.send(t)
			statuses[response.StatusCode]++
			assert.Assert(t, response.StatusCode == 200 || response.Header.Get("Retry-After") != "")
			time.Sleep(5 * time.Millisecond)
		}
		assert.Assert(t, statuses[200] >= 18, "%v", statuses)
		assert.Assert(t, targets["i-1"].Calls.Load() <= 26, "%v", statuses) // (1 x 1 s + 3) x 1.5 + 20
		assert.Assert(t, statuses[429] > 0, "%v", statuses)
	})
	t.Run("an account whose quota is removed needs no token", func(t *testing.T) {
		store.Put("config", "main", configWithQuota(2, 0, 0))
		for _, vm := range append(others, pool) {
			waitFor(t, "the configuration", func() bool { return vm.gateway.Dump().ConfigVersion == 2 })
			for range 10 {
				assert.Equal(t, vm.send(t).StatusCode, 200)
			}
		}
	})
}

// TestQuotaOfOtherFailureDomain guards against an account that is refused in one failure domain while another has tokens.
func TestQuotaOfOtherFailureDomain(t *testing.T) {
	store, _ := newDeployment(t)
	store.Put("config", "main", configWithQuota(1, 1, 3))
	for name, domain := range map[string]string{"vm-a1": "a", "vm-b1": "b"} {
		store.Put(platform.VMsKind, name, platform.VM{Name: name, FailureDomain: domain, Address: "127.0.0.1:1"})
	}
	vms := []*vm{startVMWithin(t, quotaBounds, "vm-a1", "a", store), startVMWithin(t, quotaBounds, "vm-b1", "b", store)}
	for _, vm := range vms {
		waitFor(t, "a pool with half of the quota", func() bool { return vm.quotas().Accounts[0].Level >= 7 })
	}
	admitted := 0
	for start := time.Now(); time.Since(start) < quotaBounds.QuotaWindow*6/5; time.Sleep(5 * time.Millisecond) {
		if vms[0].send(t).StatusCode == 200 {
			admitted++
		}
	}
	assert.Assert(t, admitted >= 18, "%d", admitted)
	assert.Assert(t, vms[1].quotas().Granted >= 9, "%d", vms[1].quotas().Granted)
}

// TestNoQuotas guards against deployments without quotas that pay for them.
func TestNoQuotas(t *testing.T) {
	store, _ := newDeployment(t)
	started := []*vm{startVM(t, "vm-a1", "a", store), startVMWithin(t, quotaBounds, "vm-a2", "a", store)}
	for _, vm := range started {
		waitFor(t, "ready", vm.gateway.Ready)
		assert.Equal(t, vm.do(t, http.MethodGet, "/g/x", nil).StatusCode, 200)
	}
	assert.Assert(t, started[0].gateway.Dump().Quotas == nil, "the settings permit no quotas")
	quotas := started[1].gateway.Dump().Quotas // the configuration has none, so that only shares are lent
	assert.Equal(t, len(quotas.Accounts), 0)
	assert.Equal(t, quotas.Granted, int64(0))
	assert.Equal(t, quotas.Waiting, 0)
}
