package main_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestInvalidStatus guards against an answer made of a response whose status no target may give, or of bytes that follow it on the connection: an
// idempotent request is answered by another target, any other one is not sent again.
func TestInvalidStatus(t *testing.T) {
	process, service := startTruncating(t)
	number := 0
	for _, status := range platformtest.InvalidStatuses() {
		t.Run(status, func(t *testing.T) {
			for name, response := range platformtest.InvalidResponses(status, "odd") {
				number++
				path := strconv.Itoa(number)
				truncated := platformtest.Truncated{Ending: platformtest.Kept, Bytes: response}
				for range paidBy {
					assert.Equal(t, ask(t, platformtest.NewRequest(t, http.MethodGet, process.url+"/p/whole", nil)), whole)
				}
				answer, calls := service.ask(t, platformtest.NewRequest(t, http.MethodGet, process.url+"/p/"+path, nil), truncated)
				assert.Check(t, answer == whole && calls == 2, "%s: %+v, %d calls", name, answer, calls)
				answer, calls = service.ask(t, platformtest.NewRequest(t, http.MethodPost, process.url+"/o/"+path, []byte("b")), truncated)
				assert.Check(t, answer.status == http.StatusBadGateway && answer.stamp == "" && calls == 1, "%s: %+v, %d calls", name, answer, calls)
			}
		})
	}
}
