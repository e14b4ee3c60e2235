package instance

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/peers"
	"basilcross.example/platform"
	"gotest.tools/v3/assert"
)

func evenAssignment(n int) *ownership.Assignment {
	a := &ownership.Assignment{Service: "s", Term: 1}
	for k := range n {
		a.Pieces = append(a.Pieces, ownership.Piece{
			First: k * ownership.KeyCount / n, Last: (k+1)*ownership.KeyCount/n - 1, Owner: fmt.Sprintf("bakery-svc-%04d", k),
			Started: 1700000000000, Address: "10.1.2.3:8080",
		})
	}
	return a
}

func injectAssignment(t testing.TB, i *Instance, a *ownership.Assignment, revision uint64) {
	t.Helper()
	value, err := a.MarshalJSON()
	assert.NilError(t, err)
	i.assignments.ApplyRow(platform.Row{Table: coordinator.AssignmentTable, Key: a.Service, Value: value, Revision: revision})
}

// Guards against an instance that serves other instances an assignment without the
// updates that it received since it read the row.
func TestStateIncludesAppliedUpdates(t *testing.T) {
	i := testInstance()
	injectAssignment(t, i, evenAssignment(4), 10)
	i.applyAssignmentUpdate(&peers.AssignmentUpdate{Service: "s", Term: 2, Base: 10, Revision: 12, Parts: 1, Pieces: []ownership.Piece{{First: 0, Last: 5, Owner: "x"}}})
	response, err := i.State(t.Context(), &fleet.StateRequest{Tables: []string{coordinator.AssignmentTable}})
	assert.NilError(t, err)
	row := response.Tables[0].Rows[0]
	assert.Equal(t, row.Revision, uint64(12))
	a, err := ownership.Parse(row.Value)
	assert.NilError(t, err)
	assert.Equal(t, a.Term, int64(2))
	assert.Equal(t, a.Find(5).Owner, "x")
	assert.Equal(t, a.Find(6).Owner, "bakery-svc-0000")
}

// Guards against owner changes that are lost when a key goes to another target and
// back.
func TestOwnerChangesAreRecorded(t *testing.T) {
	i := testInstance()
	injectAssignment(t, i, evenAssignment(4), 10)
	start := time.Now()
	owner := i.state.assignments["s"].assignment.Find(7).Owner
	for n, next := range []string{"x", owner} {
		i.applyAssignmentUpdate(&peers.AssignmentUpdate{
			Service: "s", Term: 2, Base: uint64(10 + n), Revision: uint64(11 + n), Parts: 1,
			Pieces: []ownership.Piece{{First: 5, Last: 9, Owner: next}},
		})
	}
	assert.Equal(t, i.state.assignments["s"].assignment.Find(7).Owner, owner)
	assert.Assert(t, i.state.ownerChangedSince("s", 7, start))
	assert.Assert(t, !i.state.ownerChangedSince("s", 4, start))
	assert.Assert(t, !i.state.ownerChangedSince("s", 7, time.Now()))
	assert.Assert(t, !i.state.ownerChangedSince("other", 7, start))
}

// Measures an instance that applies an update of 36 pieces.
func BenchmarkApplyAssignmentUpdate(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("pieces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			i := testInstance()
			a := evenAssignment(n)
			injectAssignment(b, i, a, 1)
			revision := uint64(1)
			for b.Loop() {
				i.applyAssignmentUpdate(&peers.AssignmentUpdate{Service: "s", Term: 1, Base: revision, Revision: revision + 1, Parts: 1, Pieces: a.Pieces[:36]})
				revision++
			}
		})
	}
}
