package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"basilcross.example/gateway/instance"
	"basilcross.example/gateway/lograte"
	"basilcross.example/gateway/logsink"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const usageServe = `Start a gateway on the users' platform.

Settings are read from flags, from environment variables (--callers-listen is
BASILCROSS_CALLERS_LISTEN), and from a file with lines NAME=value of the same
names, in this order of precedence.

Examples:
  basilcross-gateway serve --settings /etc/basilcross/settings.conf
  basilcross-gateway serve --instance gw-1 --store 10.0.0.1:7000 \
      --callers-listen 10.0.1.1:8080 --ready-listen 10.0.1.1:8083`

const (
	// gcPercent is the heap growth, in percent, that starts a garbage collection.
	gcPercent = 200
	// memoryLimitShare is the runtime's soft memory limit as a share of the instance's
	// memory; close to it, the garbage collector runs more often. The rest is reserved
	// for memory outside the heap and for bursts of data.
	memoryLimitShare = 0.55
)

func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve",
		Short: "Start a gateway on the users' platform",
		Long:  usageServe,
		Args:  cobra.NoArgs,
	}
	file := bindSettings(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		read := func() (instance.Settings, error) { return readSettings(c.Flags(), *file) }
		s, err := read()
		if err != nil {
			return err
		}
		s.File, s.Reload = *file, read
		return serve(s)
	}
	return c
}

// bindSettings adds the flags of all settings, and that of the settings file, whose value
// it returns.
func bindSettings(c *cobra.Command) (file *string) {
	s := instance.Defaults()
	s.Bind(c.Flags())
	return c.Flags().String("settings", os.Getenv(instance.EnvPrefix+"SETTINGS"), "file with further settings")
}

// readSettings reads all settings from their sources; given are the command's flags, of
// which those set on the command line take precedence.
func readSettings(given *pflag.FlagSet, file string) (instance.Settings, error) {
	s := instance.Defaults()
	flags := pflag.NewFlagSet("settings", pflag.ContinueOnError)
	s.Bind(flags)
	var errs []error
	given.Visit(func(f *pflag.Flag) {
		if flags.Lookup(f.Name) != nil {
			// The value of a list is printed with brackets and set without.
			errs = append(errs, flags.Set(f.Name, strings.Trim(f.Value.String(), "[]")))
		}
	})
	errs = append(errs, instance.Load(flags, file, os.LookupEnv))
	if err := errors.Join(errs...); err != nil {
		return s, err
	}
	return s, s.Validate()
}

func serve(s instance.Settings) error {
	debug.SetGCPercent(gcPercent)
	if memory := s.MemoryBytes(); memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// SIGHUP is handled by the reloader. Before that has started, the signal must not
	// terminate the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	var level slog.Level
	// Validate has already checked the level's name.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	sink := logsink.New(os.Stdout)
	lines := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})
	log := slog.New(&lograte.Handler{Next: lines}).With("instance", s.Instance)
	return instance.New(s, log, sink).Run(ctx)
}
