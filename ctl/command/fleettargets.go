package command

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleetTargets = `List the targets in the platform's store. Rows that cannot be parsed are left out.

Examples:
  basilcross fleet targets
  basilcross fleet targets --service menus --output json`

type fleetTarget struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	// Started is the start time of this incarnation, in Unix milliseconds.
	Started  int64 `json:"born"`
	Draining bool  `json:"draining"`
	// ReplacedBy is a younger target at the same address: this one has ended,
	// though the store still has its row.
	ReplacedBy string `json:"replacedBy,omitempty"`
}

func fleetTargetsCommand(f *fleet) *cobra.Command {
	var service string
	c := &cobra.Command{
		Use: "targets", Short: "List the targets", Long: usageFleetTargets, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			view, err := f.readTargets(c.Context())
			if err != nil {
				return err
			}
			list := []fleetTarget{}
			for t := range view.All() {
				if service == "" || t.Service == service {
					list = append(list, newFleetTarget(t, view))
				}
			}
			sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
			return f.print(c.OutOrStdout(), list, func(w io.Writer) { printFleetTargets(w, list) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "list only the targets of this service")
	return c
}

func newFleetTarget(t *roster.Target, view *roster.View) fleetTarget {
	f := fleetTarget{ID: t.ID, Service: t.Service, Zone: t.Zone, Address: t.Address, Slots: t.Slots, Started: t.Started, Draining: t.Draining}
	if at := view.At(t.Address); at.Started > t.Started {
		f.ReplacedBy = at.ID
	}
	return f
}

// readTargets reads the targets in the platform's store, except rows that cannot be parsed.
func (f *fleet) readTargets(ctx context.Context) (*roster.View, error) {
	rows, err := f.readTable(ctx, platform.TargetTable)
	if err != nil {
		return nil, err
	}
	var list []*roster.Target
	for _, r := range rows {
		if t, err := platform.ParseTarget(r.Key, r.Value); err == nil {
			list = append(list, t)
		}
	}
	var all roster.Roster
	all.Replace(time.Now(), list, 0)
	return all.Load(), nil
}

func formatStarted(ms int64) string {
	return time.UnixMilli(ms).UTC().Format("2006-01-02T15:04:05.000Z")
}

func printFleetTargets(w io.Writer, list []fleetTarget) {
	fmt.Fprintln(w, "TARGET\tSERVICE\tZONE\tADDRESS\tSLOTS\tSTARTED\tSTATE")
	for _, t := range list {
		state := "ready"
		if t.Draining {
			state = "draining"
		}
		if t.ReplacedBy != "" {
			state = "ended, " + t.ReplacedBy + " is at its address"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\n", t.ID, t.Service, t.Zone, t.Address, t.Slots, formatStarted(t.Started), state)
	}
}
