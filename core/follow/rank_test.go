package follow_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/follow"
)

// TestBestElsewhere guards against a VM that asks its own failure domain, or all failure domains in the same order.
func TestBestElsewhere(t *testing.T) {
	third := follow.Peer{Name: "c1", FailureDomain: "c"}
	all := append([]follow.Peer{third}, peers...)
	assert.DeepEqual(t, follow.BestElsewhere(all, "a"), []string{"b2", "c1"})
	bOrder := follow.BestElsewhere(all, "b")
	assert.Equal(t, bOrder[0], "c1")
	assert.Equal(t, len(bOrder), 2)
}
