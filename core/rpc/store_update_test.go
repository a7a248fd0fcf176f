package rpc_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/place"
	"poplarpin.dev/core/rpc"
)

// TestObservations guards against messages that VMs of an earlier build reject, and against invalid hints.
func TestObservations(t *testing.T) {
	message := rpc.Observations{Observations: []place.Observation{{Endpoint: "i", LatencyRatio: 2}}}
	text, err := json.Marshal(message)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"findings":[{"server":"i","pace":2}]}`)
	assert.NilError(t, message.Validate())
	message.Leaving = []place.LeavingHint{{Target: "i", AgeMillis: -1}}
	assert.ErrorContains(t, message.Validate(), "leaving target")
	message.Leaving, message.Paused = nil, []place.PauseHint{{LeftMillis: 1}}
	assert.ErrorContains(t, message.Validate(), "paused")
}
