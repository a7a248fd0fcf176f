package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// rawTarget is a target that writes the bytes of its responses itself, and counts how often it runs each request.
type rawTarget struct {
	mu      sync.Mutex
	runs    map[string]int
	refused int // true refusals
	late    int // late responses to earlier requests
	respond func(target *rawTarget, id, previous string) string
}

// newRawTarget starts a target and puts it into a store. respond gets the id of the request and of the one before it on the connection, "" for none.
func newRawTarget(t *testing.T, store *platformtest.Store, id string, respond func(target *rawTarget, id, previous string) string) *rawTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	target := &rawTarget{runs: map[string]int{}, respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	store.Put("servers", id, platformtest.TargetSpec("one", listener.Addr().String(), "a", "ready"))
	return target
}

func (target *rawTarget) serve(conn net.Conn) {
	defer conn.Close()
	reader, previous := bufio.NewReader(conn), ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := platformtest.RequestID(request)
		target.mu.Lock()
		response := target.respond(target, id, previous)
		target.mu.Unlock()
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		previous = id
	}
}

// answer runs a request and returns the response to it.
func (target *rawTarget) answer(id string) string {
	target.runs[id]++
	return "HTTP/1.1 200 OK\r\n" + platformtest.IDField(id) + platformtest.StampField("stamp-"+id) + "Content-Length: 0\r\n\r\n"
}

// answerLate runs a request; a late response to an earlier one arrives before its own.
func (target *rawTarget) answerLate(id, late string) string {
	target.late++
	return late + target.answer(id)
}

func refusal(status int, headers string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", status, headers)
}

// TestLateRefusal guards against a second run of a request after a refusal that belongs to an earlier one on the connection.
func TestLateRefusal(t *testing.T) {
	for name, respond := range map[string]func(target *rawTarget, id, previous string) string{
		"of a request without an id": func(target *rawTarget, id, previous string) string {
			if previous == "" {
				return target.answer(id)
			}
			return target.answerLate(id, refusal(400, platformtest.NotExecutedField))
		},
		"without an id": func(target *rawTarget, id, previous string) string {
			if previous == "" {
				return target.answer(id)
			}
			return target.answerLate(id, refusal(503, platformtest.NotExecutedField))
		},
		"of another target's request, without an id": func(target *rawTarget, id, previous string) string {
			if previous == "" {
				return target.answer(id)
			}
			return target.answerLate(id, refusal(421, ""))
		},
		"of the same request": func(target *rawTarget, id, previous string) string {
			refused := refusal(503, platformtest.NotExecutedField+platformtest.IDField(id))
			switch previous {
			case "":
				if target.refused == 0 {
					target.refused++
					return refused
				}
			case id:
				return target.answerLate(id, refused)
			}
			return target.answer(id)
		},
	} {
		t.Run(name, func(t *testing.T) {
			store := platformtest.NewStore(t)
			target := newRawTarget(t, store, "i-1", respond)
			store.Put("config", "main", platformtest.Config(1))
			vm := startVM(t, "vm-a1", "a", store)
			waitFor(t, "ready", vm.gateway.Ready)
			for range 4 {
				request := platformtest.NewRequest(t, http.MethodPost, vm.clients.URL+"/o/x", []byte("b"))
				response, err := http.DefaultTransport.RoundTrip(request)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
				target.mu.Lock()
				runs := target.runs[platformtest.RequestID(request)]
				target.mu.Unlock()
				assert.Equal(t, runs, 1)
				assert.Assert(t, !platformtest.PromisesNotRun(response.StatusCode), "%d", response.StatusCode)
			}
			target.mu.Lock()
			defer target.mu.Unlock()
			assert.Assert(t, target.late+target.refused > 0)
		})
	}
}

const refusalsBefore = 2 // the pause before the next call doubles with each

// refusingTarget refuses each slow request a few times. One that comes again on the connection of its refusal gets a late copy of that first, even if
// another request was answered there since.
type refusingTarget struct {
	slow     map[string]int    // refusals so far, by id of the request
	between  map[string]string // id of a request that was answered after a refusal on the same connection, to that of the refused one
	refused  chan struct{}     // receives when a slow request has been refused for the last time
	repeated int               // requests that were answered after a refusal on the same connection
}

func (refusing *refusingTarget) respond(target *rawTarget, id, previous string) string {
	refused := refusal(503, platformtest.NotExecutedField+platformtest.IDField(id))
	count, slow := refusing.slow[id]
	if !slow {
		if _, ok := refusing.slow[previous]; ok {
			refusing.between[id] = previous
			refusing.repeated++
		}
		return target.answer(id)
	}
	if count < refusalsBefore {
		refusing.slow[id]++
		if count+1 == refusalsBefore {
			select {
			case refusing.refused <- struct{}{}:
			default:
			}
		}
		return refused
	}
	if refusing.between[previous] == id {
		return target.answerLate(id, refused)
	}
	return target.answer(id)
}

// TestLateRefusalAfterAnotherRequest guards against a second run of a request after a late copy of its own refusal, on a connection that has answered
// another request since.
func TestLateRefusalAfterAnotherRequest(t *testing.T) {
	refusing := &refusingTarget{slow: map[string]int{}, between: map[string]string{}, refused: make(chan struct{}, 1)}
	store := platformtest.NewStore(t)
	target := newRawTarget(t, store, "i-1", refusing.respond)
	store.Put("config", "main", platformtest.Config(1))
	vm := startVM(t, "vm-a1", "a", store)
	waitFor(t, "ready", vm.gateway.Ready)
	post := func(request *http.Request) {
		response, err := http.DefaultTransport.RoundTrip(request)
		assert.Check(t, err)
		assert.Check(t, response.Body.Close())
		target.mu.Lock()
		defer target.mu.Unlock()
		runs := target.runs[platformtest.RequestID(request)]
		assert.Check(t, runs <= 1, "ran %d times", runs)
		assert.Check(t, runs == 0 || !platformtest.PromisesNotRun(response.StatusCode), "%d", response.StatusCode)
	}
	waitFor(t, "a request between a refusal and the next call", func() bool {
		slow := platformtest.NewRequest(t, http.MethodPost, vm.clients.URL+"/o/x", []byte("b"))
		target.mu.Lock()
		refusing.slow[platformtest.RequestID(slow)] = 0
		target.mu.Unlock()
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			post(slow)
		}()
		select {
		case <-refusing.refused:
			post(platformtest.NewRequest(t, http.MethodPost, vm.clients.URL+"/o/x", []byte("b")))
			<-ended
		case <-ended: // it was not refused as often
		}
		target.mu.Lock()
		defer target.mu.Unlock()
		return refusing.repeated >= 3
	})
}
