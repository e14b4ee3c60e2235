package command

import (
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"basilcross.example/gateway/coordinator"
	"github.com/spf13/cobra"
)

const usageFleetQuarantined = `List the requests that reach no target, since three targets have ended under each.

The coordinator records them with its lease, twice a second. What is left of an entry's time is
as of that moment; once it is over, the next end of a target renews it. To find the requests and targets,
search the logs for events 414 and 415 with the fingerprint.

Examples:
  basilcross fleet quarantined
  basilcross fleet quarantined --output json`

type quarantinedRequest struct {
	Fingerprint string `json:"fingerprint"`
	LeftMs      int64  `json:"leftMs"`
	DurationMs  int64  `json:"durationMs"`
}

func fleetQuarantinedCommand(f *fleet) *cobra.Command {
	return &cobra.Command{
		Use: "quarantined", Short: "List the requests that end targets", Long: usageFleetQuarantined, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := f.readTable(c.Context(), coordinator.LeaseTable)
			if err != nil {
				return err
			}
			list := []quarantinedRequest{}
			for _, r := range rows {
				recorded, err := coordinator.ParseQuarantined(r.Value)
				if err != nil {
					return &ExitError{Code: ExitInvalid, Cause: err}
				}
				for _, q := range recorded {
					list = append(list, quarantinedRequest{hex.EncodeToString(q.Fingerprint), q.LeftMs, q.DurationMs})
				}
			}
			return f.print(c.OutOrStdout(), list, func(w io.Writer) { printQuarantined(w, list) })
		},
	}
}

func printQuarantined(w io.Writer, list []quarantinedRequest) {
	fmt.Fprintln(w, "FINGERPRINT\tLEFT\tOF")
	for _, q := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\n", q.Fingerprint, formatMs(q.LeftMs), formatMs(q.DurationMs))
	}
}

func formatMs(ms int64) string {
	return (time.Duration(max(0, ms)) * time.Millisecond).Round(time.Second).String()
}
