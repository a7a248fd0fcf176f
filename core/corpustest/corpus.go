package corpustest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Folder holds the recordings of a package, one file for each build.
const Folder = "testdata/builds"

// Builds returns the recordings by the commit of the build; there is at least one.
func Builds(t testing.TB) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(Folder, "*.json"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no recordings in %s: %v", Folder, err)
	}
	builds := map[string][]byte{}
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		builds[strings.TrimSuffix(filepath.Base(path), ".json")] = data
	}
	return builds
}

// Run runs a subtest for each recorded build.
func Run(t *testing.T, check func(t *testing.T, build string, recording []byte)) {
	t.Helper()
	for build, recording := range Builds(t) {
		t.Run(build, func(t *testing.T) { check(t, build, recording) })
	}
}
