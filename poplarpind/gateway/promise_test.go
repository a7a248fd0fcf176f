package gateway_test

import (
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// TestFalsePromise guards against a client that sends a request again, as the status of the target that ran it promises that it has not run.
func TestFalsePromise(t *testing.T) {
	store, targets := newDeployment(t)
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	for _, status := range []int{408, 429, 503} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			for _, id := range []string{"i-3", "i-4"} {
				targets[id].SetHandler(func(writer http.ResponseWriter, _ *http.Request) {
					platformtest.Sign(writer, "i")
					writer.WriteHeader(status)
				})
			}
			before := targets["i-3"].Calls.Load() + targets["i-4"].Calls.Load()
			assert.Equal(t, vm.do(t, http.MethodPost, "/o/x", []byte("b")).StatusCode, 502)
			assert.Equal(t, targets["i-3"].Calls.Load()+targets["i-4"].Calls.Load(), before+1)
		})
	}
}
