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
