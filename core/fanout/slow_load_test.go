package fanout_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowLoad makes targets slower by a factor for 6 s.
type slowLoad struct {
	name   string
	factor float64
	slow   func(shard, replica int) bool
}

// assertNoneRefused plays 40 requests a second, a quarter of the capacity of 20 shards with two targets of 2 slots each, with several seeds.
func assertNoneRefused(t *testing.T, load slowLoad) {
	t.Helper()
	refused, requests := 0, 0
	for seed := range 20 {
		cluster := newCluster(2, true)
		for range seed {
			cluster.random.Uint64()
		}
		cluster.slow = func(now time.Time, id string) float64 {
			shard, replica := int(id[1]-'0')*10+int(id[2]-'0'), int(id[4]-'0')
			if since := now.Sub(start); since < 2*time.Second || since >= 8*time.Second || !load.slow(shard, replica) {
				return 1
			}
			return load.factor
		}
		cluster.run(40, false)
		refused, requests = refused+cluster.refused, requests+cluster.inTime+cluster.late+cluster.refused+cluster.failed
	}
	t.Logf("refused %d of %d", refused, requests)
	assert.Equal(t, refused, 0)
}

// TestSlowTargetsNotRefused guards against refusals on a quiet day: slow targets whose shards have another one are no overload.
func TestSlowTargetsNotRefused(t *testing.T) {
	for _, load := range []slowLoad{
		{"one target of half of the shards", 5, func(shard, replica int) bool { return shard%2 == 0 && replica == 0 }},
		{"one target of each shard", 5, func(shard, replica int) bool { return replica == shard%2 }},
	} {
		t.Run(load.name, func(t *testing.T) { assertNoneRefused(t, load) })
	}
}

// TestSlowShardsNotRefused guards against the same where all targets of 12 shards are slow, which are then used to 70% of their slots.
func TestSlowShardsNotRefused(t *testing.T) {
	assertNoneRefused(t, slowLoad{"", 2.5, func(shard, _ int) bool { return shard < 12 }})
}
