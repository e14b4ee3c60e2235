package command

import (
	"fmt"
	"io"

	"basilcross.example/basilcross/ownership"
	"github.com/spf13/cobra"
)

const usageFleetPieces = `List the ranges of keys of a divided service, with their owners.

Example:
  basilcross fleet pieces --service menus`

func fleetPiecesCommand(f *fleet) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "pieces", Short: "List ranges of keys", Long: usageFleetPieces, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			a, _, err := f.readAssignment(c.Context(), service)
			if err != nil {
				return err
			}
			return f.print(c.OutOrStdout(), a.Pieces, func(w io.Writer) { printPieces(w, a.Pieces) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "the divided service")
	_ = c.MarkFlagRequired("service")
	return c
}

func printPieces(w io.Writer, pieces []ownership.Piece) {
	fmt.Fprintln(w, "FIRST\tLAST\tOWNER")
	for i := range pieces {
		fmt.Fprintf(w, "%d\t%d\t%s\n", pieces[i].First, pieces[i].Last, ownerText(&pieces[i]))
	}
}
