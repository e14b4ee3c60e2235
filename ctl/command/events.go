package command

import (
	"fmt"
	"strconv"

	"basilcross.example/basilcross/event"
	"github.com/spf13/cobra"
)

const usageEvents = `Explain the log event with the given number, or list all events.

Examples:
  basilcross events 203
  basilcross events`

func eventsCommand() *cobra.Command {
	return &cobra.Command{
		Use: "events [NUMBER]", Short: "Explain numbered log events", Long: usageEvents, Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			if len(args) == 0 {
				for _, e := range event.Catalogue() {
					fmt.Fprintf(out, "%d  %s\n", e.Number, e.Name)
				}
				return nil
			}
			number, err := strconv.Atoi(args[0])
			if err != nil {
				return &ExitError{Code: ExitUsage, Cause: fmt.Errorf("event number %q: want an integer", args[0])}
			}
			for _, e := range event.Catalogue() {
				if e.Number == number {
					fmt.Fprintf(out, "%d %s (%s)\n%s\n%s\n", e.Number, e.Name, e.Level, e.Meaning, e.Action)
					return nil
				}
			}
			return &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("event %d is not in the catalogue", number)}
		},
	}
}
