package main_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"poplarpin.dev/platform/platformtest"
)

// truncatingService answers the first call of each path with a part of a response, and any further call with a whole one.
type truncatingService struct {
	mu        sync.Mutex
	truncated map[string]platformtest.Truncated // of the first call, by path
	calls     map[string]int                    // by path
}

const (
	truncatedStamp = "stamp-1" // of the shapes
	paidBy         = 10        // requests that are sent before one with an extra call, which they pay for
	longBody       = 4 << 20   // does not fit into the buffers of a connection
)

func (service *truncatingService) respond(request *http.Request) platformtest.Truncated {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.calls[request.URL.Path]++
	if truncated, ok := service.truncated[request.URL.Path]; ok && service.calls[request.URL.Path] == 1 {
		return truncated
	}
	return platformtest.Truncated{Ending: platformtest.Kept, Bytes: "HTTP/1.1 200 OK\r\n" + platformtest.IDField(platformtest.RequestID(request)) +
		platformtest.StampField("stamp-2") + "Content-Length: 5\r\n\r\nwhole"}
}

// startTruncating starts a process with two targets of each of the services "s" (idempotent, /p/) and "one" (not idempotent, /o/).
func startTruncating(t *testing.T) (*process, *truncatingService) {
	t.Helper()
	service := &truncatingService{truncated: map[string]platformtest.Truncated{}, calls: map[string]int{}}
	store := platformtest.NewStore(t)
	for _, name := range []string{"s", "one"} {
		for _, replica := range []string{"-1", "-2"} {
			target := platformtest.NewTruncatingTarget(t, service.respond)
			store.Put("servers", name+replica, platformtest.TargetSpec(name, target.Address, "a", "ready"))
		}
	}
	config := platformtest.Config(1)
	config["limits"] = map[string]any{"max_body_bytes": longBody}
	platformtest.AddPublicRoute(config, "p", "/p/", "s")
	store.Put("config", "main", config)
	return startProcess(t, build(t), store), service
}

// answered is an answer, as its client received it.
type answered struct {
	status int
	stamp  string
	body   string
}

var whole = answered{http.StatusOK, "stamp-2", "whole"}

// ask sends a request and returns the answer.
func ask(t *testing.T, request *http.Request) answered {
	t.Helper()
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answered{response.StatusCode, platformtest.Stamp(response), string(body)}
}

// ask sends a request whose first call is truncated, and returns the answer and the number of calls.
func (service *truncatingService) ask(t *testing.T, request *http.Request, truncated platformtest.Truncated) (answered, int) {
	t.Helper()
	service.mu.Lock()
	service.truncated[request.URL.Path] = truncated
	service.mu.Unlock()
	answer := ask(t, request)
	service.mu.Lock()
	defer service.mu.Unlock()
	return answer, service.calls[request.URL.Path]
}

// tellingCuts returns where a response is cut: around the line that states the framing, around the end of the head, and before the end.
func tellingCuts(shape platformtest.ResponseShape) []int {
	stamp, head := strings.Index(shape.Head, truncatedStamp), len(shape.Head)
	cuts := []int{len("HTTP/1.1 200"), stamp + len(truncatedStamp), head - 5, head - 2, head - 1}
	if shape.Body != "" && !shape.ToClose {
		cuts = append(cuts, head, len(shape.Bytes())-1)
	}
	return cuts
}

