package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with the fixed seed; the package must use pgregory.net/rapid.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
