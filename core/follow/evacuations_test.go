package follow_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
	"poplarpin.dev/core/rpc"
)

var evacuationStart = time.Unix(1_000, 0)

// evacuated returns a set at (era, revision) that was applied first.
func evacuated(era, revision int64, names ...string) *follow.Evacuations {
	evacuations := follow.NewEvacuations()
	evacuations.Apply(evacuationStart, rpc.Evacuations{Era: era, Revision: revision, FailureDomains: names})
	return evacuations
}

func assertInForce(t *testing.T, evacuations *follow.Evacuations, after time.Duration, names ...string) {
	t.Helper()
	assert.DeepEqual(t, append([]string{}, evacuations.InForce(evacuationStart.Add(after))...), append([]string{}, names...))
}

// TestEvacuationsFollowTheStore guards against an evacuation that starts or ends by an outdated message.
func TestEvacuationsFollowTheStore(t *testing.T) {
	evacuations := evacuated(0, 5, "a")
	assertInForce(t, evacuations, 0, "a")
	assert.Assert(t, !evacuations.Apply(evacuationStart, rpc.Evacuations{Revision: 4}))
	assert.Assert(t, evacuations.Change(evacuationStart, 0, 6, "b", false))
	assert.Assert(t, !evacuations.Change(evacuationStart, 0, 6, "a", true))
	assertInForce(t, evacuations, 0, "a", "b")
	assert.Assert(t, evacuations.Change(evacuationStart, 0, 7, "a", true))
	assertInForce(t, evacuations, 0, "b")
}

// TestEvacuationsAfterRestore guards against a restored store that ends an evacuation, or brings back a withdrawn one, before the operator
// could write again.
func TestEvacuationsAfterRestore(t *testing.T) {
	restored := func(names ...string) *follow.Evacuations {
		evacuations := evacuated(1, 50, "a")
		evacuations.Change(evacuationStart, 1, 51, "b", false)
		evacuations.Change(evacuationStart, 1, 52, "b", true)
		assert.Assert(t, evacuations.Apply(evacuationStart, rpc.Evacuations{Era: 2, Revision: 40, FailureDomains: names}))
		return evacuations
	}
	t.Run("a lost evacuation is kept for a time", func(t *testing.T) {
		assertInForce(t, restored(), 4900*time.Millisecond, "a")
		assertInForce(t, restored(), 5*time.Second)
	})
	t.Run("a withdrawn evacuation is held back for a time", func(t *testing.T) {
		assertInForce(t, restored("a", "b"), 4900*time.Millisecond, "a")
		assertInForce(t, restored("a", "b"), 5*time.Second, "a", "b")
	})
	t.Run("the operator's next write is in force at once", func(t *testing.T) {
		evacuations := restored("b")
		evacuations.Change(evacuationStart, 2, 41, "b", false)
		assertInForce(t, evacuations, 0, "a", "b")
		evacuations.Change(evacuationStart, 2, 42, "a", false)
		evacuations.Change(evacuationStart, 2, 43, "a", true)
		assertInForce(t, evacuations, 0, "b")
	})
	t.Run("a second restore changes nothing", func(t *testing.T) {
		evacuations := restored("b")
		evacuations.Apply(evacuationStart, rpc.Evacuations{Era: 3, Revision: 30, FailureDomains: []string{"b"}})
		assertInForce(t, evacuations, 0, "a")
	})
	t.Run("a set of a lower era changes nothing", func(t *testing.T) {
		assert.Assert(t, !restored().Apply(evacuationStart, rpc.Evacuations{Era: 1, Revision: 99, FailureDomains: []string{"c"}}))
	})
	t.Run("a VM that starts meanwhile holds the same ones", func(t *testing.T) {
		started := follow.NewEvacuations()
		started.Apply(evacuationStart, *restored("b").Message(evacuationStart, 0, 0))
		assertInForce(t, started, 0, "a")
		assertInForce(t, started, 5*time.Second, "b")
	})
}
