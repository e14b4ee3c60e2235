// Package command defines the subcommands of the operators' command line.
package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"

	"basilcross.example/ctl/client"
	"github.com/spf13/cobra"
)

// Exit codes, as listed in the root command's help text.
const (
	ExitUsage       = 1
	ExitUnreachable = 2
	ExitConflict    = 3
	ExitInvalid     = 4
	ExitNotFound    = 5
	ExitTimeout     = 6
)

// ExitError wraps an error with the exit code that the process returns for it.
type ExitError struct {
	Code  int
	Cause error
}

func (e *ExitError) Error() string { return e.Cause.Error() }

func (e *ExitError) Unwrap() error { return e.Cause }

// withExitCode adds the exit code for a client error; without an HTTP status it is ExitUnreachable.
func withExitCode(err error) error {
	if err == nil {
		return nil
	}
	var status *client.StatusError
	if !errors.As(err, &status) {
		return &ExitError{Code: ExitUnreachable, Cause: err}
	}
	switch status.StatusCode {
	case http.StatusConflict:
		return &ExitError{Code: ExitConflict, Cause: err}
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return &ExitError{Code: ExitInvalid, Cause: err}
	case http.StatusNotFound:
		return &ExitError{Code: ExitNotFound, Cause: err}
	default:
		return &ExitError{Code: ExitUnreachable, Cause: err}
	}
}

const usageRoot = `Operate a basilcross fleet: show its state and change its configuration.

Commands call the admin address of one gateway, set by --server or
BASILCROSS_SERVER. Any gateway will do, since all of them hold the same data.
On the users' platform, the "fleet" commands read the platform's store instead.

Exit codes: 0 success, 1 usage error, 2 unreachable or currently not possible,
3 conflict with another operator's change, 4 invalid data, 5 not found, 6 timeout.`

// session holds the gateway client and the output format that all subcommands use.
type session struct {
	client client.Client
	output string
}

// New returns the root command with all subcommands.
func New() *cobra.Command {
	s := &session{}
	root := &cobra.Command{
		Use:           "basilcross",
		Short:         "Operate a basilcross fleet",
		Long:          usageRoot,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	server := os.Getenv("BASILCROSS_SERVER")
	if server == "" {
		server = "http://127.0.0.1:8082"
	}
	root.PersistentFlags().StringVar(&s.client.Server, "server", server, "URL of a gateway's admin address")
	root.PersistentFlags().StringVar(&s.output, "output", "table", "output format: table or json")
	tokenFile := os.Getenv("BASILCROSS_TOKEN_FILE")
	root.PersistentFlags().StringVar(&tokenFile, "token-file", tokenFile, "file with the bearer token, if the gateway requires one")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if tokenFile != "" {
			content, err := os.ReadFile(tokenFile) //nolint:gosec // named by the operator
			if err != nil {
				return fmt.Errorf("read --token-file: %w", err)
			}
			s.client.Token = strings.TrimSpace(string(content))
		}
		if s.output != "table" && s.output != "json" {
			return fmt.Errorf("--output = %q: want table or json", s.output)
		}
		return nil
	}
	root.AddCommand(
		fleetCommand(s, os.LookupEnv),
		statusCommand(s), ownerCommand(s), shardsCommand(s), targetsCommand(s),
		configCommand(s), exceptionCommand(s), drainCommand(s), undrainCommand(s),
		auditCommand(s), eventsCommand(), traceCommand(s),
	)
	return root
}

// print writes v as JSON, or calls table with a writer that aligns tab-separated columns.
func (s *session) print(out io.Writer, v any, table func(w io.Writer)) error {
	if s.output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}
