package command

import (
	"fmt"
	"io"
	"net/url"

	"basilcross.example/basilcross/assignment"
	"basilcross.example/basilcross/shard"
	"github.com/spf13/cobra"
)

const usageOwner = `Show which target owns a key, under which epoch, since which version, and why.

Example:
  basilcross owner graz-7 --service menus`

type ownerResponse struct {
	Service string             `json:"service"`
	Key     string             `json:"key"`
	Hash    uint64             `json:"hash"`
	Shard   shard.Shard        `json:"shard"`
	Target  *assignment.Target `json:"target"`
	Version uint64             `json:"version"`
	Cause   string             `json:"cause"`
}

func ownerCommand(s *session) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "owner KEY", Short: "Show the owner of a key", Long: usageOwner, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var o ownerResponse
			query := url.Values{"service": {service}, "key": args}
			if err := s.client.Get(c.Context(), "/v1/owner", query, &o); err != nil {
				return withExitCode(err)
			}
			return s.print(c.OutOrStdout(), o, func(w io.Writer) { printOwner(w, o) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "the divided service")
	_ = c.MarkFlagRequired("service")
	return c
}

func printOwner(w io.Writer, o ownerResponse) {
	fmt.Fprintf(w, "key\t%s (hash %016x)\n", o.Key, o.Hash)
	fmt.Fprintf(w, "shard\t%016x to %016x\n", o.Shard.First, o.Shard.Last)
	if o.Target == nil {
		fmt.Fprintf(w, "owner\tnobody at present\n")
	} else {
		fmt.Fprintf(w, "owner\t%s in %s at %s, %s\n", o.Target.ID, o.Target.Zone, o.Target.Address, o.Target.State)
	}
	fmt.Fprintf(w, "epoch\t%d, since version %d\n", o.Shard.Epoch, o.Shard.OwnerSince)
	if o.Shard.MovingTo != "" {
		fmt.Fprintf(w, "moving to\t%s\n", o.Shard.MovingTo)
	}
	fmt.Fprintf(w, "version in force\t%d: %s\n", o.Version, o.Cause)
}
