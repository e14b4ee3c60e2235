package ownership_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

var holds = ownership.Holds{Normal: 3200 * time.Millisecond, Long: 9800 * time.Millisecond, RenewInterval: 800 * time.Millisecond, AddressReuse: 2 * time.Second}

func newTargets(n int) []*roster.Target {
	targets := make([]*roster.Target, n)
	for i := range targets {
		targets[i] = &roster.Target{ID: fmt.Sprintf("t%d", i), Started: 1, Address: fmt.Sprintf("t%d:1", i), Slots: 3}
	}
	return targets
}

func newManager(now time.Time, term int64, recorded *ownership.Assignment) *ownership.Manager {
	m := &ownership.Manager{Service: "lists", Term: term, Holds: holds}
	m.BeginTerm(now, recorded, holds.Long, storeTime(now))
	m.SetStoreClock(now, storeTime(now))
	return m
}

func storeTime(now time.Time) time.Duration { return now.Sub(time.Unix(500, 0)) }

// stepUntilIdle lets all orders succeed at once, until no more are due.
func stepUntilIdle(m *ownership.Manager, now time.Time, targets []*roster.Target) (orders []ownership.Order) {
	for {
		due := m.Step(now, ownership.NewTargets(targets))
		if len(due) == 0 {
			return orders
		}
		for _, o := range due {
			switch o := o.(type) {
			case *ownership.Record:
				m.Recorded(now, true)
			case *ownership.Grant:
				m.Granted(now, now, o, ownership.Done)
			case *ownership.Release:
				m.Released(now, o, "handover", ownership.Done)
			}
		}
		orders = append(orders, due...)
	}
}

func grantsTo(orders []ownership.Order, id string) (got []*ownership.Grant) {
	for _, o := range orders {
		if g, ok := o.(*ownership.Grant); ok && g.Owner.ID == id {
			got = append(got, g)
		}
	}
	return got
}

func TestFirstAssignmentCoversAllKeysEvenly(t *testing.T) {
	now := time.Unix(1000, 0)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, newTargets(20))
	a := m.Assignment()
	assert.Equal(t, len(a.Pieces), 20)
	for _, p := range a.Pieces {
		assert.Assert(t, p.Last-p.First < 2*ownership.KeyCount/20)
	}
	assert.Assert(t, m.Settled(now))
}

// Guards against two holders: a grant without an answer is applied seconds later,
// when the keys have been released and granted to another target. A release counts
// only once a grant with a higher epoch was answered.
func TestGrantInDoubtIsFencedByHigherEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	now = now.Add(holds.RenewInterval)
	var inDoubt *ownership.Grant
	for _, o := range m.Step(now, ownership.NewTargets(targets)) {
		g := o.(*ownership.Grant)
		if g.Owner.ID == "t0" && inDoubt == nil {
			inDoubt = g
			m.Granted(now, now, g, ownership.Unknown)
			continue
		}
		m.Granted(now, now, g, ownership.Done)
	}
	targets[0].Draining = true
	now = now.Add(200 * time.Millisecond)
	orders := stepUntilIdle(m, now, targets)
	again := grantsTo(orders, "t0")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Epoch > inDoubt.Epoch)
	assert.Assert(t, len(grantsTo(orders, "t1")) > 0)
}

// Guards against two holders if the answer to that next grant is lost as well:
// nothing fences the first one, so the keys wait until the last grant in doubt has
// expired.
func TestKeysWaitForGrantInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	targets[0].Draining = true
	stepWithOutcome(m, now.Add(holds.RenewInterval), targets, "t0", ownership.Unknown)
	given := stepWithOutcome(m, now.Add(holds.RenewInterval+time.Second), targets, "t0", ownership.Unknown)
	assert.Equal(t, len(grantsTo(given, "t1")), 1, "only the renewal of what t1 had")
	given = stepWithOutcome(m, now.Add(holds.RenewInterval+time.Second+holds.Normal*13/10), targets, "t0", ownership.Unknown)
	assert.Assert(t, len(grantsTo(given, "t1")) >= 2)
}

