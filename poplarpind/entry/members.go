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
)

const (
	listInterval   = time.Second // between two readings of the platform's VM list by one watcher
	listJitter     = 200 * time.Millisecond
	watcherKey     = "watchers" // ranks the VMs of a failure domain that watch the platform
	counterKey     = "counter"  // ranks the VM of a failure domain that counts status reports
	watchers       = 2          // in each failure domain
	lonelyInterval = 5 * time.Second
)

// tickMembers advances the membership and the table of owners.
func (vm *VM) tickMembers(now time.Time) {
	vm.members.Lock()
	outgoing := vm.members.list.Tick(now)
	vm.updateTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}

// updateTable brings the table of owners into line with the membership; the caller holds the lock.
func (vm *VM) updateTable() {
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
			vm.log.Info("entry VM gone as owner", zap.String("member", name))
		}
	}
	for name, joined := range current {
		if vm.members.known[name] != joined {
			vm.members.table.Add(joined)
			vm.log.Info("entry VM may own targets", zap.String("member", name))
		}
	}
	vm.members.known = current
}

// deliver sends the messages of the membership.
func (vm *VM) deliver(outgoing []member.Outgoing) {
	for _, out := range outgoing {
		vm.mesh.Notify(out.To.Name, out.To.Address, rpc.MethodMembership, out.Message, func() {})
	}
}

// receive takes a message of the membership.
func (vm *VM) receive(message member.Message) {
	vm.members.Lock()
	outgoing := vm.members.list.Receive(time.Now(), message)
	vm.updateTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
}

// rank returns the members of a failure domain in the order in which they own a key.
func (vm *VM) rank(domain, key string) []member.Member {
	vm.members.Lock()
	defer vm.members.Unlock()
	var members []member.Member
	for _, name := range vm.members.table.Rank(domain, key) {
		if found, ok := vm.members.list.Find(name); ok {
			members = append(members, found)
		}
	}
	return members
}

// isWatcher reports whether this VM is one of the few of its failure domain that watch the platform.
func (vm *VM) isWatcher() bool {
	for i, member := range vm.rank(vm.settings.FailureDomain, watcherKey) {
		if member.Name == vm.settings.Name {
			return i < watchers
		}
	}
	return false
}

// lonely reports whether no other member is known to be up.
func (vm *VM) lonely() bool {
	vm.members.Lock()
	defer vm.members.Unlock()
	return len(vm.members.list.Owners()) <= 1
}

// watchVMs reads the platform's VM list at the start, while alone, and as a watcher.
func (vm *VM) watchVMs(ctx context.Context) {
	for {
		pause := listInterval + rand.N(listJitter)
		if vm.isWatcher() || vm.lonely() {
			if vm.readVMs(ctx) != nil {
				pause = lonelyInterval/2 + rand.N(lonelyInterval)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// readVMs seeds the membership and passes on which targets are leaving.
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
	vm.updateTable()
	vm.members.Unlock()
	vm.deliver(outgoing)
	vm.spreadLeaving(leaving)
	return nil
}

// spreadLeaving tells the owners of leaving targets in this failure domain, and those that follow them.
func (vm *VM) spreadLeaving(targets []string) {
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
		vm.mesh.Notify(owner.Name, owner.Address, rpc.MethodLeavingTargets, rpc.LeavingTargets{Targets: names}, func() {})
	}
}
