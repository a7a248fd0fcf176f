package owner_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"poplarpin.dev/core/owner"
)

const keys = 200

func allRanks(table *owner.Table) [][]string {
	var all [][]string
	for i := range keys {
		all = append(all, table.Rank("sohar", fmt.Sprintf("target-%d", i)))
	}
	return all
}

// TestMinimalMoves guards against a membership change that reassigns targets it does not concern, and against cached ranks that differ
// from those of a new table, so that VMs disagree on the owner.
func TestMinimalMoves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := owner.New()
		members := map[string]bool{}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			before := allRanks(table)
			vm := owner.VM{Name: fmt.Sprintf("vm%d", rapid.IntRange(0, 8).Draw(t, "vm")), FailureDomain: "sohar"}
			if members[vm.Name] {
				table.Remove(vm)
				delete(members, vm.Name)
			} else {
				table.Add(vm)
				members[vm.Name] = true
			}
			after := allRanks(table)
			for i := range before {
				if !slices.Contains(before[i], vm.Name) && !slices.Contains(after[i], vm.Name) {
					assert.DeepEqual(t, before[i], after[i])
				}
			}
		}
		fresh := owner.New()
		for name := range members {
			fresh.Add(owner.VM{Name: name, FailureDomain: "sohar"})
		}
		assert.DeepEqual(t, allRanks(table), allRanks(fresh))
	})
}

// BenchmarkJoin measures adding and removing a VM at the fleet sizes of docs/CAPACITY.md.
func BenchmarkJoin(b *testing.B) {
	for _, size := range []struct{ vms, targets int }{{10, 60}, {100, 600}, {470, 2714}} {
		b.Run(fmt.Sprintf("vms=%d/targets=%d", size.vms, size.targets), func(b *testing.B) {
			table := owner.New()
			for i := range size.vms {
				table.Add(owner.VM{Name: fmt.Sprintf("vm%d", i), FailureDomain: "sohar"})
			}
			vm := owner.VM{Name: "new", FailureDomain: "sohar"}
			for b.Loop() {
				for i := range size.targets {
					table.Rank("sohar", fmt.Sprintf("target-%d", i))
				}
				table.Add(vm)
				table.Remove(vm)
			}
		})
	}
}
