package command

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/platform"
	"github.com/spf13/cobra"
)

const usageFleet = `Show a fleet on the users' platform, as recorded in the platform's store.

The commands call no gateway, so they also work while no gateway responds. They
write nothing. The store's address is set by --store or BASILCROSS_STORE.

Examples:
  basilcross fleet status --store 10.200.1.7:8142
  basilcross fleet owner 4711 --service menus`

// storeTimeout bounds the time until the store, which may be slow, begins to respond.
const storeTimeout = 10 * time.Second

// fleet reads the tables of the platform's store for the commands of the group.
type fleet struct {
	*session
	store platform.Store
}

func fleetCommand(s *session, lookup func(string) (string, bool)) *cobra.Command {
	f := &fleet{session: s, store: platform.Store{HTTP: &http.Client{}}}
	c := &cobra.Command{Use: "fleet", Short: "Show a fleet on the users' platform", Long: usageFleet}
	address, _ := lookup("BASILCROSS_STORE")
	c.PersistentFlags().StringVar(&f.store.Address, "store", address, "address of the platform's store, host:port")
	c.AddCommand(fleetStatusCommand(f), fleetOwnerCommand(f), fleetTargetsCommand(f), fleetPiecesCommand(f), fleetRoutesCommand(f), fleetQuarantinedCommand(f), fleetCheckConfigCommand(s))
	return c
}

// readTable reads all rows of a table, page by page.
func (f *fleet) readTable(ctx context.Context, table string) (list []platform.Row, err error) {
	if f.store.Address == "" {
		return nil, &ExitError{Code: ExitUsage, Cause: errors.New("neither --store nor BASILCROSS_STORE is set")}
	}
	after := ""
	for {
		page, err := f.store.Range(ctx, storeTimeout, table, "", after)
		if err != nil {
			return nil, &ExitError{Code: ExitUnreachable, Cause: fmt.Errorf("read table %q of the store %s: %w", table, f.store.Address, err)}
		}
		list = append(list, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return list, nil
		}
		after = page.Rows[len(page.Rows)-1].Key
	}
}

// readAssignment reads the assignment of a service and its revision.
func (f *fleet) readAssignment(ctx context.Context, service string) (*ownership.Assignment, uint64, error) {
	rows, err := f.readTable(ctx, coordinator.AssignmentTable)
	if err != nil {
		return nil, 0, err
	}
	stored, revision := ownership.Rows{}, uint64(0)
	for _, r := range rows {
		stored[r.Key] = r.Value
		if r.Key == service {
			revision = r.Revision
		}
	}
	assignments, err := stored.Assemble()
	switch a := assignments[service]; {
	case a != nil:
		return a, revision, nil
	case revision != 0:
		return nil, 0, &ExitError{Code: ExitInvalid, Cause: err}
	}
	return nil, 0, &ExitError{Code: ExitNotFound, Cause: &NoAssignmentError{Service: service}}
}

// NoAssignmentError reports a service without an assignment: not sharded, or unknown.
type NoAssignmentError struct{ Service string }

func (e *NoAssignmentError) Error() string {
	return "service " + e.Service + ": no assignment is recorded"
}
