package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed rapid seed; the test binary must import pgregory.net/rapid, which defines the flag.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
