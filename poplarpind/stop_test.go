package main_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

const (
	stopLatency = 300 * time.Millisecond // of targets that answer within the grace
	stopForever = time.Minute            // of targets that do not
)

// stopDeployment is an entry VM beside slow targets; those of two services take longer than any grace.
type stopDeployment struct {
	process  *process
	recorder *platformtest.Recorder
}

// newStopDeployment starts the VM. Paths below /o/ and /hang/ are not idempotent, /p/ is, and /g/ gathers, with one of two services that hangs.
func newStopDeployment(t *testing.T, grace time.Duration) *stopDeployment {
	t.Helper()
	deployment := &stopDeployment{recorder: &platformtest.Recorder{}}
	store := platformtest.NewStore(t)
	for service, latency := range map[string]time.Duration{"one": stopLatency, "hang": stopForever, "s1": stopLatency, "s2": stopForever} {
		for i := range 2 {
			id := fmt.Sprintf("i-%s-%d", service, i)
			target := platformtest.NewTarget(t, id)
			ended := make(chan struct{})
			t.Cleanup(func() { close(ended) }) // before the target is closed
			deployment.recorder.RecordWhile(target, service, latency, ended)
			store.Put("servers", id, target.Spec(service, "a", "ready"))
		}
	}
	config := platformtest.Config(1)
	config["services"] = []map[string]any{{"name": "s1", "max_conns": 500}, {"name": "s2", "max_conns": 500}, {"name": "one", "max_conns": 500}, {"name": "hang", "max_conns": 500}}
	platformtest.AddPublicRoute(config, "p", "/p/", "one")
	platformtest.AddOnceRoute(config, "hang", "/hang/", "hang")
	store.Put("config", "main", config)
	deployment.process = startVM(t, build(t), platformtest.Process{VM: "vm-a1", StoreAddress: store.Address(), Bounds: platformtest.Bounds{GracePeriod: grace}})
	return deployment
}

// stopAnswer is the answer to one request, as its client received it.
type stopAnswer struct {
	id, path string
	status   int // 0 if the connection ended without a complete answer
	err      error
}

// send sends a request on a connection and reads the answer; more reports whether the connection may be used again.
func (deployment *stopDeployment) send(t *testing.T, conn net.Conn, reader *bufio.Reader, path string) (answer stopAnswer, more bool) {
	request := platformtest.NewRequest(t, http.MethodPost, deployment.process.url+path, []byte("b"))
	answer = stopAnswer{id: platformtest.RequestID(request), path: path}
	if answer.err = request.Write(conn); answer.err != nil {
		return answer, false
	}
	response, err := http.ReadResponse(reader, request)
	if err == nil {
		_, err = io.ReadAll(response.Body)
	}
	if answer.err = err; err != nil {
		return answer, false
	}
	answer.status = response.StatusCode
	return answer, !response.Close
}

// TestLateInTheGrace guards against requests that a stopping VM passes on and cuts at the end of its grace, on connections that its clients keep.
func TestLateInTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{time.Second, 3 * time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			deployment := newStopDeployment(t, grace)
			const clients = 92
			paths := []string{"/o/x", "/p/x", "/g/x", "/hang/x"}
			begin, warm := make(chan time.Time), sync.WaitGroup{}
			var mu sync.Mutex
			var answers []stopAnswer
			var ended sync.WaitGroup
			for i := range clients {
				warm.Add(1)
				ended.Go(func() {
					conn, err := net.Dial("tcp", strings.TrimPrefix(deployment.process.url, "http://"))
					assert.Check(t, err)
					defer conn.Close()
					reader := bufio.NewReader(conn)
					for range (i + 1) % 2 * 2 { // half of the connections have served requests, from which the VM knows the usual latency
						answer, more := deployment.send(t, conn, reader, paths[i/2%2])
						assert.Check(t, more && answer.status == http.StatusOK, "%+v", answer)
					}
					warm.Done()
					time.Sleep(time.Until((<-begin).Add(time.Duration(i-5) * grace / (clients - 5)))) // the first ones are sent before the stop
					for more, n := true, i/2; more; n++ {
						var answer stopAnswer
						answer, more = deployment.send(t, conn, reader, paths[n%len(paths)])
						mu.Lock()
						answers = append(answers, answer)
						mu.Unlock()
					}
				})
			}
			warm.Wait()
			at := time.Now().Add(grace / 4)
			for range clients {
				begin <- at
			}
			time.Sleep(time.Until(at))
			deployment.process.signal(t, syscall.SIGTERM)
			for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
				time.Sleep(grace / 10)
				deployment.process.signal(t, signal)
			}
			deployment.process.waitFor(t, at.Add(2*grace)) // an exit in time is a matter of the machine's speed, see stop.TestTimes
			ended.Wait()
			deployment.assertAnswered(t, answers)
			for _, run := range deployment.recorder.Runs() {
				if run.At.After(at.Add(grace / 2)) {
					assert.Check(t, run.Left > 0 && run.Left <= grace, "%+v", run)
				}
			}
		})
	}
}

