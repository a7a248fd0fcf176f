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

// cli is the command line.
type cli struct {
	Settings string `arg:"" type:"existingfile" help:"YAML settings that say what to stand in for."`
}

func main() {
	var cli cli
	context := kong.Parse(&cli, kong.Name("standin"), kong.Description("Stands in for the platform and for targets."))
	log := zap.Must(zap.NewProduction())
	context.FatalIfErrorf(run(cli.Settings, log))
}

func run(path string, log *zap.Logger) error {
	settings, err := settings.Load(path)
	if err != nil {
		return err
	}
	var standin *platform.Platform
	if settings.Platform != "" {
		standin = platform.New(settings.VMs, settings.Seed)
		if err := serve(settings.Platform, standin); err != nil {
			return err
		}
	}
	targets := map[string]*target.Target{}
	for _, declared := range settings.Targets {
		targets[declared.Name] = target.New(declared, settings.Seed)
		if err := targets[declared.Name].Listen(); err != nil {
			return err
		}
	}
	if err := serve(settings.Admin, admin.New(standin, targets)); err != nil {
		return err
	}
	log.Info("standing in", zap.String("platform", settings.Platform), zap.Int("targets", len(targets)))
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
