package main

import (
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

const usageCheckSettings = `Read the settings as serve does, and print the values in force or all errors.

Nothing is started and no connection is opened. The exit status is 1 if a setting
is invalid.

Examples:
  basilcross-gateway check-settings --settings /etc/basilcross/settings.conf
  BASILCROSS_STORE=10.0.0.1 basilcross-gateway check-settings
      basilcross-gateway: --store = "10.0.0.1": want host:port`

func checkSettingsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "check-settings",
		Short: "Check the settings of serve",
		Long:  usageCheckSettings,
		Args:  cobra.NoArgs,
	}
	file := bindSettings(c)
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := readSettings(c.Flags(), *file)
		if err != nil {
			return err
		}
		flags := pflag.NewFlagSet("settings", pflag.ContinueOnError)
		s.Bind(flags)
		flags.VisitAll(func(f *pflag.Flag) {
			fmt.Fprintf(c.OutOrStdout(), "%s=%s\n", f.Name, f.DefValue)
		})
		return nil
	}
	return c
}
