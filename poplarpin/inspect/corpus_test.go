package inspect_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/corpustest"
	"poplarpin.dev/poplarpin/inspect"
)

// TestDumpsOfLandedBuilds guards against a dump of a VM of an earlier build that operators cannot read any more.
func TestDumpsOfLandedBuilds(t *testing.T) {
	corpustest.Run(t, func(t *testing.T, _ string, recording []byte) {
		vm := inspect.ReadVM("127.0.0.1:1", recording)
		assert.Equal(t, vm.Error, "")
		assert.Equal(t, vm.Name, "a1")
		assert.Equal(t, vm.FailureDomain, "a")
		assert.Equal(t, vm.Version, int64(1))
		assert.Equal(t, vm.Targets, 6)
		assert.Assert(t, len(vm.Quotas) > 0)
	})
}
