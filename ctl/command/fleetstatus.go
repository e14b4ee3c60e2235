package command

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"

	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleetStatus = `Show the coordinator, the configuration, and the number of instances and targets
in each zone.

An instance that ended keeps its row, so every instance that ever started is counted. In
zones of more than 32 instances only the hubs have rows.

Example:
  basilcross fleet status`

type fleetSummary struct {
	Coordinator string         `json:"coordinator"`
	Term        int64          `json:"term"`
	Version     uint64         `json:"version"`
	Routes      int            `json:"routes"`
	Instances   map[string]int `json:"instances"`
	Targets     map[string]int `json:"targets"`
	Draining    int            `json:"draining"`
	Unreadable  int            `json:"unreadable"`
}

func fleetStatusCommand(f *fleet) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Show the state of the fleet", Long: usageFleetStatus, Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s := fleetSummary{Instances: map[string]int{}, Targets: map[string]int{}}
			for table, add := range map[string]func(platform.Row){
				coordinator.LeaseTable: s.addLease, platform.OperatorTable: s.addConfig,
				coordinator.InstanceTable: s.addInstance, platform.TargetTable: s.addTarget,
			} {
				rows, err := f.readTable(c.Context(), table)
				if err != nil {
					return err
				}
				for _, r := range rows {
					add(r)
				}
			}
			return f.print(c.OutOrStdout(), s, func(w io.Writer) { s.print(w) })
		},
	}
}

func (s *fleetSummary) addLease(r platform.Row) {
	l, err := coordinator.ParseLease(r.Value)
	if r.Key != coordinator.LeaseKey || err != nil {
		s.Unreadable++
		return
	}
	s.Term = l.Term
	if l.LeaseMs > 0 {
		s.Coordinator = l.Holder
	}
}

func (s *fleetSummary) addConfig(r platform.Row) {
	if r.Key != platform.ConfigKey {
		return
	}
	config, err := platform.ParseConfig(r.Value)
	if err != nil {
		s.Unreadable++
		return
	}
	s.Version, s.Routes = config.Version, len(config.Routes)
}

func (s *fleetSummary) addInstance(r platform.Row) {
	var i peers.Instance
	if json.Unmarshal(r.Value, &i) != nil {
		s.Unreadable++
		return
	}
	s.Instances[i.Zone]++
}

func (s *fleetSummary) addTarget(r platform.Row) {
	t, err := platform.ParseTarget(r.Key, r.Value)
	if err != nil {
		s.Unreadable++
		return
	}
	s.Targets[t.Zone]++
	if t.Draining {
		s.Draining++
	}
}

func (s *fleetSummary) print(w io.Writer) {
	holder := s.Coordinator
	if holder == "" {
		holder = "nobody at present"
	}
	fmt.Fprintf(w, "coordinator\t%s, term %d\n", holder, s.Term)
	fmt.Fprintf(w, "configuration\tversion %d, %d routes\n", s.Version, s.Routes)
	zones := map[string]bool{}
	for zone := range s.Instances {
		zones[zone] = true
	}
	for zone := range s.Targets {
		zones[zone] = true
	}
	names := make([]string, 0, len(zones))
	for zone := range zones {
		names = append(names, zone)
	}
	sort.Strings(names)
	for _, zone := range names {
		fmt.Fprintf(w, "zone %s\t%d instances, %d targets\n", zone, s.Instances[zone], s.Targets[zone])
	}
	fmt.Fprintf(w, "draining\t%d targets\n", s.Draining)
	fmt.Fprintf(w, "unreadable\t%d rows\n", s.Unreadable)
}
