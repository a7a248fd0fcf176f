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
)

// TestStopUnderEndlessRequests guards against a planned stop that lasts as long as callers go on sending to the VM, and then cuts their requests.
func TestStopUnderEndlessRequests(t *testing.T) {
	running := startFleet(t)
	vm := running.VMs[0]
	var ended atomic.Bool
	var answered, refused, cut atomic.Int64
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := 0; !ended.Load(); i++ {
				switch status, err := queryOnce(vm.CallerAddress, fmt.Sprintf("endless-%d-%d", caller, i)); {
				case errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF): // a connection with unread bytes is reset
					cut.Add(1)
				case err != nil:
				case status == http.StatusOK:
					answered.Add(1)
				case status == http.StatusServiceUnavailable:
					refused.Add(1)
				default:
					t.Errorf("status %d", status)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	exited := make(chan error, 1)
	go func() { exited <- vm.Wait() }()
	select {
	case err := <-exited:
		assert.Check(t, err)
	case <-time.After(time.Minute):
		t.Error("the stop lasts as long as the requests")
	}
	ended.Store(true)
	callers.Wait()
	t.Log(answered.Load(), "answered", refused.Load(), "refused", cut.Load(), "cut")
	assert.Assert(t, answered.Load() > 0)
	assert.Equal(t, cut.Load(), int64(0))
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
