package gateway

import (
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"poplarpin.dev/core/fanout"
	"poplarpin.dev/core/place"
	"poplarpin.dev/core/route"
	"poplarpin.dev/core/rpc"
	"poplarpin.dev/platform"
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
