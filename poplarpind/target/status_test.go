package target_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform/platformtest"
)

// TestInvalidStatus guards against a call that counts as failed by its target because of a response whose status no target may give: it may have run.
func TestInvalidStatus(t *testing.T) {
	const statusField = "\x08\x03" // literal, with the name of the static entry of status 200 and three bytes
	for _, status := range platformtest.InvalidStatuses() {
		for name, frames := range map[string]string{
			"no body":                 frame(headersFrame, endHeaders|endStream, 1, statusField+status),
			"a body":                  frame(headersFrame, endHeaders, 1, statusField+status) + frame(dataFrame, endStream, 1, "{}"),
			"before another response": frame(headersFrame, endHeaders, 1, statusField+status) + frame(headersFrame, endHeaders, 1, "\x88") + frame(dataFrame, endStream, 1, "{}"),
		} {
			address := serve(t, frames, func(*net.TCPConn) {})
			outcome := call(t, address)
			assert.Check(t, outcome == rpc.Lost, "%s, %s: %s", status, name, outcome)
		}
	}
}
