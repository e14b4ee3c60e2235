package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"time"

	"basilcross.example/basilcross/config"
	"github.com/spf13/cobra"
)

const usageConfig = `Read and change the fleet's configuration. Every change submits a complete new
version, based on the version that was read. If another change came first,
nothing is changed and the exit code is 3.

Examples:
  basilcross config get > fleet.json
  basilcross config check fleet.json
  basilcross config set fleet.json
  basilcross config explain --service menus --kind lists --key graz-7
  basilcross config wait --version 7 --gateways http://10.0.1.1:8082,http://10.0.2.1:8082`

func configCommand(s *session) *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Read and change the configuration", Long: usageConfig}
	c.AddCommand(configGetCommand(s), configCheckCommand(s), configSetCommand(s), configExplainCommand(s), configWaitCommand(s), configHistoryCommand(s), configRollBackCommand(s), configSchemaCommand())
	return c
}

func configGetCommand(s *session) *cobra.Command {
	var version uint64
	c := &cobra.Command{
		Use: "get", Short: "Print a version, the newest by default", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			doc, err := s.fetchDocument(c.Context(), version)
			if err != nil {
				return err
			}
			return writeJSON(c.OutOrStdout(), doc)
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "version to print; 0 is the newest")
	return c
}

// fetchDocument fetches a version of the configuration; 0 is the newest.
func (s *session) fetchDocument(ctx context.Context, version uint64) (*config.Document, error) {
	var doc config.Document
	query := url.Values{}
	if version != 0 {
		query.Set("version", strconv.FormatUint(version, 10))
	}
	if err := s.client.Get(ctx, "/v1/config", query, &doc); err != nil {
		return nil, withExitCode(err)
	}
	return &doc, nil
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func readDocumentFile(name string) (*config.Document, error) {
	content, err := os.ReadFile(name) //nolint:gosec // named by the operator
	if err != nil {
		return nil, &ExitError{Code: ExitUsage, Cause: err}
	}
	doc, err := config.Parse(content)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Cause: fmt.Errorf("parse configuration file %q: %w", name, err)}
	}
	return doc, nil
}

func configCheckCommand(_ *session) *cobra.Command {
	return &cobra.Command{
		Use: "check FILE", Short: "Check a document without submitting it", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if _, err := readDocumentFile(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), "valid")
			return nil
		},
	}
}

func configSetCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "set FILE", Short: "Submit a document as the next version", Args: cobra.ExactArgs(1),
		Long: "Submit a document as the next version. Its field \"version\" names the version that it is based on.",
		RunE: func(c *cobra.Command, args []string) error {
			doc, err := readDocumentFile(args[0])
			if err != nil {
				return err
			}
			return s.submit(c.Context(), c.OutOrStdout(), doc.Version, doc)
		},
	}
}

// submit sends the document as the successor of version basedOn and prints the new version.
func (s *session) submit(ctx context.Context, out io.Writer, basedOn uint64, doc *config.Document) error {
	content, err := json.Marshal(doc)
	if err != nil {
		return err
	}
	query := url.Values{"basedOn": {strconv.FormatUint(basedOn, 10)}, "id": {rand.Text()}}
	var accepted struct {
		Version uint64 `json:"version"`
	}
	if err := s.client.Post(ctx, "/v1/config", query, content, &accepted); err != nil {
		return withExitCode(err)
	}
	return s.print(out, accepted, func(w io.Writer) { fmt.Fprintf(w, "accepted as version %d\n", accepted.Version) })
}

func configExplainCommand(s *session) *cobra.Command {
	var scope config.Scope
	c := &cobra.Command{
		Use: "explain", Short: "Show which rule sets each value", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var sources []config.Source
			query := url.Values{
				"service": {scope.Service}, "kind": {scope.Kind}, "zone": {scope.Zone}, "target": {scope.Target}, "key": {scope.Key},
			}
			if err := s.client.Get(c.Context(), "/v1/config/explain", query, &sources); err != nil {
				return withExitCode(err)
			}
			return s.print(c.OutOrStdout(), sources, func(w io.Writer) {
				fmt.Fprintln(w, "FIELD\tVALUE\tRULE\tREASON")
				for _, src := range sources {
					fmt.Fprintf(w, "%s\t%v\t%s\t%s\n", src.Field, src.Value, src.Rule, src.Reason)
				}
			})
		},
	}
	addScopeFlags(c, &scope)
	return c
}

