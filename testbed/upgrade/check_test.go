package upgrade

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestKnownRepeats guards against a request that runs twice by a fault of this build and counts as one by the known fault of a landed build.
func TestKnownRepeats(t *testing.T) {
	const landed, own = "poplarpind-" + repeatingBuild, "poplarpind"
	play := func(program, relayProgram, logged string) observed {
		taken := &request{kind: &kinds[1], id: "id-1", vm: &vm{Process: platformtest.Process{VM: "c1"}}, program: program,
			programs: map[string]string{"a1": relayProgram}}
		requests := []*request{taken}
		line := fmt.Sprintf(`{"msg":"calls forwarded","request":%q,"relay":"a1"}`, logged)
		return observed{requests: requests, runs: []platformtest.Run{{RequestID: "id-1"}, {RequestID: "id-1"}}, log: []logLine{{"c1", line}}}
	}
	for name, test := range map[string]struct {
		program, relayProgram, logged string
		known                         bool
	}{
		"a VM and a relay of the landed build":       {landed, landed, "id-1", true},
		"a relay of this build":                      {landed, own, "id-1", false},
		"a VM of this build":                         {own, landed, "id-1", false},
		"another request was forwarded to the relay": {landed, landed, "id-2", false},
	} {
		t.Run(name, func(t *testing.T) {
			observed := play(test.program, test.relayProgram, test.logged)
			assert.Equal(t, len(observed.broken()) == 0, test.known)
			assert.Equal(t, len(observed.knownRepeats()) == 1, test.known)
		})
	}
}
