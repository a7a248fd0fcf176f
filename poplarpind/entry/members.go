package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/member"
	"poplarpin.dev/core/object"
	"poplarpin.dev/core/owner"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/poplarpind/peer"
)

const (
	listInterval      = time.Second // between two reads of the platform's VM list by one watcher, and between two checks whether a VM has become one
	listJitter        = 200 * time.Millisecond
	watcherKey        = "watchers"      // key by which the watchers of a failure domain are ranked
	collectorKey      = "counter"       // key by which the status collectors of a failure domain are ranked
	watchersPerDomain = 2               // VMs of each failure domain that watch the platform
	listRetryInterval = 5 * time.Second // mean delay after a failed read of the VM list
)

// tickMembers advances the membership's timers and updates the owner table.
func (vm *VM) tickMembers(now time.Time) {
	vm.members.Lock()
	outgoing := vm.members.list.Tick(now)
	vm.updateOwnerTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}

// updateOwnerTable applies membership changes to the owner table; the caller holds the members lock.
func (vm *VM) updateOwnerTable() {
	if vm.members.list.Epoch() == vm.members.epoch {
		return
	}
	vm.members.epoch = vm.members.list.Epoch()
	current := map[string]owner.VM{}
	for _, member := range vm.members.list.Owners() {
		current[member.Name] = owner.VM{Name: member.Name, FailureDomain: member.FailureDomain}
	}
	for name, known := range vm.members.known {
		if current[name] != known {
			vm.members.table.Remove(known)
			vm.log.Info("entry VM removed from owner table", zap.String("member", name))
		}
	}
	for name, joined := range current {
		if vm.members.known[name] != joined {
			vm.members.table.Add(joined)
			vm.log.Info("entry VM added to owner table", zap.String("member", name))
		}
	}
	vm.members.known = current
}

// deliver sends outgoing membership messages to peers.
func (vm *VM) deliver(outgoing []member.Outgoing) {
	for _, out := range outgoing {
		vm.mesh.Notify(out.To.Name, out.To.Address, peer.Message{Method: rpc.MethodMembership, Params: out.Message})
	}
}

// receive handles a membership message from a peer.
func (vm *VM) receive(message member.Message) {
	vm.members.Lock()
	outgoing := vm.members.list.Receive(time.Now(), message)
	vm.updateOwnerTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}

// rank returns the members of a failure domain in order of preference as owner of a key.
func (vm *VM) rank(failureDomain, key string) []member.Member {
	vm.members.Lock()
	defer vm.members.Unlock()
	var members []member.Member
	for _, name := range vm.members.table.Rank(failureDomain, key) {
		if found, ok := vm.members.list.Find(name); ok {
			members = append(members, found)
		}
	}
	return members
}

// isWatcher reports whether this VM watches the platform on behalf of its failure domain.
func (vm *VM) isWatcher() bool {
	for i, member := range vm.rank(vm.settings.FailureDomain, watcherKey) {
		if member.Name == vm.settings.Name {
			return i < watchersPerDomain
		}
	}
	return false
}

// isAlone reports whether this VM knows of no other live member.
func (vm *VM) isAlone() bool {
	vm.members.Lock()
	defer vm.members.Unlock()
	return len(vm.members.list.Owners()) <= 1
}

// watchVMs reads the platform's VM list periodically while this VM is a watcher or knows of no other live member.
func (vm *VM) watchVMs(ctx context.Context) {
	for {
		delay := listInterval + rand.N(listJitter)
		if vm.isWatcher() || vm.isAlone() {
			if vm.readVMs(ctx) != nil {
				delay = listRetryInterval/2 + rand.N(listRetryInterval)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// readVMs reads the platform's VM list, seeds the membership with it and announces leaving targets to their owners.
func (vm *VM) readVMs(ctx context.Context) error {
	vms, err := vm.platform.VMs(ctx)
	if err != nil {
		return err
	}
	var members []member.Member
	var leaving []string
	for _, listed := range vms {
		switch {
		case listed.Role == object.EntryRole:
			members = append(members, member.Member{Name: listed.Name, FailureDomain: listed.FailureDomain, Address: listed.Address})
		case listed.Leaving:
			leaving = append(leaving, listed.Name)
		}
	}
	vm.members.Lock()
	outgoing := vm.members.list.Seed(time.Now(), members)
	vm.updateOwnerTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
	vm.announceLeavingTargets(leaving)
	return nil
}

// announceLeavingTargets notifies the owner of each leaving target in this failure domain and every VM that may become its owner.
func (vm *VM) announceLeavingTargets(targets []string) {
	configuration := vm.configuration()
	if configuration == nil {
		return
	}
	byOwner := map[member.Member][]string{}
	for _, name := range targets {
		target, ok := configuration.Targets[name]
		if !ok || target.FailureDomain != vm.settings.FailureDomain {
			continue
		}
		for _, owner := range vm.rank(target.FailureDomain, target.OwnerKey()) {
			byOwner[owner] = append(byOwner[owner], name)
		}
	}
	for owner, names := range byOwner {
		if owner.Name == vm.settings.Name {
			vm.owner.MarkLeaving(names)
			continue
		}
		vm.mesh.Notify(owner.Name, owner.Address, peer.Message{Method: rpc.MethodLeavingTargets, Params: rpc.LeavingTargets{Targets: names}})
	}
}
