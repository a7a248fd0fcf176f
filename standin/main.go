package main

import (
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"poplarpin.dev/standin/admin"
	"poplarpin.dev/standin/platform"
	"poplarpin.dev/standin/settings"
	"poplarpin.dev/standin/target"
)

// cli declares the command line.
type cli struct {
	Settings string `arg:"" type:"existingfile" help:"YAML settings that say what to stand in for."`
}

func main() {
	var cli cli
	context := kong.Parse(&cli, kong.Name("standin"), kong.Description("Simulates the platform and targets."))
	log := zap.Must(zap.NewProduction())
	context.FatalIfErrorf(run(cli.Settings, log))
}

// run starts the simulated platform and targets and blocks until SIGTERM or SIGINT.
func run(path string, log *zap.Logger) error {
	settings, err := settings.Load(path)
	if err != nil {
		return err
	}
	var simulatedPlatform *platform.Platform
	if settings.Platform != "" {
		simulatedPlatform = platform.New(settings.VMs, settings.Seed)
		if err := serve(settings.Platform, simulatedPlatform); err != nil {
			return err
		}
	}
	targets := map[string]*target.Target{}
	for _, targetSettings := range settings.Targets {
		targets[targetSettings.Name] = target.New(targetSettings, settings.Seed)
		if err := targets[targetSettings.Name].Listen(); err != nil {
			return err
		}
	}
	if err := serve(settings.Admin, admin.New(simulatedPlatform, targets)); err != nil {
		return err
	}
	log.Info("simulation started", zap.String("platform", settings.Platform), zap.Int("targets", len(targets)))
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return nil
}
