package command

import (
	"context"
	"errors"
	"net/http"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleet = `Show a fleet on the users' platform, from the tables in the platform's store.

No gateway is asked, so this also works while none answers. Give the store's
address by --store or BASILCROSS_STORE. Nothing is written.

Examples:
  basilcross fleet status --store 10.200.1.7:8142
  basilcross fleet owner 4711 --service menus`

// storeTimeout bounds a command's calls: the store may be slow.
const storeTimeout = 10 * time.Second

// fleet is what the commands of the group have in common.
type fleet struct {
	*session
	store platform.Store
}

func fleetCommand(s *session, lookup func(string) (string, bool)) *cobra.Command {
	f := &fleet{session: s, store: platform.Store{HTTP: &http.Client{Timeout: storeTimeout}}}
	c := &cobra.Command{Use: "fleet", Short: "Show a fleet on the users' platform", Long: usageFleet}
	address, _ := lookup("BASILCROSS_STORE")
	c.PersistentFlags().StringVar(&f.store.Address, "store", address, "address of the platform's store, host:port")
	c.AddCommand(fleetStatusCommand(f), fleetOwnerCommand(f), fleetTargetsCommand(f), fleetPiecesCommand(f), fleetRoutesCommand(f))
	return c
}

// readTable reads a whole table.
func (f *fleet) readTable(ctx context.Context, table string) (list []platform.Row, err error) {
	if f.store.Address == "" {
		return nil, &ExitError{Code: ExitUsage, Cause: errors.New("--store is not given")}
	}
	after := ""
	for {
		got, err := f.store.Range(ctx, table, "", after)
		if err != nil {
			return nil, &ExitError{Code: ExitUnreachable, Cause: err}
		}
		list = append(list, got.Rows...)
		if !got.More || len(got.Rows) == 0 {
			return list, nil
		}
		after = got.Rows[len(got.Rows)-1].Key
	}
}

// readAssignment reads the assignment of a service.
func (f *fleet) readAssignment(ctx context.Context, service string) (*ownership.Assignment, uint64, error) {
	rows, err := f.readTable(ctx, coordinator.AssignmentTable)
	if err != nil {
		return nil, 0, err
	}
	for _, r := range rows {
		if r.Key != service {
			continue
		}
		a, err := ownership.Parse(r.Value)
		if err != nil {
			return nil, 0, &ExitError{Code: ExitInvalid, Cause: err}
		}
		return a, r.Revision, nil
	}
	return nil, 0, &ExitError{Code: ExitNotFound, Cause: &NoAssignmentError{Service: service}}
}

// NoAssignmentError says that a service has no assignment: it is not divided, or
// there is none of that name.
type NoAssignmentError struct{ Service string }

func (e *NoAssignmentError) Error() string {
	return "service " + e.Service + ": no assignment is recorded"
}
