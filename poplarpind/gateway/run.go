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
	"poplarpin.dev/poplarpind/conns"
	"poplarpin.dev/poplarpind/every"
	"poplarpin.dev/poplarpind/logging"
)

const (
	gcPercent        = 100             // GOGC: heap growth between two garbage collections
	settingsInterval = 2 * time.Second // the settings file is read this often, within the 3 s for which a VM may use outdated seeds
	memoryLimitShare = 0.6             // the soft limit of the Go runtime is this part of the VM's memory, beyond which garbage is collected more often
)

// Main runs an entry VM on the platform until SIGTERM or SIGINT.
func Main(path, build string, log *zap.Logger) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	log = log.With(zap.String("vm", settings.VM))
	debug.SetGCPercent(gcPercent)
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitShare))
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	gateway := New(settings, build, log)
	bodies := platform.NewBodies(memoryBudget(settings.MemoryBytes))
	clients := &http.Server{Handler: platform.NewIngress(gateway, bodies), ErrorLog: logging.OfServer(log), ConnContext: withClientConn}
	states := conns.Watch(clients)
	ready := &http.Server{Handler: platform.NewReadiness(gateway), ReadTimeout: readTimeout, ErrorLog: logging.OfServer(log)}
	if err := gateway.Start(ctx); err != nil {
		return err
	}
	if _, err := gateway.serve(settings.ReadyAddress, ready, gateway.guards.ready); err != nil {
		return err
	}
	listener, err := gateway.serve(settings.CallerAddress, clients, gateway.guards.clients)
	if err != nil {
		return err
	}
	log.Info("entry VM serving", zap.String("build", build), zap.String("domain", settings.FailureDomain), zap.Float64("cores", settings.Cores), zap.String("store", settings.StoreAddress),
		zap.Strings("seeds", settings.Seeds))
	go gateway.WatchSettings(ctx, path)
	gateway.handleSignals(path)
	gateway.shutdown(listener, states, bodies)
	return nil
}

// Start listens for peers, with HTTP on the peer address and for links on the mesh address, and starts the background loops, which
// run until the context ends.
func (gateway *Gateway) Start(ctx context.Context) error {
	peers := &http.Server{Handler: gateway.peerHandler(), ReadTimeout: readTimeout, ErrorLog: logging.OfServer(gateway.log)}
	if _, err := gateway.serve(gateway.settings.PeerAddress, peers, gateway.guards.peers); err != nil {
		return err
	}
	links, err := net.Listen("tcp", gateway.settings.MeshAddress())
	if err != nil {
		return err
	}
	go gateway.mesh.Serve(gateway.guards.links.Wrap(links))
	go gateway.guards.run(ctx)
	go gateway.run(ctx)
	go func() {
		<-ctx.Done()
		gateway.mesh.Close()
		_ = links.Close()
		_ = peers.Close() // the process is ending
	}()
	return nil
}

// peerHandler serves metrics, dumps and this VM's state, which VMs read while they start, on the peer address.
func (gateway *Gateway) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	mux.HandleFunc("GET "+statePath, gateway.serveState)
	mux.HandleFunc("GET /debug/dump", func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(writer).Encode(gateway.Dump()); err != nil {
			gateway.log.Info("writing dump failed", zap.Error(err))
		}
	})
	return mux
}

// handleSignals returns on SIGTERM or SIGINT; it reloads the settings on SIGHUP and logs a dump on SIGUSR1.
func (gateway *Gateway) handleSignals(path string) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	for received := range signals {
		switch received {
		case syscall.SIGHUP:
			gateway.reload(path)
		case syscall.SIGUSR1:
			dump, err := json.Marshal(gateway.Dump())
			gateway.log.Info("entry VM state dumped", zap.ByteString("state", dump), zap.Error(err))
		default:
			return
		}
	}
}

// WatchSettings polls the settings file and applies its changes until the context ends.
func (gateway *Gateway) WatchSettings(ctx context.Context, path string) {
	var applied []byte // empty, so that the first poll picks up a change since startup
	every.Run(ctx, settingsInterval, func() {
		data, err := os.ReadFile(path)
		if err != nil || bytes.Equal(data, applied) {
			return // unreadable while it is being replaced, so the next poll reads it
		}
		applied = data
		gateway.applySettings(data)
	})
}

// reload reads the settings file and applies its changes.
func (gateway *Gateway) reload(path string) {
	data, err := os.ReadFile(path)
	if err != nil {
		gateway.log.Warn("reloading settings failed; keeping the current ones", zap.Error(err))
		return
	}
	gateway.applySettings(data)
}

// applySettings applies the settings that may change in a running process: the seeds and the store's address.
func (gateway *Gateway) applySettings(data []byte) {
	settings, err := platform.ParseSettings(data)
	if err != nil {
		gateway.log.Warn("reloading settings failed; keeping the current ones", zap.Error(err))
		return
	}
	if settings.StoreAddress == gateway.storeAddress() && slices.Equal(settings.Seeds, gateway.seeds()) {
		return
	}
	gateway.log.Info("settings reloaded", zap.Strings("seeds", settings.Seeds), zap.String("store", settings.StoreAddress),
		zap.Bool("storeAddressChanged", settings.StoreAddress != gateway.storeAddress()))
	moved := settings.StoreAddress != gateway.storeAddress()
	gateway.currentStoreAddress.Store(&settings.StoreAddress)
	gateway.currentSeeds.Store(&settings.Seeds)
	if moved { // the old address may not answer any more
		gateway.mu.Lock()
		defer gateway.mu.Unlock()
		gateway.restartReads(platform.ConfigKind, platform.TargetsKind, platform.EvacuationsKind)
	}
}
