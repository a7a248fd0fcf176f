package gateway

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/config"
	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
	"poplarpin.dev/platform/platformtest"
)

// TestRefusalOfAnotherPeer guards against a second call of a request after a refusal by a VM that was not asked, while the one that was runs it.
func TestRefusalOfAnotherPeer(t *testing.T) {
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.NewNop())
	now := time.Now()
	gateway.fleet.Update(now, place.Endpoint{ID: "i-1", Service: "one", FailureDomain: "b", Slots: 2, State: place.Ready})
	job := gateway.newJob(&platform.Request{ID: "id-7"}, &route.Route{Name: "o", Destination: route.Single{Service: "one"}}, nil, fanout.ClientPath{}, 1, false)
	gateway.relayedCalls["1"] = relayedCall{job: job, index: 0, relayVM: "vm-b1"}
	gateway.receiveGatherResult("vm-b2", rpc.GatherResult{QueryID: "1", Refused: true, Final: true})
	assert.Assert(t, gateway.isRelayed("1"))
	gateway.receiveGatherResult("vm-b1", rpc.GatherResult{QueryID: "1", Refused: true, Final: true})
	assert.Assert(t, !gateway.isRelayed("1"))
}

// startRelayedOnce returns a gateway with a request that must run once, whose only call, query 1, another VM relays.
func startRelayedOnce(t *testing.T) (gateway *Gateway, started *job, relayVM string) {
	t.Helper()
	gateway = New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.NewNop())
	now := time.Now()
	gateway.fleet.Update(now, place.Endpoint{ID: "i-1", Service: "one", FailureDomain: "b", Slots: 2, State: place.Ready})
	gateway.setPeers([]platform.VM{{Name: "vm-b1", FailureDomain: "b"}, {Name: "vm-b2", FailureDomain: "b"}})
	for range 10 { // until the failure domain counts as cut off
		gateway.fleet.StartAttempt(now.Add(-time.Second), "i-1", "o").Discard()
	}
	for _, peer := range []string{"vm-b1", "vm-b2"} {
		gateway.Greeted(rpc.Hello{VM: peer, Capabilities: rpc.OwnCapabilities()})
	}
	started = gateway.newJob(&platform.Request{ID: "id-7"}, &route.Route{Name: "o", Destination: route.Single{Service: "one"}, Timeout: 10 * time.Second}, nil, fanout.ClientPath{}, 1, false)
	actions := started.clientRun.Start(now)
	assert.Equal(t, len(actions), 1)
	relay := actions[0].(fanout.Relay)
	gateway.relayedCalls["1"] = relayedCall{job: started, index: relay.Call, relayVM: relay.VM.ID}
	return gateway, started, relay.VM.ID
}

// TestContradictoryRefusal guards against a second call of a request after a message of its relay that refuses it and has a result of the target too.
func TestContradictoryRefusal(t *testing.T) {
	for name, message := range map[string]rpc.GatherResult{
		"an outcome":  {Missing: []fanout.Missing{{Part: 0, Outcome: fanout.Lost}}},
		"an answer":   {Parts: []int{0}, Stamps: []string{"s"}, LatenciesMicros: []int{1}, Response: &rpc.Response{Status: http.StatusOK}},
		"a response":  {Response: &rpc.Response{Status: http.StatusInternalServerError}},
		"a signature": {Parts: []int{1}, Stamps: []string{"s"}, LatenciesMicros: []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway, job, relay := startRelayedOnce(t)
			message.QueryID, message.Refused, message.Final = "1", true, true
			gateway.receiveGatherResult(relay, message)
			response := <-job.response
			_, delivered := response.(fanout.Deliver)
			_, givenUp := response.(fanout.GiveUp)
			assert.Assert(t, delivered || givenUp, "%T", response)
			assert.Equal(t, job.clientRun.ExtraCalls(), 0)
		})
	}
}

