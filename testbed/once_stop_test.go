package main

import (
	"context"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/target"
)

// TestStoppedVMsOutcome guards against a request whose outcome is known to its first caller, and unknown to the next one, as the VM has stopped.
func TestStoppedVMsOutcome(t *testing.T) {
	running := startFleet(t)
	assert.NilError(t, running.SetTargets(target.Faults{Slow: 100}))
	request := api.Request{ID: "crew", Service: "heat", Query: "crew", NonIdempotent: true, Shard: "v1-s00", Deadline: config.Duration(3 * time.Second)}
	answers := make(chan api.Answer)
	go func() {
		answer, err := running.VMs[0].CallerClient().Query(context.Background(), request)
		assert.Check(t, err)
		answers <- answer
	}()
	time.Sleep(200 * time.Millisecond) // the claim is held and the call is in flight
	assert.NilError(t, running.SetPlatform(platform.Faults{Down: true}))
	answer := <-answers
	assert.Equal(t, answer.Outcome, api.Ran, answer.Message)
	time.AfterFunc(2*time.Second, func() { assert.Check(t, running.SetPlatform(platform.Faults{})) })
	assert.NilError(t, running.VMs[0].Signal(syscall.SIGTERM))
	assert.NilError(t, running.VMs[0].Wait())
	answer, err := running.VMs[1].CallerClient().Query(context.Background(), request)
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, api.Ran, answer.Message)
}
