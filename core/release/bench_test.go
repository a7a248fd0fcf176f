package release_test

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/release"
)

// newLargeState returns a state with the given number of targets and one index over the first 2000 of them.
func newLargeState(b *testing.B, targets int) (release.State, map[release.Digest][]byte) {
	b.Helper()
	setup := release.Note{ID: "setup", Add: release.Objects{Classes: []config.Class{{Name: "alarm"}},
		Services: []config.Service{{Name: "heat", Classes: []string{"alarm"}, Deadline: 1e9}}}}
	index := config.Index{Service: "heat", Version: 1}
	for i := range targets {
		name := fmt.Sprintf("target-%05d", i)
		setup.Add.Targets = append(setup.Add.Targets, config.Target{Name: name, Address: "127.0.0.1:80",
			FailureDomain: "sohar", Slots: 2, Connections: 25})
		if i < 2000 {
			index.Shards = append(index.Shards, config.Shard{Name: fmt.Sprintf("s%04d", i), Documents: 1, Replicas: []string{name}})
		}
	}
	setup.Add.Indexes = []config.Index{index}
	state, parts := emptyState()
	proposal, err := state.Propose(setup)
	assert.NilError(b, err)
	for digest, part := range proposal.Parts {
		parts[digest] = part
	}
	state, err = release.Load(proposal.Head, parts)
	assert.NilError(b, err)
	return state, parts
}

// heldBytes returns the memory that an adopted release occupies, its parts included.
func heldBytes(b *testing.B, state release.State, parts map[release.Digest][]byte) float64 {
	b.Helper()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	adopter := release.NewAdopter()
	_, err := adopter.Adopt(state.Head, parts)
	assert.NilError(b, err)
	runtime.GC()
	runtime.ReadMemStats(&after)
	held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
	for _, part := range parts {
		held += float64(len(part))
	}
	runtime.KeepAlive(adopter)
	return held
}

// BenchmarkAdopt measures the cost of adopting a release that changes one target, for several configuration sizes.
func BenchmarkAdopt(b *testing.B) {
	for _, targets := range []int{200, 2000, 19_000} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			state, parts := newLargeState(b, targets)
			change := config.Target{Name: "target-00007", Address: "127.0.0.1:81", FailureDomain: "sohar", Slots: 2, Connections: 25}
			proposal, err := state.Propose(release.Note{ID: "change", Base: 1, Change: release.Objects{Targets: []config.Target{change}}})
			assert.NilError(b, err)
			fetchedBytes := 0
			for _, part := range proposal.Parts {
				fetchedBytes += len(part)
			}
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				adopter := release.NewAdopter()
				_, err := adopter.Adopt(state.Head, parts)
				assert.NilError(b, err)
				b.StartTimer()
				_, err = adopter.Adopt(proposal.Head, proposal.Parts)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(fetchedBytes)/1024, "fetchedKB")
			b.ReportMetric(float64(len(proposal.Head.Parts)), "parts")
			b.ReportMetric(heldBytes(b, state, parts)/float64(targets), "heldB/target")
		})
	}
}
