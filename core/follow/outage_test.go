package follow_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
)

const (
	domainVMs         = 28
	outage            = 9 * time.Second
	heartbeatInterval = 400 * time.Millisecond
)

// TestStoreTurnsVMsAway guards against VMs of a large failure domain that all watch the store, at several calls a second each, because it turns
// some of them away: the VM that they get their updates from, and a third of the others.
func TestStoreTurnsVMsAway(t *testing.T) {
	var vms []follow.Peer
	for i := range domainVMs {
		vms = append(vms, follow.Peer{Name: fmt.Sprintf("a%02d", i), FailureDomain: "a", Cores: 0.2})
	}
	vms[0].Cores, vms[1].Cores = 0.9, 0.8 // the first one watches the store
	followers, turnedAway := map[string]*follow.Follower{}, map[string]bool{}
	for i, vm := range vms {
		followers[vm.Name] = follow.New(vm)
		followers[vm.Name].SetPeers(vms)
		turnedAway[vm.Name] = i%3 == 0
	}
	now, watched := start, time.Duration(0)
	advance := func(span time.Duration, turnedAway map[string]bool) {
		for end := now.Add(span); now.Before(end); now = now.Add(step) {
			plans := map[string]follow.Plan{}
			for _, vm := range vms {
				plans[vm.Name] = followers[vm.Name].Tick(now)
			}
			for name, plan := range plans {
				if plan.WatchStore {
					watched += step
					followers[name].StoreResult(now, !turnedAway[name])
				}
				if now.Sub(start)%heartbeatInterval != 0 {
					continue
				}
				for _, source := range []string{plan.Source, plan.Candidate} {
					if source != "" {
						followers[name].HeardFrom(now, source, followers[source].IsSource())
					}
				}
			}
		}
	}
	advance(6*time.Second, nil)
	watched = 0
	advance(outage, turnedAway)
	average := float64(watched) / float64(outage)
	t.Logf("%.1f of %d VMs watch the store on average", average, domainVMs)
	assert.Assert(t, average <= 4) // the VM that has the store, and the VMs that still look for a source
	advance(10*time.Second, nil)
	watched = 0
	advance(6*time.Second, nil)
	assert.Equal(t, watched, 6*time.Second) // the first one alone again
}