func addScopeFlags(c *cobra.Command, scope *config.Scope) {
	c.Flags().StringVar(&scope.Service, "service", "", "service")
	c.Flags().StringVar(&scope.Kind, "kind", "", "kind of request")
	c.Flags().StringVar(&scope.Zone, "zone", "", "availability zone")
	c.Flags().StringVar(&scope.Target, "target", "", "target")
	c.Flags().StringVar(&scope.Key, "key", "", "key")
}

// pollInterval is the pause between two polls of the gateways in config wait.
const pollInterval = 100 * time.Millisecond

func configWaitCommand(s *session) *cobra.Command {
	var version uint64
	var gateways []string
	var timeout time.Duration
	c := &cobra.Command{
		Use: "wait", Short: "Wait until gateways have a version in force; on timeout, list those without it", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if len(gateways) == 0 {
				gateways = []string{s.client.Server}
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			for {
				outdated := s.outdatedGateways(ctx, gateways, version)
				if len(outdated) == 0 {
					fmt.Fprintf(c.OutOrStdout(), "version %d is in force on %d gateways\n", version, len(gateways))
					return nil
				}
				select {
				case <-ctx.Done():
					return &ExitError{Code: ExitTimeout, Cause: fmt.Errorf("version %d is not in force after %s on %v", version, timeout, outdated)}
				case <-time.After(pollInterval):
				}
			}
		},
	}
	c.Flags().Uint64Var(&version, "version", 0, "version to wait for")
	c.Flags().StringSliceVar(&gateways, "gateways", nil, "admin URLs of the gateways to poll; the --server if empty")
	c.Flags().DurationVar(&timeout, "timeout", 10*time.Second, "maximum time to wait")
	return c
}

// outdatedGateways returns the gateways that don't report version, or a later one, as in force.
func (s *session) outdatedGateways(ctx context.Context, gateways []string, version uint64) []string {
	var outdated []string
	for _, g := range gateways {
		gatewayClient := s.client
		gatewayClient.Server = g
		var st gatewayStatus
		if err := gatewayClient.Get(ctx, "/v1/status", nil, &st); err != nil || st.Versions["$config"] < version {
			outdated = append(outdated, g)
		}
	}
	return outdated
}

func configHistoryCommand(s *session) *cobra.Command {
	return &cobra.Command{
		Use: "history", Short: "List the versions with author and reason", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.showAudit(c, "operators") },
	}
}

func configRollBackCommand(s *session) *cobra.Command {
	var version uint64
	var reason, author string
	c := &cobra.Command{
		Use: "roll-back", Short: "Submit an old version's content as the next version", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			current, err := s.fetchDocument(c.Context(), 0)
			if err != nil {
				return err
			}
			old, err := s.fetchDocument(c.Context(), version)
			if err != nil {
				return err
			}
			old.Reason, old.Author = reason, author
			if err := old.Validate(); err != nil {
				return &ExitError{Code: ExitInvalid, Cause: err}
			}
			return s.submit(c.Context(), c.OutOrStdout(), current.Version, old)
		},
	}
	c.Flags().Uint64Var(&version, "to", 0, "version whose content is restored")
	addReasonFlags(c, &reason, &author)
	_ = c.MarkFlagRequired("to")
	return c
}

func addReasonFlags(c *cobra.Command, reason, author *string) {
	c.Flags().StringVar(reason, "reason", "", "reason for the change, recorded in the audit trail")
	c.Flags().StringVar(author, "author", os.Getenv("USER"), "author of the change")
	_ = c.MarkFlagRequired("reason")
}

func configSchemaCommand() *cobra.Command {
	return &cobra.Command{
		Use: "schema", Short: "Print the JSON Schema of a document", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			schema, err := config.Schema()
			if err != nil {
				return err
			}
			fmt.Fprintln(c.OutOrStdout(), string(schema))
			return nil
		},
	}
}

var errExceptionNotFound = errors.New("not found")
