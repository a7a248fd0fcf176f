package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/standin/platform"
)

// TestStopWhileNoteIsAccepted guards against a planned stop that ends before it has answered an operator who has submitted a note.
func TestStopWhileNoteIsAccepted(t *testing.T) {
	running := startFleet(t)
	before := running.VMs[0].Release()
	assert.NilError(t, running.SetPlatform(platform.Faults{Slow: config.Duration(800 * time.Millisecond)}))
	type result struct {
		accepted api.Release
		err      error
	}
	results := make(chan result)
	go func() {
		accepted, err := running.Apply(running.VMs[0], noteAddingClasses("late", before, "late"))
		results <- result{accepted, err}
	}()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, running.VMs[0].Signal(syscall.SIGTERM))
	answered := <-results
	assert.NilError(t, answered.err)
	assert.NilError(t, running.VMs[0].Wait())
	assert.NilError(t, running.SetPlatform(platform.Faults{}))
	note, err := running.VMs[1].OperatorClient().Show(context.Background(), answered.accepted.Release)
	assert.NilError(t, err)
	assert.Equal(t, note.ID, "late")
}

// TestStopUnderOperator guards against a stopping VM that accepts connections of callers until its limit, and then cuts them, as an operator's call lasts.
func TestStopUnderOperator(t *testing.T) {
	running := startFleet(t)
	vm := running.VMs[0]
	profiled := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + vm.OperatorAddress + "/debug/pprof/profile?seconds=8")
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		profiled <- err
	}()
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	for accepted := true; accepted; time.Sleep(50 * time.Millisecond) {
		conn, err := net.Dial("tcp", vm.CallerAddress)
		if accepted = err == nil; accepted {
			assert.NilError(t, conn.Close())
		}
		assert.Assert(t, len(profiled) == 0, "callers are accepted until the operator's call has ended")
	}
	assert.NilError(t, <-profiled)
	assert.NilError(t, vm.Wait())
}
