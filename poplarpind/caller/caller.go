package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/poplarpind/entry"
)

var answers = expvar.NewMap("answers")

// New returns the HTTP handler for callers and for the balancer's health check.
func New(vm *entry.VM) http.Handler {
	handler := &handler{vm}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/query", handler.query)
	mux.HandleFunc("GET /health", handler.health)
	return mux
}

type handler struct{ vm *entry.VM }

// query runs the request in the body and writes its answer.
func (handler *handler) query(writer http.ResponseWriter, request *http.Request) {
	if handler.vm.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	var query api.Request
	if err := DecodeBody(writer, request, api.MaxBodyBytes, &query); err != nil {
		WriteError(writer, err)
		return
	}
	answer, err := handler.vm.Query(request.Context(), query)
	if err != nil {
		WriteError(writer, err)
		return
	}
	answers.Add(string(answer.Outcome), 1)
	WriteJSON(writer, answerStatus(answer), answer)
}

// answerStatus returns the HTTP status of an answer: 503 for a request that did not run, 502 for one that failed or may have run,
// 200 otherwise.
func answerStatus(answer api.Answer) int {
	switch answer.Outcome {
	case api.NotRun:
		return http.StatusServiceUnavailable
	case api.Unknown, api.Failed:
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// health answers the balancer's health check: 204 if this VM accepts new requests.
func (handler *handler) health(writer http.ResponseWriter, _ *http.Request) {
	if handler.vm.Stopping() {
		WriteError(writer, &api.Error{Op: "health", Kind: api.Stopping, Message: "this VM is stopping"})
		return
	}
	if !handler.vm.Ready() {
		WriteError(writer, &api.Error{Op: "health", Kind: api.NoRelease, Message: "no configuration is in force on this VM yet"})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// DecodeBody decodes a JSON body of limited size; the error is an api.Error.
func DecodeBody(writer http.ResponseWriter, request *http.Request, limit int64, value any) error {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &api.Error{Op: "request", Kind: api.TooLarge, Message: err.Error(), Outcome: api.NotRun}
	}
	var noPlace interface {
		error
		NotRun() (noRoom bool)
	}
	if errors.As(err, &noPlace) {
		return &api.Error{Op: "request", Kind: api.Overloaded, Message: err.Error(), Outcome: api.NotRun, RetryAfter: config.Duration(noPlaceRetry)}
	}
	if err == nil {
		err = json.Unmarshal(data, value)
	}
	var refused *api.Error
	if err != nil && !errors.As(err, &refused) {
		return &api.Error{Op: "request", Kind: api.BadRequest, Message: err.Error(), Outcome: api.NotRun}
	}
	return err
}

// WriteError writes an error as JSON, with a Retry-After header if the error has a retry delay.
func WriteError(writer http.ResponseWriter, err error) {
	var failure *api.Error
	if !errors.As(err, &failure) {
		failure = &api.Error{Op: "request", Kind: api.Unavailable, Message: err.Error()}
	}
	answers.Add(string(failure.Kind), 1)
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Std().Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	WriteJSON(writer, errorStatus(failure.Kind), failure)
}

// EncodeError returns the response with an error to a request that was not read completely. The connection ends with it.
func EncodeError(status int, failure *api.Error) []byte {
	recorder := &response{header: http.Header{"Connection": {"close"}}}
	WriteError(recorder, failure)
	var encoded bytes.Buffer
	fmt.Fprintf(&encoded, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), recorder.body.Len())
	_ = recorder.header.Write(&encoded) // a bytes.Buffer returns no error
	return append(append(encoded.Bytes(), "\r\n"...), recorder.body.Bytes()...)
}

// response is a response in memory, but for its status.
type response struct {
	header http.Header
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (response *response) Header() http.Header { return response.header }

// Write implements http.ResponseWriter.
func (response *response) Write(data []byte) (int, error) { return response.body.Write(data) }

// WriteHeader implements http.ResponseWriter.
func (response *response) WriteHeader(int) {}

// errorStatus returns the HTTP status of an error kind.
func errorStatus(kind api.Kind) int {
	switch kind {
	case api.BadRequest:
		return http.StatusBadRequest
	case api.TooLarge:
		return http.StatusRequestEntityTooLarge
	case api.NotFound:
		return http.StatusNotFound
	case api.Forbidden:
		return http.StatusForbidden
	case api.ConflictKind:
		return http.StatusConflict
	case api.UnknownKind:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// WriteJSON writes a response with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// noPlaceRetry is sent to callers whose body has no room on this VM.
const noPlaceRetry = time.Second

// Read timeouts of the caller and operator HTTP servers.
const (
	HeaderTimeout = 5 * time.Second
	BodyTimeout   = 30 * time.Second // the whole request, including the header, must arrive within this time
)
