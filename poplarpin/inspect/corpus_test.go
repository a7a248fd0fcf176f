package inspect_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpin/inspect"
)

// TestDumpsOfLandedBuilds guards against a dump of a VM of an earlier build that operators cannot read any more.
func TestDumpsOfLandedBuilds(t *testing.T) {
	for _, build := range []string{"0b73695", "3db0f72", "0fcc62c", "e92619e"} {
		t.Run(build, func(t *testing.T) {
			data, err := os.ReadFile(filepath.Join("testdata", "builds", build+".json"))
			assert.NilError(t, err)
			vm := inspect.ReadVM("127.0.0.1:1", data)
			assert.Equal(t, vm.Error, "")
			assert.Equal(t, vm.Name, "a1")
			assert.Equal(t, vm.FailureDomain, "a")
			assert.Equal(t, vm.Version, int64(1))
			assert.Equal(t, vm.Targets, 6)
			assert.Equal(t, len(vm.Quotas) > 0, true)
		})
	}
}
