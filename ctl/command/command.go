// Package command has the subcommands of the operators' command line, one file
// each.
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

// The exit codes.
const (
	ExitUsage       = 1
	ExitUnreachable = 2
	ExitConflict    = 3
	ExitInvalid     = 4
	ExitNotFound    = 5
	ExitTimeout     = 6
)

// ExitError is an error with the exit code that fits it.
type ExitError struct {
	Code  int
	Cause error
}

func (e *ExitError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Cause }

// withExitCode gives an error the exit code that fits it.
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

const usageRoot = `Operate a basilcross fleet by its defaults and exceptions.

Commands ask one gateway's admin address; which one makes no difference, since
all of them hold the same. Give it by --server or BASILCROSS_SERVER. On the
users' platform, "fleet" has the commands that read the platform's store.

Exit codes: 0 done, 1 usage, 2 unreachable or not possible now, 3 conflict with
another operator's change, 4 invalid, 5 not found, 6 not reached in time.`

// session is what all subcommands have in common.
type session struct {
	client client.Client
	output string
}

// New returns the command line.
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
	root.PersistentFlags().StringVar(&s.output, "output", "table", "table, or json for programs")
	tokenFile := os.Getenv("BASILCROSS_TOKEN_FILE")
	root.PersistentFlags().StringVar(&tokenFile, "token-file", tokenFile, "file with the bearer token, if the gateway asks for one")
	root.PersistentPreRunE = func(*cobra.Command, []string) error {
		if tokenFile != "" {
			content, err := os.ReadFile(tokenFile) //nolint:gosec // named by the operator
			if err != nil {
				return fmt.Errorf("--token-file: %w", err)
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

// print writes v as JSON, or calls table with a writer that lines columns up.
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
