package target_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/search"
	"poplarpin.dev/standin/settings"
	"poplarpin.dev/standin/target"
)

func freeAddress(t *testing.T) string {
	t.Helper()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer free.Close()
	return free.Addr().String()
}

// TestStartedCallNotRefused guards against a call that has run until its timeout and is answered as refused: its request would run again.
func TestStartedCallNotRefused(t *testing.T) {
	address := freeAddress(t)
	simulated := target.New(settings.Target{Target: config.Target{Name: "t", Address: address, Slots: 1, Connections: 10}, Median: config.Duration(time.Hour)}, 1)
	assert.NilError(t, simulated.Listen())
	response, err := http.Post("http://"+address+search.SearchPath, "application/json", strings.NewReader(`{"request":"r","timeout":"100ms","nonIdempotent":true}`))
	if err == nil {
		defer response.Body.Close()
	}
	refused := err == nil && response.StatusCode == http.StatusServiceUnavailable
	assert.Equal(t, refused, simulated.Runs()["r"] == 0)
}

// TestCountersOverOutage guards against counters that start anew when a target listens again after it was down: an experiment that
// subtracts the counts of its start would then report too few connections, or a negative number.
func TestCountersOverOutage(t *testing.T) {
	address := freeAddress(t)
	simulated := target.New(settings.Target{Target: config.Target{Name: "t", Address: address, Slots: 1, Connections: 10}}, 1)
	assert.NilError(t, simulated.Listen())
	connect := func(want int64) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		for end := time.Now().Add(20 * time.Second); simulated.Counters().Opened < want; time.Sleep(time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "%d connections counted, expected %d", simulated.Counters().Opened, want)
		}
	}
	connect(1)
	assert.NilError(t, simulated.SetFaults(target.Faults{Down: true}))
	assert.NilError(t, simulated.SetFaults(target.Faults{}))
	connect(2)
	assert.Equal(t, simulated.Counters().Opened, int64(2))
}
