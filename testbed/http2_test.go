package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/poplarpin/client"
	"poplarpin.dev/poplarpind/certificate/certificatetest"
	"poplarpin.dev/poplarpind/settings"
	"poplarpin.dev/testbed/fleet"
)

// startSecuredFleet starts a fleet whose callers use TLS, too.
func startSecuredFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	folder, hour := t.TempDir(), time.Now().Add(time.Hour)
	authority, err := certificatetest.New()
	assert.NilError(t, err)
	issue := func(name string) (*settings.TLS, error) { return authority.Issue(folder, name, hour, time.Now()) }
	files, err := issue("ana")
	assert.NilError(t, err)
	running, err := fleet.Start(fleet.Demo(), fleet.Options{Bin: bin, Folder: folder, DrainWait: time.Second, Seed: 1, TLS: &fleet.TLSOptions{
		Issue: issue, Callers: true, Operators: []string{"ana"}, Operator: client.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}}})
	assert.NilError(t, err)
	t.Cleanup(running.Stop)
	assert.NilError(t, running.ApplyTopology())
	return running
}

// TestStopUnderHTTP2Callers guards against a planned stop that loses requests of callers who share a connection, or lasts as long as they send: the VM
// speaks HTTP/1.1 with callers who ask for HTTP/2.
func TestStopUnderHTTP2Callers(t *testing.T) {
	vm := startSecuredFleet(t).VMs[0]
	transport := &http.Transport{ForceAttemptHTTP2: true, MaxIdleConnsPerHost: 10, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	defer transport.CloseIdleConnections()
	var ended atomic.Bool
	var outcomes stopOutcomes
	var callers sync.WaitGroup
	for caller := range 6 {
		callers.Go(func() {
			for i := 0; !ended.Load(); i++ {
				body := fmt.Sprintf(`{"id":"shared-%d-%d","service":"heat","class":"alarm","query":"shed"}`, caller, i)
				connected := false
				ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
				request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+vm.CallerAddress+"/v1/query", strings.NewReader(body))
				assert.Check(t, err)
				response, err := transport.RoundTrip(request)
				if err == nil {
					assert.Check(t, response.ProtoMajor == 1, response.Proto)
					_, err = io.Copy(io.Discard, response.Body)
					_ = response.Body.Close()
				}
				switch {
				case err != nil && !connected:
				case err != nil:
					outcomes.cut.Add(1)
					t.Log(err)
				default:
					outcomes.add(t, response.StatusCode)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	began := time.Now()
	assert.NilError(t, vm.Signal(syscall.SIGTERM))
	checkExit(t, vm)
	ended.Store(true)
	callers.Wait()
	t.Log("stopped within", time.Since(began))
	outcomes.assertNoneCut(t)
}
