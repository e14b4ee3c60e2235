package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"basilcross.example/standin/demo"
	"basilcross.example/standin/deployment"
	"basilcross.example/standin/scenario"
	"github.com/spf13/cobra"
)

const usageSoak = `Run a deployment with random faults, one run per seed, and check the results of each.

A run fails if it finds a violation, or if too few requests are answered at its end. Its
scenario, report and the gateways' logs are kept.

Examples:
  go run ./standin soak --seeds 1-50 --seconds 20
  go run ./standin demo --scenario FOLDER/scenario.json`

// seedRange is the value of the flag --seeds: the seeds from first to last.
type seedRange struct{ first, last uint64 }

func (r *seedRange) String() string { return fmt.Sprintf("%d-%d", r.first, r.last) }

// Type returns the name of the type for the help text.
func (*seedRange) Type() string { return "seeds" }

// Set parses N or N-M.
func (r *seedRange) Set(text string) error {
	first, last, isRange := strings.Cut(text, "-")
	if !isRange {
		last = first
	}
	var err error
	if r.first, err = strconv.ParseUint(first, 10, 32); err != nil {
		return fmt.Errorf("want N or N-M: %w", err)
	}
	if r.last, err = strconv.ParseUint(last, 10, 32); err != nil {
		return fmt.Errorf("want N or N-M: %w", err)
	}
	if r.last < r.first {
		return fmt.Errorf("want N or N-M with N <= M")
	}
	return nil
}

func soakCommand() *cobra.Command {
	seeds := seedRange{1, 10}
	var name string
	var seconds int
	c := &cobra.Command{Use: "soak", Short: "Run a deployment with random faults", Long: usageSoak, Args: cobra.NoArgs}
	c.Flags().Var(&seeds, "seeds", "seeds to run, N or N-M")
	c.Flags().StringVar(&name, "deployment", "tortenprobe", "tortenprobe or swanfold")
	c.Flags().IntVar(&seconds, "seconds", 20, "duration of a run, in seconds")
	c.RunE = func(c *cobra.Command, _ []string) error {
		d, err := deployment.Find(name)
		if err != nil {
			return err
		}
		var failed []string
		for seed := seeds.first; seed <= seeds.last; seed++ {
			met, err := runSeed(c.Context(), d, seed, seconds, c.OutOrStdout())
			if err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			if !met {
				failed = append(failed, strconv.FormatUint(seed, 10))
			}
		}
		if len(failed) > 0 {
			return fmt.Errorf("%w: seeds %s", errExpectationsUnmet, strings.Join(failed, ", "))
		}
		return nil
	}
	return c
}

// runSeed runs the scenario of one seed and reports whether all expectations were met; if so,
// it removes the folder of the run.
func runSeed(ctx context.Context, d deployment.Deployment, seed uint64, seconds int, out io.Writer) (met bool, err error) {
	s := scenario.Random(d, seed, seconds)
	if err := s.Validate(); err != nil {
		return false, err
	}
	r, err := demo.Run(ctx, s, io.Discard)
	if err != nil {
		return false, err
	}
	fmt.Fprintf(out, "seed %3d: %2d faults, %d requests, %d answered, %d unknown, %.0f%% answered at the end, violations %d\n",
		seed, len(s.Faults), r.Requests.Sent, r.Requests.Answered, r.Requests.Unknown, r.EndAnsweredPercent, r.Violations.Total())
	if len(r.Unmet) == 0 {
		return true, os.RemoveAll(r.Logs)
	}
	for _, u := range r.Unmet {
		fmt.Fprintln(out, "  NOT MET:", u)
	}
	fmt.Fprintln(out, "  kept in", r.Logs)
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return false, err
	}
	if err := os.WriteFile(filepath.Join(r.Logs, "scenario.json"), text, 0o600); err != nil {
		return false, err
	}
	return false, writeReport(r, filepath.Join(r.Logs, "report.json"))
}
