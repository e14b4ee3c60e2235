package instance

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/placement"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/routing"
	"basilcross.example/gateway/coordinator"
	"basilcross.example/gateway/fleet"
	"basilcross.example/gateway/mirror"
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

func evacuation(zone string, removed bool) platform.Row {
	return platform.Row{Table: platform.OperatorTable, Key: platform.EvacuationKey(zone), Value: []byte("{}"), Removed: removed}
}

// Guards against evacuations that are lost with the next change of another row, that
// outlast their row, or whose removal during a gap in the feed goes unnoticed.
func TestEvacuationsFollowTheOperatorsRows(t *testing.T) {
	s := testInstance().state.policyAfter
	assert.Assert(t, s(mirror.Update{Rows: []platform.Row{evacuation("graz", false)}}).IsEvacuated("graz"))
	assert.Assert(t, s(mirror.Update{Rows: []platform.Row{evacuation("wien", false)}}).IsEvacuated("graz"))
	assert.Assert(t, !s(mirror.Update{Rows: []platform.Row{evacuation("wien", true)}}).IsEvacuated("wien"))
	policy := s(mirror.Update{Full: true, Rows: []platform.Row{evacuation("linz", false)}})
	assert.Assert(t, !policy.IsEvacuated("graz") && policy.IsEvacuated("linz"))
	assert.Assert(t, !policy.Returned["graz"].IsZero())
}

func (s *state) policyAfter(u mirror.Update) *placement.Policy {
	s.applyOperatorRows(u)
	return s.policy()
}

// Guards against a target that turned cold again and is known to be so by the feed readers
// alone.
func TestColdTargetIsForwarded(t *testing.T) {
	row := func(left string, seq int) platform.Row {
		return platform.Row{Key: "t", Value: fmt.Appendf(nil, `{"address":"10.0.0.9:80","born":1700,"info":{"service":"s","version":"v1","zone":"z","slots":3},"status":{"state":"ready","seq":%d,"warmup_left":%q}}`, seq, left)}
	}
	assert.Assert(t, isMinorTargetChange(row("3s", 1), row("2s", 2)))
	assert.Assert(t, !isMinorTargetChange(row("0ms", 2), row("3s", 3)))
}

// Guards against a target that is taken for warm before it has warmed up, because its
// reports count down from when it was first seen, or that stays cold by a repeated row.
func TestWarmupIsCountedFromTheReport(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &roster.Roster{}
	report := func(at time.Duration, seq int64, left time.Duration) {
		r.Apply(start.Add(at), []roster.Change{{ID: "t", Target: &roster.Target{ID: "t", Started: 1, Seq: seq, WarmupLeft: left}}}, 1)
	}
	isCold := func(at time.Duration) bool { return r.Load().Find("t").IsCold(start.Add(at)) }
	report(0, 1, 3*time.Second)
	report(time.Second, 2, 2*time.Second)
	assert.Assert(t, isCold(2900*time.Millisecond) && !isCold(3*time.Second))
	report(2*time.Second, 2, 2*time.Second)
	assert.Assert(t, !isCold(3*time.Second))
	report(4*time.Second, 3, 3*time.Second)
	assert.Assert(t, isCold(6*time.Second))
}

// Guards against a zone that is taken back and gets its full load although its targets
// turned cold shortly before.
func TestReturnedZoneCountsAsCold(t *testing.T) {
	s := &testInstance().state
	s.routes.Store(routing.New(&routing.Config{Services: []routing.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: 5}}}))
	target := &roster.Target{ID: "t", Service: "s", Zone: "graz"}
	now := time.Now()
	_, cold := s.coldRate(now, target)
	assert.Assert(t, !cold)
	s.applyOperatorRows(mirror.Update{Rows: []platform.Row{evacuation("graz", false)}})
	s.applyOperatorRows(mirror.Update{Rows: []platform.Row{evacuation("graz", true)}})
	rate, cold := s.coldRate(now.Add(2*time.Second), target)
	assert.Assert(t, cold && rate == 5)
	_, cold = s.coldRate(now.Add(4*time.Second), target)
	assert.Assert(t, !cold)
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

// Guards against parts of one service's update that are taken for another's: one write may change the assignments of
// both, so that the updates have the same revision.
func TestPartsOfTwoServicesUpdatesAreNotMixed(t *testing.T) {
	i := testInstance()
	services := []string{"s", "other"}
	for _, name := range services {
		a := evenAssignment(4)
		a.Service = name
		injectAssignment(t, i, a, 10)
	}
	for part := range 3 {
		for _, name := range services {
			i.applyAssignmentUpdate(&peers.AssignmentUpdate{
				Service: name, Term: 2, Base: 10, Revision: 12, Part: part, Parts: 3,
				Pieces: []ownership.Piece{{First: 10 * part, Last: 10*part + 9, Owner: fmt.Sprint(name, part)}},
			})
		}
	}
	for _, name := range services {
		for part := range 3 {
			assert.Equal(t, i.state.assignments[name].assignment.Find(10*part).Owner, fmt.Sprint(name, part))
		}
	}
	assert.Equal(t, len(i.state.updateParts), 0)
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

// Guards against a line for each target of a large fleet at each instance when the fleet
// starts: changes arrive a few at a time.
func TestLinesAboutTargetsAreBounded(t *testing.T) {
	var text bytes.Buffer
	i := testInstance()
	i.state.log = slog.New(slog.NewJSONHandler(&text, nil))
	for n := range uint64(500) {
		i.state.applyTargets(mirror.Update{Rows: []platform.Row{targetRow(fmt.Sprintf("t%d", n), "ready", "0s", n+1)}, Revision: n + 1})
	}
	i.state.targetLines.flush(i.state.log, time.Now().Add(time.Second))
	lines := strings.Count(text.String(), "\n")
	assert.Assert(t, lines <= 2*maxTargetLines+2, "%d lines", lines)
	assert.Assert(t, strings.Contains(text.String(), `"msg":"targetsChanged"`))
}
