package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/member"
	"poplarpin.dev/core/owner"
	"poplarpin.dev/core/release"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/status"
	"poplarpin.dev/poplarpind/peer"
	"poplarpin.dev/poplarpind/platform"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/poplarpind/target"
)

// VM holds the state of one entry VM's process.
type VM struct {
	settings    settings.Settings
	incarnation int64
	log         *zap.Logger
	platform    *platform.Client
	mesh        *peer.Mesh
	owner       *target.Owner

	releases struct {
		sync.RWMutex
		adopter *release.Adopter
		version int64 // highest object version of the heads read from the platform that were not rejected
		adopted time.Time
		pulling atomic.Bool
	}
	members struct {
		sync.Mutex
		list  *member.List
		table *owner.Table
		known map[string]owner.VM // VMs that are in table
		epoch int64               // membership epoch at the last update of table
	}
	services struct {
		sync.Mutex
		byName map[string]*service
	}
	queries struct {
		sync.Mutex
		counter int64
		active  map[string]pendingQuery
	}
	statusCollector *status.Collector
	statusMu        sync.Mutex

	platformUp atomic.Bool
	stopping   atomic.Bool
	refusing   atomic.Bool  // the stop no longer waits for callers to turn to other VMs
	requests   atomic.Int64 // requests of callers in flight
	storing    atomic.Int64 // background tasks that write to the platform
}

// New returns a VM; Run starts it.
func New(settings settings.Settings, log *zap.Logger, client *tls.Config) *VM {
	vm := &VM{
		settings:        settings,
		incarnation:     time.Now().UnixMicro(),
		log:             log.With(zap.String("vm", settings.Name)),
		platform:        platform.New(settings.Platform, settings.FailureDomain),
		owner:           target.New(targetLimits(settings)),
		statusCollector: status.New(),
	}
	vm.mesh = peer.New(rpc.Hello{VM: settings.Name, Incarnation: vm.incarnation}, vm, client)
	vm.releases.adopter = release.NewAdopter()
	vm.members.list = member.New(vm.self(), member.DefaultSettings(), newRand())
	vm.members.table = owner.New()
	vm.members.known = map[string]owner.VM{}
	vm.members.epoch = -1
	vm.services.byName = map[string]*service{}
	vm.queries.active = map[string]pendingQuery{}
	return vm
}

// targetLimits returns the limits that the mode sets on this VM's use of a target.
func targetLimits(configured settings.Settings) target.Limits {
	switch configured.Mode {
	case settings.Direct:
		return target.Limits{Unlimited: true}
	case settings.Split:
		return target.Limits{Extra: *configured.Extra, SharingVMs: splitVMs}
	}
	return target.Limits{Extra: *configured.Extra}
}

// splitVMs is the number of entry VMs among which split mode divides a target's limits.
const splitVMs = 6

func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

func (vm *VM) self() member.Member {
	return member.Member{Name: vm.settings.Name, FailureDomain: vm.settings.FailureDomain,
		Address: vm.settings.PeerAddress, Incarnation: vm.incarnation}
}

// Mesh returns the mesh of links to peers, which also serves the peer listener.
func (vm *VM) Mesh() *peer.Mesh { return vm.mesh }

// Run maintains membership, configuration and status until the context is cancelled.
func (vm *VM) Run(ctx context.Context) {
	vm.loadInitialState(ctx)
	go vm.owner.Watch(ctx)
	go vm.watchHead(ctx)
	go vm.watchVMs(ctx)
	vm.tick(ctx)
}

const tickInterval = 100 * time.Millisecond

// tick periodically advances the membership, pulls newer releases and sends status reports.
func (vm *VM) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	nextReport := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		vm.tickMembers(time.Now())
		vm.pullNewest(ctx)
		if now := time.Now(); !now.Before(nextReport) {
			vm.report()
			nextReport = now.Add(reportInterval)
		}
	}
}

// configuration returns the configuration in force, or nil if there is none.
func (vm *VM) configuration() *config.Configuration {
	vm.releases.RLock()
	defer vm.releases.RUnlock()
	return vm.releases.adopter.Configuration()
}

// Ready reports whether a configuration is in force.
func (vm *VM) Ready() bool { return vm.configuration() != nil }

// newQueryID returns an id that is unique across all VMs and restarts.
func (vm *VM) newQueryID() string {
	vm.queries.Lock()
	defer vm.queries.Unlock()
	vm.queries.counter++
	return fmt.Sprintf("%s/%x/%x", vm.settings.Name, vm.incarnation, vm.queries.counter)
}
