package command

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"basilcross.example/basilcross/routing"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleetRoutes = `List the routes of the operator's newest configuration.

With a host and a path, show only the route that such a request takes: the one
with the longest matching prefix of that host.

Examples:
  basilcross fleet routes
  basilcross fleet routes menus.example /list/graz`

type fleetRoute struct {
	Name        string         `json:"name"`
	Host        string         `json:"host"`
	Prefix      string         `json:"prefix"`
	Services    map[string]int `json:"services"`
	Idempotent  bool           `json:"repeatable"`
	MaxAttempts int            `json:"maxAttempts"`
	ObjectiveMs int64          `json:"objectiveMs"`
	TimeoutMs   int64          `json:"timeoutMs"`
	Priority    int            `json:"priority"`
}

func newFleetRoute(r *routing.Route) fleetRoute {
	f := fleetRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Services: map[string]int{}, Idempotent: r.Idempotent(),
		MaxAttempts: r.MaxAttempts, ObjectiveMs: r.Objective.Milliseconds(), TimeoutMs: r.Timeout.Milliseconds(), Priority: r.Priority,
	}
	for _, s := range r.Split {
		f.Services[s.Service] = s.Weight
	}
	return f
}

func fleetRoutesCommand(f *fleet) *cobra.Command {
	return &cobra.Command{
		Use: "routes [HOST PATH]", Short: "List the routes of the newest configuration", Long: usageFleetRoutes, Args: cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			if len(args) == 1 {
				return &ExitError{Code: ExitUsage, Cause: errors.New("PATH is not given")}
			}
			config, err := f.readConfig(c)
			if err != nil {
				return err
			}
			routes := config.Routes
			if len(args) == 2 {
				r := routing.New(config).Find(args[0], args[1])
				if r == nil {
					return &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("configuration version %d has no route for %s%s", config.Version, args[0], args[1])}
				}
				routes = []routing.Route{*r}
			}
			list := []fleetRoute{}
			for i := range routes {
				list = append(list, newFleetRoute(&routes[i]))
			}
			return f.print(c.OutOrStdout(), list, func(w io.Writer) { printRoutes(w, config.Version, list) })
		},
	}
}

func (f *fleet) readConfig(c *cobra.Command) (*routing.Config, error) {
	rows, err := f.readTable(c.Context(), platform.OperatorTable)
	if err != nil {
		return nil, err
	}
	for _, r := range rows {
		if r.Key != platform.ConfigKey {
			continue
		}
		config, err := platform.ParseConfig(r.Value)
		if err != nil {
			return nil, &ExitError{Code: ExitInvalid, Cause: err}
		}
		return config, nil
	}
	return nil, &ExitError{Code: ExitNotFound, Cause: fmt.Errorf("no configuration in table %q, key %q", platform.OperatorTable, platform.ConfigKey)}
}

func printRoutes(w io.Writer, version uint64, routes []fleetRoute) {
	fmt.Fprintf(w, "version %d\n", version)
	fmt.Fprintln(w, "ROUTE\tHOST\tPREFIX\tSERVICES\tREPEATABLE\tOBJECTIVE\tTIMEOUT\tPRIORITY")
	for i := range routes {
		r := &routes[i]
		var shares []string
		for _, name := range slices.Sorted(maps.Keys(r.Services)) {
			shares = append(shares, fmt.Sprintf("%s:%d", name, r.Services[name]))
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%t\t%d ms\t%d ms\t%d\n", r.Name, r.Host, r.Prefix, strings.Join(shares, ","),
			r.Idempotent, r.ObjectiveMs, r.TimeoutMs, r.Priority)
	}
}
