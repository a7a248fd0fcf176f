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
	clientsConnShare   = 0.5              // of that; what their connections hold without requests
	clientsSocketShare = 0.4              // connections of clients have this part of the descriptors for sockets; targets, store and links have the rest
	bodyFactor         = 2                // a body is read into a buffer that doubles
)

// Connections on the addresses for others than clients. Their limits are fractions of the descriptors for sockets, between two bounds.
const (
	readyBytes, readyDivisor, minReady, maxReady = 2 << 20, 40, 8, 32
	peersBytes, peersDivisor, minPeers, maxPeers = 6 << 20, 20, 16, 64
	linksBytes, linksDivisor, minLinks, maxLinks = 12 << 20, 10, 32, 256 // links whose other end has not said who it is
)

// guards bound the connections on the listeners of a VM.
type guards struct{ clients, ready, peers, links *conns.Guard }

// newGuards returns the guards of a VM, by its memory and descriptors.
func newGuards(gateway *Gateway) guards {
	sockets := conns.Sockets(gateway.settings.MaxDescriptors)
	memory := gateway.settings.MemoryBytes
	if memory <= 0 {
		memory = assumedMemory
	}
	bytes := int64(float64(memory) * clientsShare)
	clients := min(int(float64(sockets)*clientsSocketShare), int(float64(bytes)*clientsConnShare/conns.ConnBytes))
	guard := func(name string, count int, bytes int64, requests func() conns.RequestLimits, refuse func(conns.Error) []byte) *conns.Guard {
		return conns.New(conns.Options{Name: name, Limits: evict.Limits{Conns: count, Bytes: bytes, ConnBytes: conns.ConnBytes}, Requests: requests,
			BodyFactor: bodyFactor, Refuse: refuse, Reject: reject, Log: gateway.log})
	}
	return guards{
		clients: guard("clients", clients, bytes, gateway.requestLimits, refuseHead),
		ready:   guard("ready", min(max(sockets/readyDivisor, minReady), maxReady), readyBytes, internalLimits, refuseHead),
		peers:   guard("peers", min(max(sockets/peersDivisor, minPeers), maxPeers), peersBytes, internalLimits, refuseHead),
		links:   guard("links", min(max(sockets/linksDivisor, minLinks), maxLinks), linksBytes, internalLimits, nil),
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
