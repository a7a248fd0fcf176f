package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/corpustest"
	"poplarpin.dev/testbed/upgrade"
)

// TestUpgrade guards against rules that are broken while VMs of the last landed build are replaced, or put back half-way.
func TestUpgrade(t *testing.T) {
	shallow, err := exec.Command("git", "rev-parse", "--is-shallow-repository").Output()
	assert.NilError(t, err)
	if strings.TrimSpace(string(shallow)) == "true" {
		t.Skip("this clone lacks the history from which the landed build is built")
	}
	landed, err := upgrade.Build("..", upgrade.Landed[len(upgrade.Landed)-1], t.TempDir())
	assert.NilError(t, err)
	own := filepath.Join(bin, "poplarpind")
	plans := map[string]upgrade.Plan{
		"forward":              {From: landed, To: own},
		"rolled back half-way": {From: landed, To: own, Rollback: true},
		"back":                 {From: own, To: landed},
	}
	for name, plan := range plans {
		t.Run(name, func(t *testing.T) {
			t.Parallel() // the fleets mostly wait
			plan.Seed, plan.Phase, plan.Folder = 1, time.Second, t.TempDir()
			report, err := upgrade.Play(plan)
			assert.NilError(t, err)
			var text bytes.Buffer
			assert.NilError(t, report.Print(&text))
			t.Log(text.String())
			assert.Equal(t, len(report.Broken), 0)
			for _, phase := range report.Phases {
				assert.Assert(t, phase.Served > 0, phase.Name)
			}
		})
	}
}

// TestLandedBuildsAreRecorded guards against a landed build, or a recording of another one, that the tests of the modules leave out.
func TestLandedBuildsAreRecorded(t *testing.T) {
	for _, module := range upgrade.RecordedModules {
		entries, err := os.ReadDir(filepath.Join("..", module, corpustest.Folder))
		assert.NilError(t, err)
		var recorded []string
		for _, entry := range entries {
			recorded = append(recorded, strings.TrimSuffix(entry.Name(), ".json"))
		}
		assert.DeepEqual(t, recorded, slices.Sorted(slices.Values(upgrade.Landed)))
	}
}

// TestUnknownCommit guards against an error that does not name the missing commit.
func TestUnknownCommit(t *testing.T) {
	_, err := upgrade.Build("..", "0000000", t.TempDir())
	assert.ErrorContains(t, err, "0000000 is not in the history")
}