// TestInvalidStatusOfRelay guards against a response that a relay of an earlier build passes on though no target may give its status.
func TestInvalidStatusOfRelay(t *testing.T) {
	for name, message := range map[string]rpc.GatherResult{
		"as an answer":  {Parts: []int{0}, Stamps: []string{"s"}, LatenciesMicros: []int{1}, Response: &rpc.Response{Status: 600}},
		"as a failure":  {Missing: []fanout.Missing{{Part: 0, Outcome: fanout.Failed}}, Response: &rpc.Response{Status: 999}},
		"as a refusal":  {Missing: []fanout.Missing{{Part: 0, Outcome: fanout.Refused}}, Response: &rpc.Response{Status: 777}},
		"for no result": {Response: &rpc.Response{Status: 700}},
	} {
		t.Run(name, func(t *testing.T) {
			gateway, job, relay := startRelayedOnce(t)
			message.QueryID, message.Final = "1", true
			gateway.receiveGatherResult(relay, message)
			response := <-job.response
			_, givenUp := response.(fanout.GiveUp)
			assert.Assert(t, givenUp, "%T", response)
			assert.Equal(t, job.clientRun.ExtraCalls(), 0)
		})
	}
}

// newRelayGateway returns a gateway with one route whose requests must run once, and the listener of its only target, i-1.
func newRelayGateway(t *testing.T) (*Gateway, net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.NewNop())
	table, errs := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "one", MaxTargetConnections: 25}},
		Routes: []route.Route{{Name: "o", Host: "h", PathPrefix: "/o/", Destination: route.Single{Service: "one"}}}})
	assert.Equal(t, len(errs), 0)
	gateway.table.Store(table)
	gateway.fleet.Update(time.Now(), place.Endpoint{ID: "i-1", Service: "one", Address: listener.Addr().String(), FailureDomain: "a", Slots: 2, State: place.Ready})
	return gateway, listener
}

// gatherOnce returns a peer's message that asks for the call of a request that must run once.
func gatherOnce(requestID string) rpc.Gather {
	return rpc.Gather{QueryID: "1", Route: "o", Parts: []int{0}, Targets: []string{"i-1"}, Once: true, RequestID: requestID, Method: "POST",
		Head: []byte("POST / HTTP/1.1\r\n"), Timeout: config.Duration(time.Minute), ReportAfter: config.Duration(time.Minute)}
}

// TestQueryIDOfEarlierIncarnation guards against the end of a call for a peer that has restarted since, which forgets the call of its new
// incarnation with the same number: a stop would not wait for it.
func TestQueryIDOfEarlierIncarnation(t *testing.T) {
	gateway, listener := newRelayGateway(t)
	ended := make(chan any, 2)
	relay := func(id string) net.Conn {
		gateway.serveGather("vm-b1", func(_ string, result any) { ended <- result }, gatherOnce(id))
		conn, err := listener.Accept()
		assert.NilError(t, err)
		return conn
	}
	earlier, current := relay("id-1"), relay("id-2")
	t.Cleanup(func() { _ = current.Close() })
	assert.NilError(t, earlier.Close())
	assert.Assert(t, (<-ended).(rpc.GatherResult).Final)
	gateway.mu.Lock()
	job := gateway.relayJobs["vm-b1/1"]
	gateway.mu.Unlock()
	assert.Assert(t, job != nil)
	assert.Equal(t, job.request.ID, "id-2")
}

// TestCancellationOfEarlierIncarnation guards against a call of a request that must run once that is broken off by the late cancellation of an earlier
// query with its number.
func TestCancellationOfEarlierIncarnation(t *testing.T) {
	gateway, listener := newRelayGateway(t)
	ended := make(chan rpc.GatherResult, 1)
	gateway.serveGather("vm-b1", func(_ string, result any) { ended <- result.(rpc.GatherResult) }, gatherOnce("id-1"))
	conn, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = http.ReadRequest(bufio.NewReader(conn))
	assert.NilError(t, err)
	gateway.fleet.StartAttempt(time.Now(), "i-1", "o") // else the call is left to complete anyway
	gateway.serveGatherCancel("vm-b1", rpc.GatherCancel{QueryID: "1"})
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+platformtest.IDField("id-1")+platformtest.StampField("s")+"Content-Length: 0\r\n\r\n") // a failure shows below
	select {
	case result := <-ended:
		assert.DeepEqual(t, result.Parts, []int{0})
	case <-time.After(5 * time.Second):
		t.Fatal("the call was not reported")
	}
}

