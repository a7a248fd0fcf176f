package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/object"
	"poplarpin.dev/poplarpind/entry"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/standin/platform"
	standin "poplarpin.dev/standin/settings"
	"poplarpin.dev/standin/target"
	"poplarpin.dev/testbed/fleet"
)

// doorway forwards the links of other VMs to a VM. It can hold the bytes of a direction, and deliver them late, or close all links.
type doorway struct {
	net.Listener
	address  string // of the VM
	heldTo   atomic.Bool
	heldFrom atomic.Bool
	mu       sync.Mutex
	open     map[*net.TCPConn]bool
}

func newDoorway(t *testing.T, address string) *doorway {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	doorway := &doorway{Listener: listener, address: address, open: map[*net.TCPConn]bool{}}
	go func() {
		for {
			outer, err := listener.Accept()
			if err != nil {
				return
			}
			inner, err := net.Dial("tcp", address)
			if err != nil {
				_ = outer.Close()
				continue
			}
			doorway.forward(outer.(*net.TCPConn), inner.(*net.TCPConn))
		}
	}()
	return doorway
}

func (doorway *doorway) forward(outer, inner *net.TCPConn) {
	doorway.mu.Lock()
	doorway.open[outer], doorway.open[inner] = true, true
	doorway.mu.Unlock()
	go doorway.copy(inner, outer, &doorway.heldTo)
	go doorway.copy(outer, inner, &doorway.heldFrom)
}

// copy delivers all bytes that it has read, even if the sender has closed the link in the meantime.
func (doorway *doorway) copy(to, from *net.TCPConn, held *atomic.Bool) {
	for data := make([]byte, 32<<10); ; {
		count, err := from.Read(data)
		for held.Load() {
			time.Sleep(time.Millisecond)
		}
		if count > 0 {
			_, _ = to.Write(data[:count])
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			doorway.mu.Lock()
			delete(doorway.open, to)
			delete(doorway.open, from)
			doorway.mu.Unlock()
			return
		}
	}
}

// closeLinks closes all links, which loses the bytes on the way.
func (doorway *doorway) closeLinks() {
	doorway.mu.Lock()
	defer doorway.mu.Unlock()
	for conn := range doorway.open {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// disturb holds the bytes to the VM, from it or both, or closes its links.
func (doorway *doorway) disturb(random *rand.Rand) (undo func()) {
	switch random.IntN(4) {
	case 0:
		doorway.heldTo.Store(true)
	case 1:
		doorway.heldFrom.Store(true)
	case 2:
		doorway.heldTo.Store(true)
		doorway.heldFrom.Store(true)
	default:
		doorway.closeLinks()
	}
	return func() {
		doorway.heldTo.Store(false)
		doorway.heldFrom.Store(false)
	}
}

// linkedFleet is a fleet in this process whose VMs reach each other through doorways.
type linkedFleet struct {
	vms      []*entry.VM
	doorways []*doorway
	targets  []*target.Target
}

func startLinkedFleet(t *testing.T, topology fleet.Topology) *linkedFleet {
	t.Helper()
	linked := &linkedFleet{}
	var list []object.VM
	var listeners []net.Listener
	for i := range len(topology.FailureDomains) * topology.VMsPerFailureDomain {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		listeners, linked.doorways = append(listeners, listener), append(linked.doorways, newDoorway(t, listener.Addr().String()))
		list = append(list, object.VM{Name: fmt.Sprintf("vm%d", i), Role: object.EntryRole, Address: linked.doorways[i].Addr().String(),
			FailureDomain: topology.FailureDomains[i%len(topology.FailureDomains)]})
	}
	simulated := httptest.NewServer(platform.New(list, *onceSeed))
	t.Cleanup(simulated.Close)
	declared := linked.startTargets(t, topology)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	extra := settings.DefaultExtra
	for i, listed := range list {
		vm := entry.New(settings.Settings{Name: listed.Name, FailureDomain: listed.FailureDomain, PeerAddress: listed.Address, Platform: simulated.URL,
			Mode: settings.Owner, Extra: &extra}, zap.NewNop(), nil)
		t.Cleanup(vm.Mesh().Close)
		go vm.Mesh().Serve(listeners[i])
		go vm.Run(ctx)
		linked.vms = append(linked.vms, vm)
	}
	assertEventually(t, "the release on the first VM", func() bool {
		_, err := linked.vms[0].Apply(ctx, topology.SetupNote("setup", declared))
		return err == nil
	})
	for _, vm := range linked.vms {
		assertEventually(t, "the release on each VM", vm.Ready)
	}
	return linked
}

// startTargets starts the targets of the topology's groups, one for each replica of a shard, and returns their declarations.
func (linkedFleet *linkedFleet) startTargets(t *testing.T, topology fleet.Topology) []config.Target {
	t.Helper()
	var declared []config.Target
	for _, group := range topology.Groups {
		for i := range group.Shards * group.Replicas {
			free, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			assert.NilError(t, free.Close())
			declared = append(declared, config.Target{Name: fleet.TargetName(group.Service, i/group.Replicas, i%group.Replicas), Address: free.Addr().String(),
				FailureDomain: topology.FailureDomains[i%len(topology.FailureDomains)], Slots: group.Slots, Connections: group.Connections})
			simulated := target.New(standin.Target{Target: declared[len(declared)-1], Median: config.Duration(group.MedianServiceTime), Sigma: group.ServiceTimeSigma}, *onceSeed)
			assert.NilError(t, simulated.Listen())
			linkedFleet.targets = append(linkedFleet.targets, simulated)
		}
	}
	return declared
}

// TestOnceUnderCuts guards against a request that runs twice when messages and answers between its entry VM and the owner of its target are lost, or
// arrive after the link was given up.
func TestOnceUnderCuts(t *testing.T) {
	topology := fleet.Demo()
	topology.Groups[0].MedianServiceTime = 20 * time.Millisecond // calls are often in flight when a link is cut
	linked := startLinkedFleet(t, topology)
	onceLoad := newOnceLoad(len(linked.vms), func(vm int, request api.Request) (api.Answer, error) {
		return linked.vms[vm].Query(context.Background(), request)
	})
	end := time.Now().Add(*onceDuration)
	var group sync.WaitGroup
	for i, doorway := range linked.doorways {
		group.Go(func() { disturb(uint64(10+i), end, 400*time.Millisecond, doorway.disturb) })
	}
	onceLoad.run(end)
	group.Wait()
	runs := map[string]int{}
	for _, target := range linked.targets {
		for id, count := range target.Runs() {
			runs[id] += count
		}
	}
	onceLoad.assertOnce(t, runs)
}