// assertAnswered checks that each request that was passed on got a complete answer, and ran once at most, or not at all if its answer says so.
func (deployment *stopDeployment) assertAnswered(t *testing.T, answers []stopAnswer) {
	t.Helper()
	runs := map[string]map[string]int{}
	for _, run := range deployment.recorder.Runs() {
		if runs[run.RequestID] == nil {
			runs[run.RequestID] = map[string]int{}
		}
		runs[run.RequestID][run.Service]++
	}
	statuses := map[string]int{}
	for _, answer := range answers {
		statuses[fmt.Sprintf("%s %d", answer.path, answer.status)]++
		once := answer.path == "/o/x" || answer.path == "/hang/x"
		switch ran := runs[answer.id]; {
		case answer.status == 0 && len(ran) > 0:
			t.Errorf("cut though it ran: %+v", answer)
		case once && platformtest.PromisesNotRun(answer.status) && len(ran) > 0:
			t.Errorf("ran though it was refused: %+v", answer)
		case once && ran["one"]+ran["hang"] > 1:
			t.Errorf("ran twice: %+v", answer)
		}
	}
	t.Log(statuses)
	for _, expected := range []string{"/o/x 200", "/o/x 503", "/p/x 200", "/p/x 503", "/hang/x 504"} {
		assert.Check(t, statuses[expected] > 0, "no %s: %v", expected, statuses)
	}
}

// TestStoppingRelay guards against parts that a VM calls for another one and drops when it stops, so that they run again.
func TestStoppingRelay(t *testing.T) {
	const grace, latency = 3 * time.Second, 1900 * time.Millisecond // the VM is out of the balancer's rotation after half of the grace
	store, recorder, binary := platformtest.NewStore(t), &platformtest.Recorder{}, build(t)
	services := []string{"s1", "s2", "s3"}
	for _, service := range services {
		target := platformtest.NewTarget(t, "i-"+service)
		recorder.RecordWhile(target, service, latency, nil)
		store.Put("servers", "i-"+service, target.Spec(service, "b", "ready"))
	}
	config := platformtest.WholeGatherConfig(services)
	config["routes"].([]map[string]any)[0]["target_latency_ms"] = 12_000 // no part counts as slow
	store.Put("config", "main", config)
	bounds := platformtest.Bounds{GracePeriod: grace}
	relay := startVM(t, binary, platformtest.Process{VM: "vm-b1", FailureDomain: "b", StoreAddress: store.Address(), Bounds: bounds})
	requesting := startVM(t, binary, platformtest.Process{VM: "vm-a1", FailureDomain: "a", StoreAddress: store.Address(), Bounds: bounds})
	eventually(t, "the list of VMs", func() bool { return strings.Contains(requesting.get(t, "/debug/dump"), `"vm-b1"`) })
	for _, stops := range []bool{false, true} {
		before := len(recorder.Runs())
		statuses := make(chan string)
		go func() {
			request := platformtest.NewRequest(t, http.MethodPost, requesting.url+"/g/x", []byte("b"))
			response, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				statuses <- err.Error()
				return
			}
			_ = response.Body.Close()
			statuses <- fmt.Sprintf("%d, missing %s", response.StatusCode, platformtest.MissingParts(response))
		}()
		eventually(t, "the calls", func() bool { return len(recorder.Runs()) == before+len(services) })
		if stops {
			relay.signal(t, syscall.SIGTERM)
		}
		assert.Equal(t, <-statuses, "200, missing 0")
		assert.Equal(t, len(recorder.Runs()), before+len(services))
	}
	var counters struct{ Calls map[string]int }
	assert.NilError(t, json.Unmarshal([]byte(requesting.get(t, "/debug/vars")), &counters))
	assert.Equal(t, counters.Calls["relayed"], 2)
	relay.waitFor(t, time.Now().Add(startTimeout))
}
