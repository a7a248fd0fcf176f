package operator

import (
	"context"
	"expvar"
	"net/http"
	"net/http/pprof"
	"slices"
	"strconv"

	"go.uber.org/zap"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/release"
	"poplarpin.dev/poplarpind/caller"
	"poplarpin.dev/poplarpind/entry"
)

// anonymous is the author of notes where operators have no client certificates.
const anonymous = "anonymous"

// New returns the HTTP handler for operators; authorized lists the certificate names that may apply notes. Without TLS it is
// empty and anyone may.
func New(vm *entry.VM, authorized []string, log *zap.Logger) http.Handler {
	handler := &handler{vm, authorized, log}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/releases", handler.apply)
	mux.HandleFunc("GET /v1/releases", handler.history)
	mux.HandleFunc("GET /v1/releases/{number}", handler.show)
	mux.HandleFunc("POST /v1/diff", handler.diff)
	mux.HandleFunc("GET /v1/status", handler.status)
	mux.HandleFunc("GET /v1/dump", handler.dump)
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	return mux
}

type handler struct {
	vm         *entry.VM
	authorized []string
	log        *zap.Logger
}

// author returns the operator's name from its client certificate and whether it may apply notes.
func (handler *handler) author(request *http.Request) (string, bool) {
	if request.TLS == nil || len(request.TLS.PeerCertificates) == 0 {
		return anonymous, len(handler.authorized) == 0
	}
	name := request.TLS.PeerCertificates[0].Subject.CommonName
	return name, slices.Contains(handler.authorized, name)
}

func (handler *handler) apply(writer http.ResponseWriter, request *http.Request) {
	author, ok := handler.author(request)
	if !ok {
		handler.log.Warn("release note of unauthorized operator rejected", zap.String("author", author))
		caller.WriteError(writer, &api.Error{Op: "apply", Kind: api.Forbidden, Message: author + " may not apply release notes", Outcome: api.NotRun})
		return
	}
	var note release.Note
	if err := caller.DecodeBody(writer, request, release.MaxNoteBytes, &note); err != nil {
		caller.WriteError(writer, err)
		return
	}
	note.Author = author
	// A note in progress is not abandoned when the operator's connection closes.
	accepted, err := handler.vm.Apply(context.WithoutCancel(request.Context()), note)
	if err != nil {
		caller.WriteError(writer, err)
		return
	}
	handler.log.Info("release note accepted", zap.String("note", note.ID), zap.Int64("release", accepted.Release), zap.String("author", author))
	caller.WriteJSON(writer, http.StatusOK, accepted)
}

func (handler *handler) history(writer http.ResponseWriter, _ *http.Request) {
	list := []api.Release{}
	for _, accepted := range handler.vm.History() {
		list = append(list, api.Release{Note: accepted.Note, Release: accepted.Release, Author: accepted.Author})
	}
	caller.WriteJSON(writer, http.StatusOK, list)
}

func (handler *handler) show(writer http.ResponseWriter, request *http.Request) {
	number, err := strconv.ParseInt(request.PathValue("number"), 10, 64)
	if err != nil {
		caller.WriteError(writer, &api.Error{Op: "show", Kind: api.BadRequest, Field: "number", Message: "is not a release number"})
		return
	}
	note, err := handler.vm.Note(request.Context(), number)
	if err != nil {
		caller.WriteError(writer, err)
		return
	}
	caller.WriteJSON(writer, http.StatusOK, note)
}

func (handler *handler) diff(writer http.ResponseWriter, request *http.Request) {
	var note release.Note
	if err := caller.DecodeBody(writer, request, release.MaxNoteBytes, &note); err != nil {
		caller.WriteError(writer, err)
		return
	}
	changes, err := handler.vm.Diff(note)
	if err != nil {
		caller.WriteError(writer, err)
		return
	}
	caller.WriteJSON(writer, http.StatusOK, changes)
}

func (handler *handler) status(writer http.ResponseWriter, request *http.Request) {
	caller.WriteJSON(writer, http.StatusOK, handler.vm.Status(request.Context()))
}

func (handler *handler) dump(writer http.ResponseWriter, _ *http.Request) {
	caller.WriteJSON(writer, http.StatusOK, handler.vm.Dump())
}
