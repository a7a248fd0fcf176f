package main

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"poplarpin.dev/core/api"
	"poplarpin.dev/core/config"
	"poplarpin.dev/core/evict"
	"poplarpin.dev/poplarpind/caller"
	"poplarpin.dev/poplarpind/certificate"
	"poplarpin.dev/poplarpind/conns"
	"poplarpin.dev/poplarpind/settings"
)

const (
	headBytes         = 64 << 10 // limit on a request line and its header fields
	jsonFactor        = 3        // bytes of memory that a byte of a JSON body takes up
	memoryLimitShare  = 0.75     // the soft limit of the Go runtime is this part of the process's memory, beyond which garbage is collected more often
	connShare         = 0.5      // of the memory of a listener's connections; for connections without a request
	callersShare      = 0.2      // connections of callers have this part of the memory
	operatorsShare    = 0.2
	linksShare        = 0.08 // links whose other end has not said who it is
	callersSockets    = 0.4  // connections of callers have this part of the descriptors for sockets
	operatorsSockets  = 0.05
	linksSockets      = 0.1
	maxOperatorsConns = 64
	refusedRetry      = time.Second // retry delay for callers whose request has no place
)

// listenerShare is the part of a process's memory and descriptors that a listener's connections have.
type listenerShare struct {
	name            string
	memory, sockets float64
	maxConns        int // 0 for no further limit
}

var (
	callersListener   = listenerShare{name: "callers", memory: callersShare, sockets: callersSockets}
	operatorsListener = listenerShare{name: "operators", memory: operatorsShare, sockets: operatorsSockets, maxConns: maxOperatorsConns}
	linksListener     = listenerShare{name: "links", memory: linksShare, sockets: linksSockets}
)

// newGuard returns the guard of a listener's connections, which speak TLS if tlsConfig is set.
func newGuard(share listenerShare, settings settings.Settings, tlsConfig *tls.Config, log *zap.Logger) *conns.Guard {
	connBytes, refuse := conns.ConnBytes, refuseHead
	if tlsConfig != nil {
		connBytes, refuse = conns.SecuredConnBytes, nil
	}
	bytes := float64(settings.MemoryBytes) * share.memory
	count := min(int(float64(conns.Sockets(settings.MaxDescriptors))*share.sockets), int(bytes*connShare)/connBytes)
	if share.maxConns > 0 {
		count = min(count, share.maxConns)
	}
	return conns.New(conns.Options{Name: share.name, Limits: evict.Limits{Conns: count, Bytes: int64(bytes), ConnBytes: int64(connBytes)},
		Requests: func() conns.RequestLimits {
			return conns.RequestLimits{HeadBytes: headBytes, HeaderTimeout: caller.HeaderTimeout}
		},
		Encrypted: tlsConfig != nil, BodyFactor: jsonFactor, Refuse: refuse, Reject: reject, Log: log})
}

// refusalOf returns the error that tells a caller of a refusal.
func refusalOf(refusal conns.Error) *api.Error {
	failure := &api.Error{Op: "request", Kind: api.Overloaded, Message: refusal.Reason(), Outcome: api.NotRun, RetryAfter: config.Duration(refusedRetry)}
	if refusal.Kind == conns.HeadTooLarge {
		failure.Kind, failure.RetryAfter = api.TooLarge, 0
	}
	return failure
}

// refuseHead returns the response to a request whose head is refused.
func refuseHead(refusal conns.Error) []byte {
	return caller.EncodeError(refusal.Status(), refusalOf(refusal))
}

// reject answers a request that has no place.
func reject(writer http.ResponseWriter, refusal conns.Error) {
	caller.WriteError(writer, refusalOf(refusal))
}

// server is an HTTP server that can be drained and whose connections are bounded.
type server struct {
	*http.Server
	listener net.Listener
	states   *conns.States
	guard    *conns.Guard
}

// listen listens on an address, with bounded connections that speak TLS if tlsConfig is set.
func listen(address string, tlsConfig *tls.Config, guard *conns.Guard) (net.Listener, error) {
	listener, err := guard.Listen(address)
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	if tlsConfig == nil {
		return listener, nil
	}
	return tls.NewListener(listener, tlsConfig), nil
}

// start serves until the server is closed.
func (server *server) start() error {
	listener, err := listen(server.Addr, server.TLSConfig, server.guard)
	if err != nil {
		return err
	}
	server.listener, server.states = listener, conns.Watch(server.Server)
	server.guard.Attach(server.Server)
	server.ReadHeaderTimeout, server.ReadTimeout = caller.HeaderTimeout, caller.BodyTimeout
	go func() { _ = server.Serve(listener) }()
	return nil
}

// callerTLS returns nil if callers use plain HTTP.
func callerTLS(certificates *certificate.Store, settings settings.Settings) *tls.Config {
	if settings.PlainCallers {
		return nil
	}
	return certificates.Callers()
}
