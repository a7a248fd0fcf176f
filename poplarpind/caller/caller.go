package caller

import (
	"encoding/json"
	"errors"
	"expvar"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"poplarpin.dev/core/api"
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

func (handler *handler) query(writer http.ResponseWriter, request *http.Request) {
	if handler.vm.Stopping() {
		writer.Header().Set("Connection", "close")
	}
	var query api.Request
	if err := Decode(writer, request, api.MaxBodyBytes, &query); err != nil {
		Fail(writer, err)
		return
	}
	answer, err := handler.vm.Query(request.Context(), query)
	if err != nil {
		Fail(writer, err)
		return
	}
	answers.Add(string(answer.Outcome), 1)
	Write(writer, status(answer), answer)
}

// status is 200 for what ran, 503 for what did not and 502 for what may have.
func status(answer api.Answer) int {
	switch answer.Outcome {
	case api.NotRun:
		return http.StatusServiceUnavailable
	case api.Unknown, api.Failed:
		return http.StatusBadGateway
	}
	return http.StatusOK
}

// health tells the balancer whether to send new requests here.
func (handler *handler) health(writer http.ResponseWriter, _ *http.Request) {
	if handler.vm.Stopping() {
		Fail(writer, &api.Error{Op: "health", Kind: api.Stopping, Message: "this VM is stopping"})
		return
	}
	if !handler.vm.Ready() {
		Fail(writer, &api.Error{Op: "health", Kind: api.NoRelease, Message: "no configuration is in force on this VM yet"})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

// Decode reads a JSON body of limited size; the error is an api.Error.
func Decode(writer http.ResponseWriter, request *http.Request, limit int64, value any) error {
	data, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &api.Error{Op: "request", Kind: api.TooLarge, Message: err.Error(), Outcome: api.NotRun}
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

// Fail writes an error, with the time to come back where there is one.
func Fail(writer http.ResponseWriter, err error) {
	var failure *api.Error
	if !errors.As(err, &failure) {
		failure = &api.Error{Op: "request", Kind: api.Unavailable, Message: err.Error()}
	}
	answers.Add(string(failure.Kind), 1)
	if failure.RetryAfter > 0 {
		seconds := int(math.Ceil(failure.RetryAfter.Std().Seconds()))
		writer.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	Write(writer, statusOf(failure.Kind), failure)
}

func statusOf(kind api.Kind) int {
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

// Write writes a JSON body.
func Write(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// Timeouts of the HTTP servers.
const (
	HeaderTimeout = 5 * time.Second
	BodyTimeout   = 30 * time.Second
)