// TestTruncatedTarget guards against an answer from a response that ended within its head or body: an idempotent request is answered by another
// target, any other one is not sent again.
func TestTruncatedTarget(t *testing.T) {
	process, service := startTruncating(t)
	number := 0
	for _, shape := range platformtest.ResponseShapes("0123456789abcdef") {
		switch shape.Name {
		case "length", "trailers", "no length", "interim responses", "HTTP/1.0 with chunks", "space after a length's name":
		default:
			continue
		}
		for _, ending := range []platformtest.Ending{platformtest.Closed, platformtest.Reset} {
			t.Run(string(ending)+"/"+shape.Name, func(t *testing.T) {
				for _, cut := range tellingCuts(shape) {
					number++
					truncated, path := platformtest.Truncated{Bytes: shape.Bytes()[:cut], Ending: ending}, strconv.Itoa(number)
					for range paidBy {
						assert.Equal(t, ask(t, platformtest.NewRequest(t, http.MethodGet, process.url+"/p/whole", nil)), whole)
					}
					answer, calls := service.ask(t, platformtest.NewRequest(t, http.MethodGet, process.url+"/p/"+path, nil), truncated)
					assert.Check(t, answer == whole && calls == 2, "after %q: %+v, %d calls", truncated.Bytes, answer, calls)
					answer, calls = service.ask(t, platformtest.NewRequest(t, http.MethodPost, process.url+"/o/"+path, []byte("b")), truncated)
					assert.Check(t, answer.status == http.StatusBadGateway && answer.stamp == "" && calls == 1, "after %q: %+v, %d calls", truncated.Bytes, answer, calls)
				}
			})
		}
	}
	t.Run("silent", func(t *testing.T) {
		for _, shape := range platformtest.ResponseShapes("0123456789abcdef")[:1] {
			for _, cut := range tellingCuts(shape)[2:] {
				number++
				request := platformtest.NewRequest(t, http.MethodPost, process.url+"/o/"+strconv.Itoa(number), []byte("b"))
				platformtest.SetTimeout(request, clientTimeout)
				truncated := platformtest.Truncated{Bytes: shape.Bytes()[:cut], Ending: platformtest.Silent}
				answer, calls := service.ask(t, request, truncated)
				assert.Check(t, answer.status == http.StatusGatewayTimeout && answer.stamp == "" && calls == 1, "after %q: %+v, %d calls", truncated.Bytes, answer, calls)
			}
		}
	})
}

// TestResetDuringLongRequest guards against a response without length that passes for complete because the reset of its connection was reported
// to the writer of the request's body.
func TestResetDuringLongRequest(t *testing.T) {
	process, service := startTruncating(t)
	truncated := platformtest.Truncated{Bytes: "HTTP/1.1 200 OK\r\n" + platformtest.StampField("stamp-1") + "\r\nshort", Ending: platformtest.Reset}
	for number := range 40 {
		request := platformtest.NewRequest(t, http.MethodPost, process.url+"/o/"+strconv.Itoa(number), bytes.Repeat([]byte("b"), longBody))
		answer, calls := service.ask(t, request, truncated)
		assert.Check(t, answer.status == http.StatusBadGateway && answer.stamp == "" && calls == 1, "%+v, %d calls", answer, calls)
	}
}

// TestProcessEndsWhileAnswering guards against an answer that looks complete to the client of a process that ended midway.
func TestProcessEndsWhileAnswering(t *testing.T) {
	process, service := startTruncating(t)
	const size = 12 << 20
	service.truncated["/o/x"] = platformtest.Truncated{Ending: platformtest.Closed,
		Bytes: "HTTP/1.1 200 OK\r\n" + platformtest.StampField("stamp-1") + "\r\n" + strings.Repeat("b", size)}
	conn, err := net.Dial("tcp", strings.TrimPrefix(process.url, "http://"))
	assert.NilError(t, err)
	defer conn.Close()
	request := platformtest.NewRequest(t, http.MethodPost, process.url+"/o/x", nil) // without a hedge
	assert.NilError(t, request.Write(conn))
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	process.signal(t, syscall.SIGKILL)
	count, err := io.Copy(io.Discard, response.Body)
	assert.Assert(t, err != nil && count < size, "%d bytes, then %v", count, err)
}

// TestSignatureForOneConnection guards against a success without its signature because the target names that field as one of the connection.
func TestSignatureForOneConnection(t *testing.T) {
	process, service := startTruncating(t)
	request := platformtest.NewRequest(t, http.MethodPost, process.url+"/o/x", []byte("b"))
	answer, calls := service.ask(t, request, platformtest.Truncated{Ending: platformtest.Kept, Bytes: "HTTP/1.1 200 OK\r\nConnection: " + platformtest.StampName + ", X-Own\r\nX-Own: 1\r\n" +
		platformtest.StampField("stamp-2") + "Content-Length: 5\r\n\r\nwhole"})
	assert.Check(t, answer == whole && calls == 1, "%+v, %d calls", answer, calls)
}
