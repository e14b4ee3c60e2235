// Command basilcross-gateway is the daemon that stands between callers and
// targets.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"basilcross.example/gateway/daemon"
	"basilcross.example/gateway/settings"
	"github.com/spf13/cobra"
)

const usageRun = `Start a gateway.

Every flag can also be set by an environment variable: --callers-listen is
BASILCROSS_CALLERS_LISTEN. Flags go before the environment.

Without --platform the gateway keeps its table in memory, which is good for a
trial with one instance only.

Examples:
  basilcross-gateway --target menus/t1=127.0.0.1:9001
  basilcross-gateway --instance gw-graz-1 --zone graz --region ost \
      --platform http://10.0.0.1:7000 --control-listen 10.0.1.1:8081`

func main() {
	if err := command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "basilcross-gateway:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	s := settings.Defaults()
	c := &cobra.Command{
		Use:           "basilcross-gateway",
		Short:         "Route requests to servers that own keys exclusively",
		Long:          usageRun,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	s.Bind(c.Flags())
	c.AddCommand(serveCommand(), checkSettingsCommand())
	c.RunE = func(c *cobra.Command, _ []string) error {
		if err := settings.ApplyEnvironment(c.Flags(), os.LookupEnv); err != nil {
			return err
		}
		if err := s.Validate(); err != nil {
			return err
		}
		return run(s)
	}
	return c
}

func run(s settings.Settings) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	d, err := daemon.New(s, logger(s))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func logger(s settings.Settings) *slog.Logger {
	var level slog.Level
	// Validate has checked the level's name.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	options := &slog.HandlerOptions{Level: level}
	if s.LogFormat == "text" {
		return slog.New(slog.NewTextHandler(os.Stderr, options)).With("instance", s.Instance)
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, options)).With("instance", s.Instance)
}
