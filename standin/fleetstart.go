package main

import (
	"time"

	"basilcross.example/standin/fleetstart"
	"github.com/spf13/cobra"
)

const usageFleetStart = `Simulate how fleets of several sizes start at once, in virtual time.

The table compares ways to spread what instances must know: copies for all as they were before
there were hubs (before), copies for all with cheap updates (copies), and hubs (hubs). A fleet has
ten targets an instance. --region-mbps is the link between the two regions.

Examples:
  go run ./standin fleetstart
  go run ./standin fleetstart --instances 300 --zones 4 --region-mbps 30 --link-mbps 1000`

func fleetStartCommand() *cobra.Command {
	var sizes []int
	fleet := fleetstart.Fleet{Strong: 10, Cores: 0.16, StrongCores: 1.6, StrongLinkMbps: 1000, ConfigAt: 3 * time.Second}
	c := &cobra.Command{Use: "fleetstart", Short: "Simulate the start of fleets", Long: usageFleetStart, Args: cobra.NoArgs}
	c.Flags().IntSliceVar(&sizes, "instances", []int{100, 300, 985, 2000}, "numbers of instances")
	c.Flags().IntVar(&fleet.Zones, "zones", 8, "availability zones")
	c.Flags().Float64Var(&fleet.RegionMbps, "region-mbps", 150, "link between the regions, in Mbit/s")
	c.Flags().Float64Var(&fleet.LinkMbps, "link-mbps", 20, "link of a small instance, in Mbit/s")
	c.Flags().IntVar(&fleet.Strong, "strong", fleet.Strong, "instances of each zone with ten times the cores and a link of 1000 Mbit/s")
	c.Flags().Float64Var(&fleet.Cores, "cores", fleet.Cores, "cores of a small instance")
	c.RunE = func(c *cobra.Command, _ []string) error {
		var rows []fleetstart.Row
		for _, n := range sizes {
			fleet.Instances, fleet.Targets, fleet.StrongCores = n, 10*n, 10*fleet.Cores
			for _, w := range []struct {
				name string
				way  fleetstart.Way
			}{
				{"before", fleetstart.Copies{PausedPages: true, CopiedView: true}},
				{"copies", fleetstart.Copies{}},
				{"hubs", fleetstart.Hubs{PerZone: 16}},
			} {
				rows = append(rows, fleetstart.Row{Fleet: fleet, Name: w.name, Result: fleet.Simulate(w.way, 1)})
			}
		}
		return fleetstart.WriteText(c.OutOrStdout(), rows)
	}
	return c
}