// stepWithOutcome steps the manager ten times; grants and releases of one target
// end with the given outcome, all others succeed.
func stepWithOutcome(m *ownership.Manager, now time.Time, targets []*roster.Target, id string, outcome ownership.Outcome) (orders []ownership.Order) {
	for range 10 {
		for _, o := range m.Step(now, ownership.NewTargets(targets)) {
			orders = append(orders, o)
			switch o := o.(type) {
			case *ownership.Record:
				m.Recorded(now, true)
			case *ownership.Grant:
				if o.Owner.ID == id {
					m.Granted(now, now, o, outcome)
				} else {
					m.Granted(now, now, o, ownership.Done)
				}
			case *ownership.Release:
				if o.Owner.ID == id {
					m.Released(now, o, "", outcome)
				} else {
					m.Released(now, o, "", ownership.Done)
				}
			}
		}
	}
	return orders
}

// Guards against treating a restarted target's keys as free: it may have received a
// renewal meant for its former incarnation, so it keeps them under a new epoch.
func TestRestartedTargetKeepsItsKeysUnderNewEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	before := grantsTo(stepUntilIdle(m, now, targets), "t0")
	targets[0].Started = 2
	after := grantsTo(stepUntilIdle(m, now.Add(time.Millisecond), targets), "t0")
	assert.Assert(t, len(after) > 0)
	assert.Assert(t, after[0].Epoch > before[0].Epoch)
	assert.Equal(t, after[0].Owner.Started, int64(2))
}

// Guards against moves when the coordinator is lost: its successor reads what was
// recorded and grants the same keys to the same targets, under higher epochs.
func TestSuccessorGrantsTheSameKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(3)
	first := newManager(now, 1, nil)
	before := stepUntilIdle(first, now, targets)
	second := newManager(now, 2, first.Assignment())
	after := stepUntilIdle(second, now, targets)
	for _, target := range targets {
		assert.Equal(t, grantsTo(before, target.ID)[0].First, grantsTo(after, target.ID)[0].First)
		assert.Assert(t, grantsTo(after, target.ID)[0].Epoch > grantsTo(before, target.ID)[0].Epoch)
	}
}

// Guards against trusting a release while a grant is in doubt: a renewal and the
// grant that would fence it have no answer, but the release has. The renewal may
// still be applied, so the keys wait.
func TestReleaseDoesNotResolveGrantInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	now = now.Add(holds.RenewInterval)
	targets[0].Draining = true
	released := false
	given := 0
	run := func() {
		for range 10 {
			for _, o := range m.Step(now, ownership.NewTargets(targets)) {
				switch o := o.(type) {
				case *ownership.Record:
					m.Recorded(now, true)
				case *ownership.Grant:
					if o.Owner.ID == "t0" {
						m.Granted(now, now, o, ownership.Unknown)
						continue
					}
					given++
					m.Granted(now, now, o, ownership.Done)
				case *ownership.Release:
					released = true
					m.Released(now, o, "h", ownership.Done)
				}
			}
		}
	}
	targets[0].Draining = false
	run()
	targets[0].Draining = true
	now = now.Add(200 * time.Millisecond)
	run()
	assert.Assert(t, released)
	assert.Equal(t, given, 1, "only the renewal of what t1 had")
	now = now.Add(holds.Normal * 13 / 10)
	run()
	assert.Assert(t, given > 1)
}

func TestDiffGivesTheNextAssignment(t *testing.T) {
	p := func(first, last int, owner string) ownership.Piece {
		return ownership.Piece{First: first, Last: last, Owner: owner}
	}
	base := &ownership.Assignment{Service: "s", Term: 1, Pieces: []ownership.Piece{p(0, 99, "a"), p(100, 199, "b"), p(200, ownership.KeyCount-1, "c")}}
	for _, pieces := range [][]ownership.Piece{
		{p(0, 99, "a"), p(100, 150, "b"), p(151, 199, "a"), p(200, ownership.KeyCount-1, "c")},
		{p(0, 250, "a"), p(251, ownership.KeyCount-1, "c")},
		{p(0, ownership.KeyCount-1, "d")},
		{p(0, 49, "a"), p(50, 300, "b"), p(301, ownership.KeyCount-1, "c")},
	} {
		next := &ownership.Assignment{Service: "s", Term: 2, Pieces: pieces}
		got := base.With(2, base.Diff(next))
		for key := 0; key < 400; key++ {
			assert.Equal(t, got.Find(key).Owner, next.Find(key).Owner, "%v key %d", pieces, key)
		}
		assert.Equal(t, got.Find(ownership.KeyCount-1).Owner, next.Find(ownership.KeyCount-1).Owner)
	}
}

