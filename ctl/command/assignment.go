package command

import (
	"fmt"
	"io"
	"net/url"

	"basilcross.example/basilcross/assignment"
	"github.com/spf13/cobra"
)

const usageShards = `List the shards of a divided service with their owners.

Example:
  basilcross shards --service menus`

const usageTargets = `List the targets of a service with their state and number of shards.

Example:
  basilcross targets --service menus`

func shardsCommand(s *session) *cobra.Command {
	return assignmentCommand(s, "shards", "List the shards of a service", usageShards, printShards)
}

func targetsCommand(s *session) *cobra.Command {
	return assignmentCommand(s, "targets", "List the targets of a service", usageTargets, printTargets)
}

func assignmentCommand(s *session, use, short, long string, show func(io.Writer, *assignment.Assignment)) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: use, Short: short, Long: long, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var a assignment.Assignment
			if err := s.client.Get(c.Context(), "/v1/assignment", url.Values{"service": {service}}, &a); err != nil {
				return withExitCode(err)
			}
			return s.print(c.OutOrStdout(), a, func(w io.Writer) { show(w, &a) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "the service")
	_ = c.MarkFlagRequired("service")
	return c
}

func printShards(w io.Writer, a *assignment.Assignment) {
	fmt.Fprintln(w, "FIRST\tLAST\tOWNER\tEPOCH\tSINCE\tMOVING TO")
	for _, sh := range a.Shards {
		fmt.Fprintf(w, "%016x\t%016x\t%s\t%d\t%d\t%s\n", sh.First, sh.Last, sh.Owner, sh.Epoch, sh.OwnerSince, sh.MovingTo)
	}
}

func printTargets(w io.Writer, a *assignment.Assignment) {
	fmt.Fprintln(w, "TARGET\tZONE\tADDRESS\tSTATE\tSLOTS\tCHECKS\tSHARDS")
	for _, t := range a.Targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%v\t%d\n", t.ID, t.Zone, t.Address, t.State, t.Slots, t.Fenced, len(a.OwnedBy(t.ID)))
	}
}
