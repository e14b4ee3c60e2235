package command

import (
	"errors"
	"fmt"
	"io"
	"strconv"

	"basilcross.example/basilcross/ownership"
	"github.com/spf13/cobra"
)

const usageFleetOwner = `Show which target a key's range is assigned to, as recorded in the store.

A key is a number from 0 to 65535. An assignment is recorded before it is granted,
so the target may not hold the range yet. Orders are sent to the owner's address;
the target that the platform lists at that address now is shown as well.

Example:
  basilcross fleet owner 4711 --service menus`

type fleetOwner struct {
	Service  string          `json:"service"`
	Key      int             `json:"key"`
	Piece    ownership.Piece `json:"piece"`
	Term     int64           `json:"term"`
	Revision uint64          `json:"revision"`
	// TargetAtAddress is the target that the platform lists at the owner's address.
	TargetAtAddress *fleetTarget `json:"resident,omitempty"`
}

func fleetOwnerCommand(f *fleet) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "owner KEY", Short: "Show the owner of a key", Long: usageFleetOwner, Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			key, err := strconv.Atoi(args[0])
			if err != nil || key < 0 || key >= ownership.KeyCount {
				return &ExitError{Code: ExitUsage, Cause: errors.New("KEY " + args[0] + ": want a number from 0 to 65535")}
			}
			a, revision, err := f.readAssignment(c.Context(), service)
			if err != nil {
				return err
			}
			o := fleetOwner{Service: service, Key: key, Piece: *a.Find(key), Term: a.Term, Revision: revision}
			view, err := f.readTargets(c.Context())
			if err != nil {
				return err
			}
			if at := view.At(o.Piece.Address); at != nil {
				current := newFleetTarget(at, view)
				o.TargetAtAddress = &current
			}
			return f.print(c.OutOrStdout(), o, func(w io.Writer) { o.print(w) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "name of the sharded service")
	_ = c.MarkFlagRequired("service")
	return c
}

func (o *fleetOwner) print(w io.Writer) {
	fmt.Fprintf(w, "keys\t%d to %d\n", o.Piece.First, o.Piece.Last)
	fmt.Fprintf(w, "owner\t%s\n", ownerText(&o.Piece))
	if o.Piece.Owner != "" {
		fmt.Fprintf(w, "its address\t%s\n", o.addressText())
	}
	fmt.Fprintf(w, "recorded\tin term %d, revision %d\n", o.Term, o.Revision)
}

func (o *fleetOwner) addressText() string {
	t := o.TargetAtAddress
	switch {
	case t == nil:
		return o.Piece.Address + " has nobody who is named"
	case t.ID != o.Piece.Owner || t.Started != o.Piece.Started:
		return fmt.Sprintf("%s has %s of service %s, started %s: not the owner on record", o.Piece.Address, t.ID, t.Service, formatStarted(t.Started))
	default:
		return fmt.Sprintf("%s has it, started %s", o.Piece.Address, formatStarted(t.Started))
	}
}

func ownerText(p *ownership.Piece) string {
	switch {
	case p.Owner == "":
		return "nobody at present"
	case p.FreeAt > 0:
		return fmt.Sprintf("%s is given up, holds nothing from %d ms of the store's clock on", p.Owner, p.FreeAt)
	default:
		return fmt.Sprintf("%s at %s", p.Owner, p.Address)
	}
}