// TestDeclinedCallIsLogged guards against logs that show an accepted call of a request that must run once, but not that it was never made.
func TestDeclinedCallIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	gateway := New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", zap.New(core))
	table, errs := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "one", MaxTargetConnections: 25}},
		Routes: []route.Route{{Name: "o", Host: "h", PathPrefix: "/o/", Destination: route.Single{Service: "one"}}}})
	assert.Equal(t, len(errs), 0)
	gateway.table.Store(table)
	gateway.fleet.Update(time.Now(), place.Endpoint{ID: "i-1", Service: "one", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 2, State: place.Draining})
	var results []rpc.GatherResult
	gateway.serveGather("vm-b1", func(_ string, result any) { results = append(results, result.(rpc.GatherResult)) }, rpc.Gather{QueryID: "1", Route: "o",
		Parts: []int{0}, Targets: []string{"i-1"}, Once: true, RequestID: "id-1", Method: "POST", Head: []byte("POST / HTTP/1.1\r\n"),
		Timeout: config.Duration(time.Minute), ReportAfter: config.Duration(time.Minute)})
	assert.Equal(t, len(results), 1)
	assert.Equal(t, results[0].Missing[0].Outcome, fanout.NoCapacity)
	lines := logs.FilterField(zap.String("request", "id-1")).FilterField(zap.String("outcome", string(fanout.NoCapacity))).All()
	assert.Equal(t, len(lines), 1)
	assert.Equal(t, lines[0].Message, "relay request ended")
}

// TestRelayRequestWhileStopEnds guards against a call for a peer that begins once a stop has seen that there is none to wait for.
func TestRelayRequestWhileStopEnds(t *testing.T) {
	var gateway *Gateway
	log := zap.New(zapcore.NewNopCore()).WithOptions(zap.WrapCore(func(zapcore.Core) zapcore.Core {
		core, _ := observer.New(zap.InfoLevel)
		return zapcore.RegisterHooks(core, func(entry zapcore.Entry) error {
			if entry.Message == "relay request accepted" {
				gateway.awaitRelayed(context.Background())
			}
			return nil
		})
	}))
	gateway = New(platform.Settings{VM: "vm-a1", FailureDomain: "a"}, "test", log)
	table, errs := route.New(route.Config{Version: 1, Services: []route.Service{{Name: "one", MaxTargetConnections: 25}},
		Routes: []route.Route{{Name: "o", Host: "h", PathPrefix: "/o/", Destination: route.Single{Service: "one"}}}})
	assert.Equal(t, len(errs), 0)
	gateway.table.Store(table)
	gateway.fleet.Update(time.Now(), place.Endpoint{ID: "i-1", Service: "one", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 2, State: place.Ready})
	results := make(chan rpc.GatherResult, 1)
	gateway.serveGather("vm-b1", func(_ string, result any) { results <- result.(rpc.GatherResult) }, rpc.Gather{QueryID: "1", Route: "o",
		Parts: []int{0}, Targets: []string{"i-1"}, Once: true, RequestID: "id-1", Method: "POST", Head: []byte("POST / HTTP/1.1\r\n"),
		Timeout: config.Duration(time.Minute), ReportAfter: config.Duration(time.Minute)})
	assert.Assert(t, (<-results).Refused)
}

// TestRecordLimit guards against records dropped for a peer of a build that does not state its limit, and against results that no message can hold.
func TestRecordLimit(t *testing.T) {
	for stated, want := range map[int]int{0: maxForwardedRecords, 3: 3, maxForwardedRecords + 1: maxForwardedRecords} {
		assert.Equal(t, recordLimitOf(rpc.Gather{RecordLimit: stated}), want)
	}
}