func TestParseFindsGaps(t *testing.T) {
	for _, text := range []string{
		`{"pieces":[]}`, `{`, `{"pieces":[[5,-1,0]]}`, `{"pieces":[[5,-1,0],[4,-1,0],[65535,-1,0]]}`,
		`{"pieces":[[65536,-1,0]]}`, `{"pieces":[[65535,0,0]]}`, `{"owners":[{}],"pieces":[[65535,1,0]]}`,
	} {
		_, err := ownership.Parse([]byte(text))
		assert.Assert(t, err != nil, text)
	}
	a := &ownership.Assignment{Service: "s", Term: 3, Pieces: []ownership.Piece{
		{First: 0, Last: 9, Owner: "a", Started: 5, Address: "a:1", FreeAt: 77},
		{First: 10, Last: 19},
		{First: 20, Last: ownership.KeyCount - 1, Owner: "a", Started: 5, Address: "a:1"},
	}}
	text, err := json.Marshal(a)
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "assignment.golden")
	got, err := ownership.Parse(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Pieces, a.Pieces, cmpopts.IgnoreUnexported(ownership.Piece{}))
}

// Guards against a successor that restarts or shortens the wait for the end of a
// hold.
func TestSuccessorContinuesTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	first := newManager(now, 1, nil)
	stepUntilIdle(first, now, targets)
	var recorded *ownership.Assignment
	for range 24 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range first.Step(now, ownership.NewTargets(targets)) {
			switch o := o.(type) {
			case *ownership.Record:
				recorded = o.Assignment
				first.Recorded(now, true)
			case *ownership.Grant:
				outcome := ownership.Done
				if o.Owner.ID == "t0" {
					outcome = ownership.Unknown
				}
				first.Granted(now, now, o, outcome)
			}
		}
	}
	assert.Assert(t, recorded != nil)
	second := newManager(now, 2, recorded)
	assert.Equal(t, len(grantsTo(stepUntilIdle(second, now, targets), "t1")), 1, "t0 may still hold its keys")
	assert.Assert(t, len(grantsTo(stepUntilIdle(second, now.Add(holds.Normal*14/10), targets[1:]), "t1")) >= 2)
}

// Guards against trusting a repeated release: the answer to the first is lost while
// a request still runs, and the second is answered at once, as the keys are
// released already. The keys must wait for the end of the hold.
func TestRepeatedReleaseIsNoProof(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	targets[0].Draining = true
	releases, given := 0, 0
	run := func() {
		for range 10 {
			for _, o := range m.Step(now, ownership.NewTargets(targets)) {
				switch o := o.(type) {
				case *ownership.Record:
					m.Recorded(now, true)
				case *ownership.Grant:
					if o.Owner.ID == "t1" {
						given++
					}
					m.Granted(now, now, o, ownership.Done)
				case *ownership.Release:
					releases++
					outcome := ownership.Done
					if releases == 1 {
						outcome = ownership.Unknown
					}
					m.Released(now, o, "h", outcome)
				}
			}
		}
	}
	now = now.Add(time.Millisecond)
	run()
	assert.Equal(t, releases, 2)
	assert.Equal(t, given, 0)
	now = now.Add(holds.Normal * 11 / 10)
	run()
	assert.Assert(t, given > 0)
}

// Guards against too short a bound on a hold: a grant waits in the queue of a
// congested link when its connection is reset, and arrives a little later.
func TestGrantMayArriveAfterItsReset(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	reset := now.Add(holds.RenewInterval)
	stepWithOutcome(m, reset, targets, "t0", ownership.Unknown)
	arrived := reset.Add(450 * time.Millisecond)
	end := arrived.Add(holds.Normal * 102 / 100)
	given := stepWithOutcome(m, end.Add(-time.Millisecond), targets[1:], "t0", ownership.Unknown)
	for _, g := range grantsTo(given, "t1") {
		assert.Assert(t, g.Owner.ID == "t1" && g.First > 0, "t1 has its own keys only: %+v", g)
	}
}

// Guards against keys that are taken from their owners since this instance does not reach them,
// and against owners that get no keys for long after its links are back.
func TestKeysStayWithOwnersWhileLinksAreDown(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(3)
	m := newManager(now, 1, nil)
	stepUntilIdle(m, now, targets)
	before := m.Assignment()
	m.SetUnlinked(now, true)
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		for _, o := range m.Step(now, ownership.NewTargets(targets)) {
			m.Granted(now, now, o.(*ownership.Grant), ownership.Unsent)
		}
	}
	m.SetUnlinked(now, false)
	stepUntilIdle(m, now, targets)
	assert.DeepEqual(t, m.Assignment(), before)
	assert.Assert(t, m.Settled(now))
}
