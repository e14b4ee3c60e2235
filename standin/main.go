// Command basilcross-standin tests real gateways with a simulated platform, targets and callers.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"basilcross.example/standin/demo"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/scenario"
	"github.com/spf13/cobra"
)

const usageDemo = `Run a whole deployment on this machine with load and faults, and check the results.

Examples:
  go run ./standin demo
  go run ./standin demo --deployment swanfold --seconds 60
  go run ./standin demo --scenario scenarios/zone-loss.json --report report.json`

// errExpectationsUnmet makes the command exit with status 1 if an expectation does not hold.
var errExpectationsUnmet = errors.New("an expectation does not hold")

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "basilcross-standin:", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "basilcross-standin", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(demoCommand(), namesCommand(), experimentCommand(), fleetStartCommand(), soakCommand())
	return root.ExecuteContext(ctx)
}

func demoCommand() *cobra.Command {
	var name, file, reportFile string
	var seconds int
	c := &cobra.Command{Use: "demo", Short: "Run a deployment with load and faults", Long: usageDemo, Args: cobra.NoArgs}
	c.Flags().StringVar(&name, "deployment", "tortenprobe", "tortenprobe or swanfold")
	c.Flags().StringVar(&file, "scenario", "", "scenario file; if empty, one fault of each common type")
	c.Flags().StringVar(&reportFile, "report", "", "file to write the report to, as JSON")
	c.Flags().IntVar(&seconds, "seconds", 30, "duration of the run without a scenario file, in seconds")
	c.RunE = func(c *cobra.Command, _ []string) error {
		s, err := loadScenario(name, file, seconds)
		if err != nil {
			return err
		}
		r, err := demo.Run(c.Context(), s, c.OutOrStdout())
		if err != nil {
			return err
		}
		r.WriteText(c.OutOrStdout())
		if err := writeReport(r, reportFile); err != nil {
			return err
		}
		if len(r.Unmet) > 0 {
			return errExpectationsUnmet
		}
		return nil
	}
	return c
}

func loadScenario(name, file string, seconds int) (*scenario.Scenario, error) {
	if file != "" {
		content, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		return scenario.Parse(content)
	}
	d, err := deployment.Find(name)
	if err != nil {
		return nil, err
	}
	s := scenario.Default(d, seconds)
	return s, s.Validate()
}

func writeReport(r *demo.Report, file string) error {
	if file == "" {
		return nil
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errors.Join(r.WriteJSON(f), f.Close())
}

func namesCommand() *cobra.Command {
	var name string
	c := &cobra.Command{Use: "names", Short: "List the names that a scenario may use", Args: cobra.NoArgs}
	c.Flags().StringVar(&name, "deployment", "tortenprobe", "tortenprobe or swanfold")
	c.RunE = func(c *cobra.Command, _ []string) error {
		d, err := deployment.Find(name)
		if err != nil {
			return err
		}
		for _, n := range d.Names() {
			fmt.Fprintln(c.OutOrStdout(), n)
		}
		return nil
	}
	return c
}
