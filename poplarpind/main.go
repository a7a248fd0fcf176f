package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"poplarpin.dev/platform"
	"poplarpin.dev/poplarpind/caller"
	"poplarpin.dev/poplarpind/certificate"
	"poplarpin.dev/poplarpind/conns"
	"poplarpin.dev/poplarpind/entry"
	"poplarpin.dev/poplarpind/gateway"
	"poplarpin.dev/poplarpind/logging"
	"poplarpin.dev/poplarpind/operator"
	"poplarpin.dev/poplarpind/settings"
)

const gcPercent = 400 // heap growth in percent between two garbage collections

// version is set at build time.
var version = "unset"

// cli defines the command line.
type cli struct {
	Settings string           `arg:"" optional:"" type:"path" help:"YAML settings of this VM; left out on the users' platform, which names its own file."`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var cli cli
	kongContext := kong.Parse(&cli, kong.Name("poplarpind"), kong.Vars{"version": version},
		kong.Description("Query tier server for an entry VM."))
	if cli.Settings == "" {
		kongContext.FatalIfErrorf(runOnPlatform(cli.Check))
		return
	}
	settings, err := settings.Load(cli.Settings)
	kongContext.FatalIfErrorf(err)
	if cli.Check {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(float64(settings.MemoryBytes) * memoryLimitShare))
	log, err := newLogger(settings.Log)
	kongContext.FatalIfErrorf(err)
	kongContext.FatalIfErrorf(run(settings, log))
}

// build returns the version of the program: the one set when it was built, or the commit that it was built from.
func build() string {
	info, ok := debug.ReadBuildInfo()
	if version != "unset" || !ok {
		return version
	}
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return version
}

// runOnPlatform runs the gateway on a VM of the users' platform, or only checks its settings.
func runOnPlatform(check bool) error {
	path := platform.SettingsPath()
	if path == "" {
		return errors.New("settings: no YAML file given, and the platform's environment names none")
	}
	if check {
		_, err := platform.LoadSettings(path)
		return err
	}
	sink := logging.NewSink(os.Stdout)
	log, err := logging.New("info", sink)
	if err != nil {
		return err
	}
	err = gateway.Main(path, build(), log)
	if err != nil {
		log.Error("gateway failed", zap.Error(err))
	}
	if closeErr := sink.Close(); err == nil {
		err = closeErr
	}
	return err
}

func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, errors.Annotate(err, "log")
	}
	return config.Build()
}

// run serves until a signal requests a planned stop and the stop is complete.
func run(settings settings.Settings, log *zap.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	certificates, err := certificate.New(settings.TLS)
	if err != nil {
		return err
	}
	vm := entry.New(settings, log, certificates.Client())
	links := newGuard(linksListener, settings, certificates.Mutual(), log)
	peers, err := listen(settings.PeerAddress, certificates.Mutual(), links)
	if err != nil {
		return err
	}
	go vm.Mesh().Serve(peers)
	go vm.Run(ctx)
	newServer := func(share listenerShare, address string, handler http.Handler, config *tls.Config) *server {
		return &server{Server: &http.Server{Addr: address, Handler: handler, TLSConfig: config, ErrorLog: logging.OfServer(log)},
			guard: newGuard(share, settings, config, log)}
	}
	servers := []*server{
		newServer(operatorsListener, settings.OperatorAddress, operator.New(vm, settings.Operators, log), certificates.Mutual()),
		newServer(callersListener, settings.CallerAddress, caller.New(vm), callerTLS(certificates, settings)),
	}
	for _, server := range servers {
		if err := server.start(); err != nil {
			return err
		}
	}
	go conns.Run(ctx, links, servers[0].guard, servers[1].guard)
	log.Info("entry VM serving", zap.String("version", version), zap.String("vm", settings.Name), zap.String("domain", settings.FailureDomain))
	waitForSignal(vm, log)
	return shutdown(vm, servers, settings.DrainWait.Std(), cancel)
}

// waitForSignal logs a dump of the state at each SIGUSR1 and returns at the first SIGTERM or SIGINT.
func waitForSignal(vm *entry.VM, log *zap.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	for received := range signals {
		if received != syscall.SIGUSR1 {
			return
		}
		dump, err := json.Marshal(vm.Dump())
		log.Info("entry VM state dumped", zap.ByteString("state", dump), zap.Error(err))
	}
}

// shutdown finishes requests in flight, closes the servers, announces to the peers that the VM leaves and finishes its writes to the platform.
func shutdown(vm *entry.VM, servers []*server, drainWait time.Duration, cancel context.CancelFunc) error {
	ctx, cancelTimeout := context.WithTimeout(context.Background(), entry.StopTimeout(drainWait))
	defer cancelTimeout()
	vm.Stop(ctx)
	var drains errgroup.Group // all at once, so that a long call of an operator does not keep the VM open for callers
	for _, server := range servers {
		drains.Go(func() error { return server.states.Drain(ctx, server.listener) })
	}
	if err := drains.Wait(); err != nil {
		return errors.Annotate(err, "stop")
	}
	cancel()
	vm.Leave(ctx)
	return nil
}
