package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/every"
)

const (
	headerTimeout  = 10 * time.Second        // for a client's request line and headers
	rotationSpan   = 2500 * time.Millisecond // the balancer asks each second and takes a VM out after two misses
	stopReserve    = 300 * time.Millisecond  // before the platform kills the process
	defaultGrace   = 6 * time.Second         // where the settings do not say when the process is killed
	gcPercent      = 200                     // growth of the heap between two garbage collections
	settingsEvery  = 2 * time.Second         // between two looks at the settings file; within the 3 s in which a VM may lag behind its seeds
	memoryFraction = 0.6                     // of the VM's memory, from which on garbage is collected more often
)

// Main serves a VM of the platform until a signal stops it.
func Main(path string, log *zap.Logger) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	log = log.With(zap.String("vm", settings.VM))
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryFraction))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gateway := New(settings, log)
	clients := &http.Server{Handler: platform.NewIngress(gateway), ReadHeaderTimeout: headerTimeout, IdleTimeout: platform.DefaultIdleTimeout,
		ErrorLog: zap.NewStdLog(log)}
	ready := &http.Server{Handler: platform.NewReadiness(gateway), ReadHeaderTimeout: headerTimeout}
	if err := gateway.Start(ctx); err != nil {
		return err
	}
	for address, server := range map[string]*http.Server{settings.ReadyAddress: ready, settings.CallerAddress: clients} {
		if err := gateway.serve(address, server); err != nil {
			return err
		}
	}
	log.Info("serving", zap.String("domain", settings.FailureDomain), zap.Float64("cores", settings.Cores), zap.String("store", settings.StoreAddress),
		zap.Strings("seeds", settings.Seeds))
	go gateway.WatchSettings(ctx, path)
	gateway.wait(path)
	gateway.end(clients)
	return nil
}

// Start takes links and questions of other VMs, and keeps connections, configuration and servers until the context ends.
func (gateway *Gateway) Start(ctx context.Context) error {
	peers := &http.Server{Handler: gateway.peerHandler(), ReadHeaderTimeout: headerTimeout}
	if err := gateway.serve(gateway.settings.PeerAddress, peers); err != nil {
		return err
	}
	links, err := net.Listen("tcp", gateway.settings.MeshAddress())
	if err != nil {
		return err
	}
	go gateway.mesh.Serve(links)
	go gateway.run(ctx)
	go func() {
		<-ctx.Done()
		gateway.mesh.Close()
		_ = links.Close()
		_ = peers.Close() // the process ends
	}()
	return nil
}

// serve takes connections on an address until the server is shut down.
func (gateway *Gateway) serve(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		gateway.log.Info("listener ended", zap.String("address", address), zap.Error(server.Serve(listener)))
	}()
	return nil
}

// peerHandler serves metrics and dumps on the address for peers.
func (gateway *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET "+statePath, gateway.serveState)
	mux.HandleFunc("GET /debug/dump", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(writer).Encode(gateway.Dump()); err != nil {
			gateway.log.Info("dump not delivered", zap.Error(err))
		}
	})
	return mux
}

// wait returns at the first signal to stop; others reload the settings or dump the state.
func (gateway *Gateway) wait(path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	for received := range signals {
		switch received {
		case syscall.SIGHUP:
			gateway.reload(path)
		case syscall.SIGUSR1:
			dump, err := json.Marshal(gateway.Dump())
			gateway.log.Info("dump", zap.ByteString("state", dump), zap.Error(err))
		default:
			return
		}
	}
}

// WatchSettings takes over what changes in the settings file, also without a signal, until the context ends.
func (gateway *Gateway) WatchSettings(ctx context.Context, path string) {
	var known []byte // none: the file may have changed since the process read it
	every.Run(ctx, settingsEvery, func() {
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, known) {
			return // one that is being replaced is there the next time
		}
		known = data
		gateway.change(data)
	})
}

// reload reads the settings anew.
func (gateway *Gateway) reload(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		gateway.log.Warn("settings not reloaded; the old ones stay", zap.Error(err))
		return
	}
	gateway.change(data)
}

// change takes over settings that may change in a running process: the seeds and the store's address.
func (gateway *Gateway) change(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		gateway.log.Warn("settings not reloaded; the old ones stay", zap.Error(err))
		return
	}
	if settings.StoreAddress == gateway.storeAddress() && slices.Equal(settings.Seeds, gateway.seeds()) {
		return
	}
	gateway.log.Info("settings reloaded", zap.Strings("seeds", settings.Seeds), zap.String("store", settings.StoreAddress),
		zap.Bool("storeMoved", settings.StoreAddress != gateway.storeAddress()))
	gateway.address.Store(&settings.StoreAddress)
	gateway.seedList.Store(&settings.Seeds)
}

// end is the planned stop: the balancer sends clients elsewhere, then what is under way is finished.
func (gateway *Gateway) end(clients *http.Server) {
	grace := gateway.settings.Bounds.GracePeriod
	if grace <= 0 {
		grace = defaultGrace
	}
	limit, cancel := context.WithTimeout(context.Background(), grace-stopReserve)
	defer cancel()
	gateway.Drain()
	gateway.leave(limit)
	pause(limit, min(rotationSpan, grace/2))
	err := clients.Shutdown(limit)
	gateway.log.Info("stopped", zap.Int64("active", gateway.ActiveRequests()), zap.Error(err))
}
