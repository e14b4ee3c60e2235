package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"basilcross.example/gateway/instance"
	"basilcross.example/gateway/logsink"
	"github.com/spf13/cobra"
)

const usageServe = `Start a gateway on the users' platform.

Settings come from flags, from environment variables (--callers-listen is
BASILCROSS_CALLERS_LISTEN), and from a file with lines NAME=value of the same
names, in this order.

Examples:
  basilcross-gateway serve --settings /etc/basilcross/settings.conf
  basilcross-gateway serve --instance gw-1 --store 10.0.0.1:7000 \
      --callers-listen 10.0.1.1:8080 --ready-listen 10.0.1.1:8083`

// Memory and collector settings: an instance has 284 MB and a third of a core,
// and its live heap is a few megabytes, so the collector may let it grow
// several times before it spends processor time.
const (
	collectAt   = 400
	memoryLimit = 160 << 20
)

func serveCommand() *cobra.Command {
	s := instance.Defaults()
	var file string
	c := &cobra.Command{
		Use:   "serve",
		Short: "Start a gateway on the users' platform",
		Long:  usageServe,
		Args:  cobra.NoArgs,
	}
	c.Flags().StringVar(&file, "settings", os.Getenv(instance.EnvPrefix+"SETTINGS"), "file with further settings")
	s.Bind(c.Flags())
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := instance.Load(c.Flags(), file, os.LookupEnv); err != nil {
			return err
		}
		if err := s.Validate(); err != nil {
			return err
		}
		return serve(s)
	}
	return c
}

func serve(s instance.Settings) error {
	debug.SetGCPercent(collectAt)
	debug.SetMemoryLimit(memoryLimit)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Unhandled, this signal would end the process.
	signal.Ignore(syscall.SIGHUP)
	var level slog.Level
	// Validate has checked the level's name.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	sink := logsink.New(os.Stdout)
	log := slog.New(slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})).With("instance", s.Instance)
	return instance.New(s, log, sink).Run(ctx)
}
