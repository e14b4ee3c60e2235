package main

import (
	"context"
	"errors"
	"fmt"
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

Settings come from flags, from environment variables (--callers-listen is
BASILCROSS_CALLERS_LISTEN), and from a file with lines NAME=value of the same
names, in this order.

Examples:
  basilcross-gateway serve --settings /etc/basilcross/settings.conf
  basilcross-gateway serve --instance gw-1 --store 10.0.0.1:7000 \
      --callers-listen 10.0.1.1:8080 --ready-listen 10.0.1.1:8083`

const (
	// gcPercent is the growth of the heap in percent at which it is collected.
	gcPercent = 200
	// memoryLimitShare of the instance's memory is where the collector works harder: the
	// rest is for what is not on the heap, and for data that come at once.
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

// bindSettings adds the flags of all settings, and of the file with further ones.
func bindSettings(c *cobra.Command) (file *string) {
	s := instance.Defaults()
	s.Bind(c.Flags())
	return c.Flags().String("settings", os.Getenv(instance.EnvPrefix+"SETTINGS"), "file with further settings")
}

// readSettings reads all settings anew; flags given stay as they are.
func readSettings(given *pflag.FlagSet, file string) (instance.Settings, error) {
	s := instance.Defaults()
	flags := pflag.NewFlagSet("settings", pflag.ContinueOnError)
	s.Bind(flags)
	var faults []error
	given.Visit(func(f *pflag.Flag) {
		if flags.Lookup(f.Name) != nil {
			// Lists print with brackets and are set without.
			faults = append(faults, flags.Set(f.Name, strings.Trim(f.Value.String(), "[]")))
		}
	})
	faults = append(faults, instance.Load(flags, file, os.LookupEnv))
	if err := errors.Join(faults...); err != nil {
		return s, err
	}
	return s, s.Validate()
}

// instanceMemory returns the bytes of memory that an instance has; 0 if nothing tells.
func instanceMemory(s instance.Settings) int64 {
	if s.MemoryMB > 0 {
		return int64(s.MemoryMB) << 20
	}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	var kilobytes int64
	if _, err := fmt.Sscanf(string(text), "MemTotal: %d kB", &kilobytes); err != nil {
		return 0
	}
	return kilobytes << 10
}

func serve(s instance.Settings) error {
	debug.SetGCPercent(gcPercent)
	if memory := instanceMemory(s); memory > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(memory)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// The reloader takes this signal; until it runs, it must not end the process.
	early := make(chan os.Signal, 1)
	signal.Notify(early, syscall.SIGHUP)
	defer signal.Stop(early)
	var level slog.Level
	// Validate has checked the level's name.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	sink := logsink.New(os.Stdout)
	lines := slog.NewJSONHandler(sink, &slog.HandlerOptions{Level: level})
	log := slog.New(&lograte.Handler{Next: lines}).With("instance", s.Instance)
	return instance.New(s, log, sink).Run(ctx)
}
