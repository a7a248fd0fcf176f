package target_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/core/search"
	"poplarpin.dev/poplarpind/target"
)

const drainTimeout = 20 * time.Second // less than the minute for which a refusal counts

// drainTarget is a target whose drain can be started and taken back.
type drainTarget struct {
	draining    atomic.Bool
	healthLies  bool // the health endpoint reports serving throughout
	refused     atomic.Int32
	healthAsked atomic.Int32
}

func (drainTarget *drainTarget) state() search.State {
	if drainTarget.draining.Load() {
		return search.Draining
	}
	return search.Serving
}

func (drainTarget *drainTarget) search(writer http.ResponseWriter, _ *http.Request) {
	if drainTarget.draining.Load() {
		drainTarget.refused.Add(1)
		writer.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(writer).Encode(search.Refusal{State: search.Draining})
		return
	}
	_ = json.NewEncoder(writer).Encode(search.Reply{RequestID: "r"})
}

func (drainTarget *drainTarget) health(writer http.ResponseWriter, _ *http.Request) {
	drainTarget.healthAsked.Add(1)
	state := drainTarget.state()
	if drainTarget.healthLies {
		state = search.Serving
	}
	_ = json.NewEncoder(writer).Encode(search.Health{State: state})
}

// startDrain starts a target and an owner that has called it, makes the target drain and returns once it has refused a call.
func startDrain(t *testing.T, drainTarget *drainTarget) *target.Owner {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+search.SearchPath, drainTarget.search)
	mux.HandleFunc("GET "+search.HealthPath, drainTarget.health)
	server := httptest.NewUnstartedServer(mux)
	server.Config.Protocols = &http.Protocols{}
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	t.Cleanup(server.Close)
	owner := target.New(target.Limits{Unlimited: true})
	owner.Configure(&config.Configuration{Targets: map[string]config.Target{"t": {Name: "t", Address: server.Listener.Addr().String(), Slots: 1, Connections: 24}}})
	assert.Equal(t, callOnce(owner), rpc.OK)
	assertSoon(t, "both connections", func() bool { return owner.View()[0].Connections == 2 })
	drainTarget.draining.Store(true)
	assert.Equal(t, callOnce(owner), rpc.Draining)
	return owner
}

func callOnce(owner *target.Owner) rpc.Outcome {
	results := make(chan rpc.Result, 1)
	owner.Run(&rpc.Batch{QueryID: "q", RequestID: "r", Timeout: config.Duration(callTimeout), Calls: []rpc.Call{{Target: "t"}}},
		func(result rpc.Result) { results <- result })
	return (<-results).Outcome
}

func assertSoon(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(drainTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

// TestDrainTakenBack guards against a target that is left alone for a minute after its drain was taken back, and against calls to one that still leaves.
func TestDrainTakenBack(t *testing.T) {
	healthSays := func(owner *target.Owner, state search.State) func() bool {
		return func() bool { return owner.View()[0].Health == state }
	}
	t.Run("called again once its health says that it serves", func(t *testing.T) {
		drainTarget := &drainTarget{}
		owner := startDrain(t, drainTarget)
		go owner.Watch(t.Context())
		assertSoon(t, "the drain in the health", healthSays(owner, search.Draining))
		assert.Equal(t, callOnce(owner), rpc.Draining)
		drainTarget.draining.Store(false)
		assertSoon(t, "calls to the target again", func() bool { return callOnce(owner) == rpc.OK })
		assert.Equal(t, drainTarget.refused.Load(), int32(1))
	})
	t.Run("health is asked at the refusal, as the drain may be short", func(t *testing.T) {
		owner := startDrain(t, &drainTarget{})
		assertSoon(t, "the drain in the health", healthSays(owner, search.Draining))
	})
	t.Run("health that has not reported the drain does not end it", func(t *testing.T) {
		drainTarget := &drainTarget{healthLies: true}
		owner := startDrain(t, drainTarget)
		asked := drainTarget.healthAsked.Load()
		go owner.Watch(t.Context())
		assertSoon(t, "health", func() bool { return drainTarget.healthAsked.Load() >= asked+4 })
		assert.Equal(t, callOnce(owner), rpc.Draining)
		assert.Equal(t, drainTarget.refused.Load(), int32(1))
	})
	t.Run("platform that lists the target as leaving is believed", func(t *testing.T) {
		drainTarget := &drainTarget{}
		owner := startDrain(t, drainTarget)
		go owner.Watch(t.Context())
		assertSoon(t, "the drain in the health", healthSays(owner, search.Draining))
		drainTarget.draining.Store(false)
		owner.MarkLeaving([]string{"t"})
		assertSoon(t, "the end of the drain in the health", healthSays(owner, search.Serving))
		assert.Equal(t, callOnce(owner), rpc.Draining)
	})
}
