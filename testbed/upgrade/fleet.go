package upgrade

import (
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/testbed/fleet"
)

const (
	freeKey         = "key-free" // the key of an account without a quota
	quotaKey        = "key-bulk" // the key of an account with a quota
	quotaPerSecond  = 20
	quotaBurst      = 10
	vmMemoryMB      = 184
	targetLatency   = 10 * time.Millisecond
	slowLatency     = 150 * time.Millisecond // a slow call takes this time, so that relays report that it takes long
	slowInterval    = 5                      // one call in this many is slow while a VM is stranded
	idleConnections = 100                    // clients keep this many idle connections to one VM
	waitTimeout     = 60 * time.Second
	leavingTarget   = "s1-a" // this target leaves during the upgrade
	strandedVM      = "c1"   // this VM loses its links to the targets during the upgrade
)

// bounds are the bounds of the deployment.
var bounds = platformtest.Bounds{GracePeriod: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 20,
	QuotaWindow: 2 * time.Second, QuotaOvershoot: 0.1, QuotaSlack: 10}

// deployment is a fleet of entry VMs with its store and targets.
type deployment struct {
	t        platformtest.T
	store    *platformtest.Store
	targets  map[string]*platformtest.Target
	recorder *platformtest.Recorder
	links    []*platformtest.Link // of the VM that is stranded
	calls    atomic.Int64
	slow     atomic.Bool // some calls take slowLatency
	vms      []*vm
}

// newDeployment starts the store and the targets; no VM runs yet. The VM that is stranded is alone in its failure domain, so that it learns the
// addresses of its links from the store only.
func newDeployment(t platformtest.T, folder string) (*deployment, error) {
	deployment := &deployment{t: t, store: platformtest.NewStore(t), targets: map[string]*platformtest.Target{}, recorder: &platformtest.Recorder{}}
	for _, service := range []string{"s1", "s2", "one"} {
		for _, domain := range []string{"a", "b"} {
			id := service + "-" + domain
			target := platformtest.NewTarget(t, id)
			deployment.recorder.Record(target, service, deployment.latency)
			deployment.store.PutTarget(target, service, domain, "ready")
			deployment.targets[id] = target
		}
	}
	deployment.store.PutConfig(configuration(1, false))
	for _, id := range slices.Sorted(maps.Keys(deployment.targets)) {
		deployment.links = append(deployment.links, platformtest.NewLink(t, deployment.targets[id]))
	}
	behind := deployment.store.Behind(t, deployment.links...)
	for _, name := range []string{"a1", "a2", "b1", "b2", strandedVM} {
		addresses, err := platformtest.FreeAddresses()
		if err != nil {
			return nil, err
		}
		process := platformtest.Process{VM: name, FailureDomain: name[:1], StoreAddress: deployment.store.Address(), Addresses: addresses, MemoryMB: vmMemoryMB, Bounds: bounds}
		if name == strandedVM {
			process.StoreAddress = behind
		}
		deployment.vms = append(deployment.vms, &vm{Process: process, folder: folder, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}})
	}
	return deployment, nil
}

// latency returns the latency of the next call to a target.
func (deployment *deployment) latency() time.Duration {
	if deployment.calls.Add(1)%slowInterval == 0 && deployment.slow.Load() {
		return slowLatency
	}
	return targetLatency
}

// configuration returns the configuration of the deployment, with one more route if added is set.
func configuration(version int, added bool) map[string]any {
	configuration := platformtest.Config(version)
	platformtest.AddRoute(configuration, "q", "/q/", "one")
	if added {
		platformtest.AddRoute(configuration, "n", "/n/", "one")
	}
	platformtest.SetAccounts(configuration, platformtest.Account{Name: "free", Key: freeKey},
		platformtest.Account{Name: "bulk", Key: quotaKey, PerSecond: quotaPerSecond, Burst: quotaBurst})
	return configuration
}

// await waits until a condition holds for one VM after the other.
func await(what string, vms []*vm, holds func(vm *vm) bool) error {
	for _, vm := range vms {
		if err := fleet.Await(waitTimeout, func() bool { return holds(vm) }); err != nil {
			return &Error{"wait", FleetFailed, fmt.Sprintf("%s at VM %s: %s; last output: %s", what, vm.VM, err, fleet.LastOutput(vm.log()))}
		}
	}
	return nil
}

// startAll starts all VMs with one program and waits until they are ready and know each other.
func (deployment *deployment) startAll(program string) error {
	for _, vm := range deployment.vms {
		if err := vm.start(deployment.t, program); err != nil {
			return err
		}
		deployment.t.Cleanup(vm.kill)
	}
	if err := await("ready", deployment.vms, (*vm).isReady); err != nil {
		return err
	}
	return await("the list of VMs", deployment.vms, func(asked *vm) bool {
		dump := asked.dump()
		return !slices.ContainsFunc(deployment.vms, func(other *vm) bool { return other != asked && dump.state(other.VM) == "" })
	})
}

// logLine is a line of a VM's log.
type logLine struct{ vm, text string }

// linesOn returns the lines of the VMs' logs that name one of some requests.
func (deployment *deployment) linesOn(ids []string) ([]logLine, error) {
	var lines []logLine
	for _, vm := range deployment.vms {
		log, err := os.ReadFile(vm.log())
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(log)) {
			if slices.ContainsFunc(ids, func(id string) bool { return strings.Contains(line, `"`+id+`"`) }) {
				lines = append(lines, logLine{vm.VM, strings.TrimSpace(line)})
			}
		}
	}
	return lines, nil
}

// replace stops a VM as planned and starts a program in its place.
func (deployment *deployment) replace(replaced *vm, program string) error {
	replaced.stop()
	return deployment.restart(replaced, program)
}

// restart starts a program on a VM whose process has ended, and waits until it is ready.
func (deployment *deployment) restart(restarted *vm, program string) error {
	restarted.ready.Store(false)
	if err := restarted.start(deployment.t, program); err != nil {
		return err
	}
	return await("ready again", []*vm{restarted}, (*vm).isReady)
}
