package http1_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
	"poplarpin.dev/poplarpind/http1"
)

// TestInvalidStatus guards against responses whose status no target may give: as answers, or as interim ones, after which the call waits for another
// response up to the end of its time.
func TestInvalidStatus(t *testing.T) {
	pool := newPoolOf(100)
	go pool.Run(t.Context())
	for _, status := range platformtest.InvalidStatuses() {
		for name, response := range platformtest.InvalidResponses(status, "odd") {
			target := platformtest.NewTruncatingTarget(t, func(*http.Request) platformtest.Truncated {
				return platformtest.Truncated{Bytes: response, Ending: platformtest.Kept}
			})
			_, result := start(t, pool, target.Address, func(call *http1.Call) { call.Target, call.Deadline = status+name, time.Now().Add(time.Second) })
			received := <-result
			failure, ok := received.err.(*http1.Error)
			assert.Check(t, ok && failure.Kind == http1.Malformed, "%s, %s: %+v", status, name, received)
		}
	}
}
