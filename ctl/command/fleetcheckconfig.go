package command

import (
	"fmt"
	"io"
	"os"
	"time"

	"basilcross.example/basilcross/configcheck"
	"basilcross.example/basilcross/routing"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleetCheckConfig = `Check a configuration in the operator's format before it is sent to the platform.

Errors are about fields that cannot be read, routes that no request matches, and limits that
contradict one another; all are listed, with the field's path. Remarks are about what is
permitted, and may be meant. With --in-force, the changes from that version are listed, and a
version that is not newer is an error. Nothing is sent, and the store is not read.

The exit code is 1 if there are errors, and 0 if there are only remarks.

Examples:
  basilcross fleet check-config next.json
  basilcross fleet check-config next.json --in-force now.json
  basilcross fleet check-config next.json --caller-limit 8s --memory-mb 184 --output json`

// heldShare is the part of an instance's memory that bodies may take.
const heldShare = 4

// checkedConfig is the result of fleet check-config.
type checkedConfig struct {
	// Version and InForce are 0 if the version can't be read, or no file was named.
	Version uint64 `json:"version"`
	InForce uint64 `json:"inForce,omitempty"`
	configcheck.Report
	Changes []configcheck.Change `json:"changes"`
}

func fleetCheckConfigCommand(s *session) *cobra.Command {
	var inForce string
	var memoryMB int64
	o := configcheck.Options{Names: platform.ConfigFieldNames()}
	c := &cobra.Command{
		Use: "check-config FILE", Short: "Check a configuration before it is sent", Long: usageFleetCheckConfig, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			o.HeldBytes = memoryMB << 20 / heldShare
			checked, err := checkConfigFiles(args[0], inForce, o)
			if err != nil {
				return err
			}
			err = s.print(c.OutOrStdout(), checked, func(w io.Writer) { printCheckedConfig(w, checked, inForce != "") })
			if err == nil && len(checked.Errors) > 0 {
				err = &ExitError{Code: ExitUsage, Cause: fmt.Errorf("check configuration %q: errors: %d", args[0], len(checked.Errors))}
			}
			return err
		},
	}
	c.Flags().StringVar(&inForce, "in-force", "", "file with the configuration that is in force")
	c.Flags().DurationVar(&o.CallerLimit, "caller-limit", 30*time.Second, "how long callers wait at most; 0: not known")
	c.Flags().Int64Var(&memoryMB, "memory-mb", 0, "memory of the smallest instance, if the feature bodyBudget is on")
	return c
}

// checkConfigFiles checks the configuration of a file, and compares it with that of another one if that is named.
func checkConfigFiles(file, inForce string, o configcheck.Options) (*checkedConfig, error) {
	checked := &checkedConfig{Report: configcheck.Report{Errors: []configcheck.Finding{}, Remarks: []configcheck.Finding{}}, Changes: []configcheck.Change{}}
	text, err := os.ReadFile(file) //nolint:gosec // named by the operator
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Cause: err}
	}
	errs, unknown := platform.CheckConfigFields(text)
	for _, e := range errs {
		checked.Errors = append(checked.Errors, configcheck.Finding{Path: e.Field, Text: "want " + e.Want})
	}
	for _, path := range unknown {
		checked.Remarks = append(checked.Remarks, configcheck.Finding{Path: path, Text: "it is not a known field, and has no effect"})
	}
	config, err := platform.ParseConfig(text)
	if err != nil {
		if len(errs) == 0 {
			checked.Errors = append(checked.Errors, configcheck.Finding{Path: "document", Text: err.Error()})
		}
		return checked, nil
	}
	report := configcheck.Check(config, o)
	checked.Version = config.Version
	checked.Errors, checked.Remarks = append(checked.Errors, report.Errors...), append(checked.Remarks, report.Remarks...)
	if inForce == "" {
		return checked, nil
	}
	old, err := readConfigFile(inForce)
	if err != nil {
		return nil, err
	}
	checked.InForce = old.Version
	checked.Errors = append(checked.Errors, configcheck.CheckVersion(old, config, o.Names)...)
	checked.Changes = append(checked.Changes, configcheck.Diff(old, config, o.Names)...)
	return checked, nil
}

func readConfigFile(file string) (*routing.Config, error) {
	text, err := os.ReadFile(file) //nolint:gosec // named by the operator
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Cause: err}
	}
	config, err := platform.ParseConfig(text)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("read the configuration in force from %q: %w", file, err)}
	}
	return config, nil
}

func printCheckedConfig(w io.Writer, checked *checkedConfig, compared bool) {
	fmt.Fprintf(w, "errors: %d\n", len(checked.Errors))
	printFindings(w, checked.Errors)
	fmt.Fprintf(w, "remarks: %d\n", len(checked.Remarks))
	printFindings(w, checked.Remarks)
	if !compared || checked.InForce == 0 {
		return
	}
	fmt.Fprintf(w, "changes from version %d: %d\n", checked.InForce, len(checked.Changes))
	for _, c := range checked.Changes {
		switch {
		case c.Field != "":
			fmt.Fprintf(w, "  %s\t%s\t%s -> %s\n", c.Entry, c.Field, c.Before, c.After)
		case c.After == "":
			fmt.Fprintf(w, "  %s\tremoved\t%s\n", c.Entry, c.Before)
		default:
			fmt.Fprintf(w, "  %s\tadded\t%s\n", c.Entry, c.After)
		}
	}
}

func printFindings(w io.Writer, list []configcheck.Finding) {
	for _, f := range list {
		fmt.Fprintf(w, "  %s\t%s\t%s\n", f.Path, f.Entry, f.Text)
	}
}
