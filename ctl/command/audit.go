package command

import (
	"fmt"
	"io"
	"net/url"
	"time"

	"basilcross.example/basilcross/audit"
	"github.com/spf13/cobra"
)

const usageAudit = `Show the audit trail and verify its chain of hashes.

Examples:
  basilcross audit
  basilcross audit --stream system`

func auditCommand(s *session) *cobra.Command {
	var stream string
	c := &cobra.Command{
		Use: "audit", Short: "Show and verify the audit trail", Long: usageAudit, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return s.showAudit(c, stream) },
	}
	c.Flags().StringVar(&stream, "stream", audit.Operators, "operators, or system for the system's own decisions")
	return c
}

func (s *session) showAudit(c *cobra.Command, stream string) error {
	var records []audit.Record
	if err := s.client.Get(c.Context(), "/v1/audit", url.Values{"stream": {stream}}, &records); err != nil {
		return withExitCode(err)
	}
	err := s.print(c.OutOrStdout(), records, func(w io.Writer) {
		fmt.Fprintln(w, "NUMBER\tAT\tWHO\tWHAT\tFROM\tTO\tWHY")
		for _, r := range records {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", r.Number, r.At.Format(time.RFC3339), r.Actor, r.Subject, r.From, r.To, r.Reason)
		}
	})
	if err != nil {
		return err
	}
	if err := audit.Verify(records); err != nil {
		return &ExitError{Code: ExitInvalid, Cause: err}
	}
	return nil
}
