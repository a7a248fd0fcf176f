package main_test

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

const (
	shards         = 50
	endlessTargets = 10
	requestPause   = 30 * time.Millisecond
)

var loadTime = flag.Duration("load", 2*time.Second, "duration of the load on real processes")

// TestEndlessTargets guards against a VM that a few targets take down by sending bytes that are no answer without end: a real process
// with the memory of the smallest VM serves an open-loop load meanwhile, and its answers lack no part but those that nobody else has.
func TestEndlessTargets(t *testing.T) {
	binary := build(t)
	t.Run("ten of a hundred targets", func(t *testing.T) {
		play(t, binary, "0", func(shard, replica int) bool { return replica == 0 && shard < endlessTargets })
	})
	t.Run("all replicas of one shard", func(t *testing.T) {
		play(t, binary, "1", func(shard, _ int) bool { return shard == 0 })
	})
}

// play serves a load on a process of which some targets send without end, and checks the answers and the memory of the process.
func play(t *testing.T, binary, wantMissing string, isEndless func(shard, replica int) bool) {
	t.Helper()
	store := platformtest.NewStore(t)
	responses := platformtest.EndlessResponses()
	names := make([]string, shards)
	for shard := range shards {
		names[shard] = fmt.Sprintf("shard%d", shard)
		for replica := range 2 {
			id := fmt.Sprintf("%s-%d", names[shard], replica)
			if isEndless(shard, replica) {
				target := platformtest.NewEndlessTarget(t, responses[(shard+replica)%len(responses)], 0)
				store.Put("servers", id, platformtest.TargetSpec(names[shard], target.Address, "a", "ready"))
			} else {
				store.Put("servers", id, platformtest.NewTarget(t, id).Spec(names[shard], "a", "ready"))
			}
		}
	}
	store.Put("config", "main", platformtest.GatherConfig(names))
	process := startProcess(t, binary, store)
	var requests sync.WaitGroup
	for end := time.Now().Add(*loadTime); time.Now().Before(end); time.Sleep(requestPause) {
		requests.Go(func() {
			response, err := http.DefaultClient.Do(platformtest.NewRequest(t, http.MethodGet, process.url+"/g/x", nil))
			if !assert.Check(t, err) {
				return
			}
			defer response.Body.Close()
			assert.Check(t, response.StatusCode == http.StatusOK, "status %d", response.StatusCode)
			assert.Check(t, platformtest.MissingParts(response) == wantMissing, "%s parts are missing", platformtest.MissingParts(response))
		})
	}
	requests.Wait()
	peak := process.peakMemoryMB(t)
	t.Logf("peak memory %d MB", peak)
	assert.Assert(t, peak < memoryMB)
}
