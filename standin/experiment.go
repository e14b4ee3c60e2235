package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"basilcross.example/standin/experiment"
	"github.com/spf13/cobra"
)

const usageExperiment = `Simulate loads with the product's slot scheduler, in virtual time.

Each load is a file; standin/experiment/loads has examples. For each level of a load, the
table shows the results of each kind of request with the product's scheduler (schedule), with
an oracle that sees all future requests and their work (bound), or only the mean and spread
of the work of their kinds (kindsBound), and without a scheduler (arrivalOrder). --plot writes
an SVG file for each load. With --fleet, each file is the load of a fleet in several zones, which
is simulated with its features (features) and without them (fleet).

Examples:
  go run ./standin experiment standin/experiment/loads/mixed-divided.json
  go run ./standin experiment --fleet standin/experiment/loads/fleets/30.json
  go run ./standin experiment --seed 7 --plot plots standin/experiment/loads/*.json`

func experimentCommand() *cobra.Command {
	var seed uint64
	var plots string
	var fleet bool
	c := &cobra.Command{
		Use: "experiment LOAD...", Short: "Simulate loads with the slot scheduler",
		Long: usageExperiment, Args: cobra.MinimumNArgs(1),
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the random load")
	c.Flags().StringVar(&plots, "plot", "", "folder for an SVG file of each load")
	c.Flags().BoolVar(&fleet, "fleet", false, "the loads are of fleets in several zones")
	c.RunE = func(c *cobra.Command, files []string) error {
		for _, file := range files {
			run := runExperiment
			if fleet {
				run = runFleet
			}
			if err := run(c, file, seed, plots); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

func runFleet(c *cobra.Command, file string, seed uint64, _ string) error {
	f, err := experiment.ReadFleet(file)
	if err != nil {
		return err
	}
	var reports []*experiment.Report
	for _, level := range f.Levels {
		reports = append(reports, &f.WithoutFeatures().Simulate(level, seed).Report, &f.Simulate(level, seed).Report)
	}
	fmt.Fprintln(c.OutOrStdout(), f.Name)
	experiment.WriteText(c.OutOrStdout(), reports)
	return nil
}

func runExperiment(c *cobra.Command, file string, seed uint64, plots string) error {
	l, err := experiment.Read(file)
	if err != nil {
		return err
	}
	var reports []*experiment.Report
	for _, level := range l.Levels {
		reports = append(reports, l.Simulate(level, seed), l.Bound(level, seed), l.KindsBound(level, seed), l.ArrivalOrder(level, seed))
	}
	fmt.Fprintln(c.OutOrStdout(), l.Name)
	experiment.WriteText(c.OutOrStdout(), reports)
	if plots == "" {
		return nil
	}
	if err := os.MkdirAll(plots, 0o755); err != nil {
		return err
	}
	name := strings.TrimSuffix(filepath.Base(file), filepath.Ext(file)) + ".svg"
	return experiment.WritePlot(filepath.Join(plots, name), l.Name, reports)
}
