package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/core/evict"
	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/conns"
)

const (
	defaultHeaderBytes = 64 << 10         // limit on a request's header until a configuration sets one
	defaultHeaderTime  = 10 * time.Second // the same for the time in which it must arrive
	readTimeout        = 10 * time.Second // the load balancer and other VMs send a request within this time
	clientsShare       = 0.3              // connections of clients and their requests have this part of the VM's memory
	connsShare         = 0.5              // of the memory of a listener's connections; for connections without a request
	clientsSocketShare = 0.4              // connections of clients have this part of the descriptors for sockets; targets, store and links have the rest
	bodyFactor         = 2                // a body is read into a buffer that doubles
)

// listenerShare is the part of a VM's memory and descriptors for the connections on an address that is not for clients.
type listenerShare struct {
	name               string
	memory             float64
	minConns, maxConns int
	sockets            float64 // of the descriptors for sockets, between the two bounds
}

var (
	readyShare = listenerShare{name: "ready", memory: 0.0125, sockets: 0.025, minConns: 8, maxConns: 32}
	peersShare = listenerShare{name: "peers", memory: 0.04, sockets: 0.05, minConns: 16, maxConns: 64}
	linksShare = listenerShare{name: "links", memory: 0.07, sockets: 0.1, minConns: 32, maxConns: 256} // links whose other end has not said who it is
)

// limits returns the limits of a VM with this memory and number of descriptors for sockets.
func (share listenerShare) limits(memoryBytes int64, sockets int) evict.Limits {
	bytes := float64(memoryBytes) * share.memory
	count := min(max(int(float64(sockets)*share.sockets), share.minConns), share.maxConns, int(bytes*connsShare/conns.ConnBytes))
	return evict.Limits{Conns: count, Bytes: int64(bytes), ConnBytes: conns.ConnBytes}
}

// clientLimits returns the limits on the connections of clients.
func clientLimits(memoryBytes int64, sockets int) evict.Limits {
	return listenerShare{memory: clientsShare, sockets: clientsSocketShare, maxConns: sockets}.limits(memoryBytes, sockets)
}

// guards bound the connections on the listeners of a VM.
type guards struct{ clients, ready, peers, links *conns.Guard }

// newGuards returns the guards of a VM, by its memory and descriptors.
func newGuards(gateway *Gateway) guards {
	sockets := conns.Sockets(gateway.settings.MaxDescriptors)
	memory := gateway.settings.MemoryBytes
	if memory <= 0 {
		memory = assumedMemory
	}
	guard := func(name string, limits evict.Limits, requests func() conns.RequestLimits, refuse func(conns.Error) []byte) *conns.Guard {
		return conns.New(conns.Options{Name: name, Limits: limits, Requests: requests, BodyFactor: bodyFactor, Refuse: refuse, Reject: reject, Log: gateway.log})
	}
	internal := func(share listenerShare, refuse func(conns.Error) []byte) *conns.Guard {
		return guard(share.name, share.limits(memory, sockets), internalLimits, refuse)
	}
	return guards{
		clients: guard("clients", clientLimits(memory, sockets), gateway.requestLimits, refuseHead),
		ready:   internal(readyShare, refuseHead),
		peers:   internal(peersShare, refuseHead),
		links:   internal(linksShare, nil),
	}
}

// run closes connections that exceed a time until the context ends.
func (guards guards) run(ctx context.Context) {
	conns.Run(ctx, guards.clients, guards.ready, guards.peers, guards.links)
}

// requestLimits returns the configuration's limits on requests of clients.
func (gateway *Gateway) requestLimits() conns.RequestLimits {
	limits := conns.RequestLimits{HeadBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTime, IdleTimeout: platform.DefaultIdleTimeout}
	table := gateway.table.Load()
	if table == nil {
		return limits
	}
	if table.Limits.MaxHeaderBytes > 0 {
		limits.HeadBytes = table.Limits.MaxHeaderBytes
	}
	if table.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = table.Limits.HeaderTimeout
	}
	if table.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = table.Limits.IdleTimeout
	}
	return limits
}

// internalLimits returns the limits on requests of the load balancer and of other VMs.
func internalLimits() conns.RequestLimits {
	return conns.RequestLimits{HeadBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTime, IdleTimeout: platform.DefaultIdleTimeout}
}

// refuseHead returns the response to a request whose head is refused.
func refuseHead(refusal conns.Error) []byte {
	return platform.RefusedHead(refusal.Status(), refusal.Reason())
}

// reject answers a request that has no place.
func reject(writer http.ResponseWriter, refusal conns.Error) {
	platform.Reject(writer, refusal.Reason())
}

// serve listens on an address, with bounded connections, until the server or the listener is closed.
func (gateway *Gateway) serve(address string, server *http.Server, guard *conns.Guard) (net.Listener, error) {
	listener, err := guard.Listen(address)
	if err != nil {
		return nil, err
	}
	guard.Attach(server)
	go func() {
		gateway.log.Info("listener ended", zap.String("address", address), zap.Error(server.Serve(listener)))
	}()
	return listener, nil
}
