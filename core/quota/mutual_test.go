package quota_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/quota"
)

// TestMutualPools guards against asks that two VMs which are each other's pool pass to and fro without end.
func TestMutualPools(t *testing.T) {
	fleet := newZones(1, 6, limits, []quota.Account{{Name: "small", RatePerSecond: 0.01}})
	fleet.run(10 * time.Second)
	first, second := fleet.vms[0], fleet.vms[3]
	fleet.step(first, first.node.SetPool(first.clock(fleet), second.name, nil))
	fleet.step(second, second.node.SetPool(second.clock(fleet), first.name, nil))
	fleet.run(12 * time.Second)
	for range 50 {
		fleet.send(first, "small")
	}
	fleet.run(13 * time.Second)
	before := first.sent + second.sent
	fleet.run(23 * time.Second)
	assert.Assert(t, first.sent+second.sent-before < 200, "%d messages in 10 s without requests", first.sent+second.sent-before)
}
