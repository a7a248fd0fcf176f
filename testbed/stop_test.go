package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/testbed/fleet"
)

// stopOutcomes counts how requests to a VM that stops ended.
type stopOutcomes struct{ answered, refused, cut atomic.Int64 }

// add counts an answer.
func (stopOutcomes *stopOutcomes) add(t *testing.T, status int) {
	switch status {
	case http.StatusOK:
		stopOutcomes.answered.Add(1)
	case http.StatusServiceUnavailable:
		stopOutcomes.refused.Add(1)
	default:
		t.Errorf("status %d", status)
	}
}

// assertNoneCut checks that each request that was read got its answer.
func (stopOutcomes *stopOutcomes) assertNoneCut(t *testing.T) {
	t.Helper()
	t.Log(stopOutcomes.answered.Load(), "answered", stopOutcomes.refused.Load(), "refused", stopOutcomes.cut.Load(), "cut")
	assert.Assert(t, stopOutcomes.answered.Load() > 0)
	assert.Equal(t, stopOutcomes.cut.Load(), int64(0))
}

// checkExit checks that the process of a VM ends although requests go on.
func checkExit(t *testing.T, vm *fleet.VM) {
	t.Helper()
	exited := make(chan error, 1)
	go func() { exited <- vm.Wait() }()
	select {
	case err := <-exited:
		assert.Check(t, err)
	case <-time.After(time.Minute):
		t.Error("the stop lasts as long as the requests")
	}
}

// TestStopUnderEndlessRequests guards against a planned stop that lasts as long as callers go on sending to the VM, and then cuts their requests.
func TestStopUnderEndlessRequests(t *testing.T) {
	running := startFleet(t)
	vm := running.VMs[0]
	var ended atomic.Bool
	var outcomes stopOutcomes
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := 0; !ended.Load(); i++ {
				switch status, err := queryOnce(vm.CallerAddress, fmt.Sprintf("endless-%d-%d", caller, i)); {
				case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF): // a connection with unread bytes is reset
					outcomes.cut.Add(1)
				case err != nil:
				default:
					outcomes.add(t, status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	checkExit(t, vm)
	ended.Store(true)
	callers.Wait()
	outcomes.assertNoneCut(t)
}

// queryOnce sends a query on a new connection and returns the status of the complete answer.
func queryOnce(address, id string) (int, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	body := fmt.Sprintf(`{"id":%q,"service":"heat","class":"alarm","query":"shed"}`, id)
	if _, err := fmt.Fprintf(conn, "POST /v1/query HTTP/1.1\r\nHost: vm\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
