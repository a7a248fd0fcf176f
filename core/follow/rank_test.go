package follow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
)

// TestPoolOrder guards against a pool on the VM that watches the store for a large failure domain, and against VMs that disagree on pools.
func TestPoolOrder(t *testing.T) {
	strong := []follow.Peer{{Name: "a1", FailureDomain: "a", Cores: 0.8}, {Name: "a2", FailureDomain: "a", Cores: 0.8}}
	weak := []follow.Peer{{Name: "a3", FailureDomain: "a", Cores: 0.2}, {Name: "b1", FailureDomain: "b", Cores: 0.2}, {Name: "c1", FailureDomain: "c", Cores: 0.8}}
	watcher := func(peers []follow.Peer) string { // the VM of domain a that no other goes before
		for _, peer := range peers {
			follower := follow.New(peer)
			follower.SetPeers(peers)
			if peer.FailureDomain == "a" && follower.Rank() == 0 {
				return peer.Name
			}
		}
		return ""
	}
	t.Run("the second best VM goes first", func(t *testing.T) {
		peers := append(strong, weak...)
		order := follow.PoolOrder(peers, "a")
		assert.Equal(t, len(order), 3)
		assert.Equal(t, order[1], watcher(peers))
		assert.Equal(t, order[2], "a3")
	})
	t.Run("unless it has less than half of the cores", func(t *testing.T) {
		peers := append(strong[:1:1], weak...)
		assert.DeepEqual(t, follow.PoolOrder(peers, "a"), []string{"a1", "a3"})
	})
	t.Run("each domain asks another one first", func(t *testing.T) {
		peers := append(strong[:1:1], weak...)
		assert.DeepEqual(t, follow.PoolsElsewhere(peers, "a"), []string{"b1", "c1"})
		assert.DeepEqual(t, follow.PoolsElsewhere(peers, "b"), []string{"c1", "a1"})
		assert.DeepEqual(t, follow.PoolsElsewhere(peers, "c"), []string{"a1", "b1"})
	})
}

// TestPoolsElsewhere guards against a VM that asks its own failure domain, or all failure domains in the same order.
func TestPoolsElsewhere(t *testing.T) {
	third := follow.Peer{Name: "c1", FailureDomain: "c"}
	all := append([]follow.Peer{third}, peers...)
	assert.DeepEqual(t, follow.PoolsElsewhere(all, "a"), []string{follow.PoolOrder(all, "b")[0], "c1"})
	bOrder := follow.PoolsElsewhere(all, "b")
	assert.Equal(t, bOrder[0], "c1")
	assert.Equal(t, len(bOrder), 2)
}
