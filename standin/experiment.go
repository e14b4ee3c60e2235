package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"basilcross.example/standin/experiment"
	"github.com/spf13/cobra"
)

const usageExperiment = `Play loads against the product's decisions about slots, in virtual time.

Each load is a file; standin/experiment/loads has some. For each of its levels the
table shows what became of each kind of request by the product's schedule, by a queue
that knows all work and all that is to come (bound), and without any decision
(arrivalOrder). --plot writes a picture for each load.

Examples:
  go run ./standin experiment standin/experiment/loads/mixed-divided.json
  go run ./standin experiment --seed 7 --plot plots standin/experiment/loads/*.json`

func experimentCommand() *cobra.Command {
	var seed uint64
	var plots string
	c := &cobra.Command{
		Use: "experiment LOAD...", Short: "Play loads against the decisions about slots",
		Long: usageExperiment, Args: cobra.MinimumNArgs(1),
	}
	c.Flags().Uint64Var(&seed, "seed", 1, "what is drawn by chance")
	c.Flags().StringVar(&plots, "plot", "", "folder for a picture of each load")
	c.RunE = func(c *cobra.Command, files []string) error {
		for _, file := range files {
			if err := runExperiment(c, file, seed, plots); err != nil {
				return err
			}
		}
		return nil
	}
	return c
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
