package command

import (
	"fmt"
	"io"
	"sort"

	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleetTargets = `List the targets that the platform names. Rows that name none are left out.

Examples:
  basilcross fleet targets
  basilcross fleet targets --service menus --output json`

type fleetTarget struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	Slots    int    `json:"slots"`
	Draining bool   `json:"draining"`
}

func fleetTargetsCommand(f *fleet) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "targets", Short: "List the targets", Long: usageFleetTargets, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			rows, err := f.rows(c.Context(), platform.TargetTable)
			if err != nil {
				return err
			}
			list := []fleetTarget{}
			for _, r := range rows {
				t, err := platform.ParseTarget(r.Key, r.Value)
				if err == nil && (service == "" || t.Service == service) {
					list = append(list, fleetTarget{t.ID, t.Service, t.Zone, t.Address, t.Slots, t.Draining})
				}
			}
			sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
			return f.print(c.OutOrStdout(), list, func(w io.Writer) { printFleetTargets(w, list) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "only this service's")
	return c
}

func printFleetTargets(w io.Writer, list []fleetTarget) {
	fmt.Fprintln(w, "TARGET\tSERVICE\tZONE\tADDRESS\tSLOTS\tSTATE")
	for _, t := range list {
		state := "ready"
		if t.Draining {
			state = "draining"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", t.ID, t.Service, t.Zone, t.Address, t.Slots, state)
	}
}
