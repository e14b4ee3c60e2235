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
	list := make([]*roster.Target, n)
	for i := range list {
		list[i] = &roster.Target{ID: fmt.Sprintf("t%d", i), Started: 1, Address: fmt.Sprintf("t%d:1", i), Slots: 3}
	}
	return list
}

func newManager(now time.Time, term int64, recorded *ownership.Assignment) *ownership.Manager {
	k := &ownership.Manager{Service: "lists", Term: term, Holds: holds}
	k.BeginTerm(now, recorded, holds.Long, storeTime(now))
	k.SetStoreClock(now, storeTime(now))
	return k
}

// storeTime is the store's clock.
func storeTime(now time.Time) time.Duration { return now.Sub(time.Unix(500, 0)) }

// stepUntilIdle carries out all orders at once, until none is due any more.
func stepUntilIdle(k *ownership.Manager, now time.Time, list []*roster.Target) (orders []ownership.Order) {
	for {
		due := k.Step(now, list)
		if len(due) == 0 {
			return orders
		}
		for _, o := range due {
			switch o := o.(type) {
			case *ownership.Record:
				k.Recorded(now, true)
			case *ownership.Grant:
				k.Granted(now, now, o, ownership.Done)
			case *ownership.Release:
				k.Released(now, o, "handover", ownership.Done)
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
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, newTargets(20))
	a := k.Assignment()
	assert.Equal(t, len(a.Pieces), 20)
	for _, p := range a.Pieces {
		assert.Assert(t, p.Last-p.First < 2*ownership.KeyCount/20)
	}
	assert.Assert(t, k.Settled(now))
}

// A grant gets no answer, and is carried out seconds later. The keys have been
// released and given to another target meanwhile: two would hold them. So the
// next grant to the same target has a higher epoch, and only its answer lets a
// release count.
func TestGrantInDoubtIsFencedByHigherEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, list)
	now = now.Add(holds.RenewInterval)
	var doubtful *ownership.Grant
	for _, o := range k.Step(now, list) {
		g := o.(*ownership.Grant)
		if g.Owner.ID == "t0" && doubtful == nil {
			doubtful = g
			k.Granted(now, now, g, ownership.Unknown)
			continue
		}
		k.Granted(now, now, g, ownership.Done)
	}
	list[0].Draining = true
	now = now.Add(200 * time.Millisecond)
	orders := stepUntilIdle(k, now, list)
	again := grantsTo(orders, "t0")
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Epoch > doubtful.Epoch)
	assert.Assert(t, len(grantsTo(orders, "t1")) > 0)
}

// The answer to that next grant is lost as well. Then nothing shuts the door,
// and the keys wait until the last one in doubt must have run out.
func TestKeysWaitForGrantInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, list)
	list[0].Draining = true
	stepWithOutcome(k, now.Add(holds.RenewInterval), list, "t0", ownership.Unknown)
	given := stepWithOutcome(k, now.Add(holds.RenewInterval+time.Second), list, "t0", ownership.Unknown)
	assert.Equal(t, len(grantsTo(given, "t1")), 1, "only the renewal of what t1 had")
	given = stepWithOutcome(k, now.Add(holds.RenewInterval+time.Second+holds.Normal*13/10), list, "t0", ownership.Unknown)
	assert.Assert(t, len(grantsTo(given, "t1")) >= 2)
}

// stepWithOutcome steps once in a loop; grants and releases of one target end with
// the given outcome.
func stepWithOutcome(k *ownership.Manager, now time.Time, list []*roster.Target, id string, out ownership.Outcome) (orders []ownership.Order) {
	for range 10 {
		for _, o := range k.Step(now, list) {
			orders = append(orders, o)
			switch o := o.(type) {
			case *ownership.Record:
				k.Recorded(now, true)
			case *ownership.Grant:
				if o.Owner.ID == id {
					k.Granted(now, now, o, out)
				} else {
					k.Granted(now, now, o, ownership.Done)
				}
			case *ownership.Release:
				if o.Owner.ID == id {
					k.Released(now, o, "", out)
				} else {
					k.Released(now, o, "", ownership.Done)
				}
			}
		}
	}
	return orders
}

// A target dies and starts again under its name before the store knows. It may
// have taken a renewal meant for its former life, so its keys are not free:
// they stay with it under a new epoch.
func TestRestartedTargetKeepsItsKeysUnderNewEpoch(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	before := grantsTo(stepUntilIdle(k, now, list), "t0")
	list[0].Started = 2
	after := grantsTo(stepUntilIdle(k, now.Add(time.Millisecond), list), "t0")
	assert.Assert(t, len(after) > 0)
	assert.Assert(t, after[0].Epoch > before[0].Epoch)
	assert.Equal(t, after[0].Owner.Started, int64(2))
}

// The coordinator is lost. Its successor reads what was recorded and grants
// the same keys to the same targets, under higher epochs.
func TestSuccessorGrantsTheSameKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(3)
	first := newManager(now, 1, nil)
	before := stepUntilIdle(first, now, list)
	second := newManager(now, 2, first.Assignment())
	after := stepUntilIdle(second, now, list)
	for _, target := range list {
		assert.Equal(t, grantsTo(before, target.ID)[0].First, grantsTo(after, target.ID)[0].First)
		assert.Assert(t, grantsTo(after, target.ID)[0].Epoch > grantsTo(before, target.ID)[0].Epoch)
	}
}

// A renewal has no answer, neither has the one that would shut it out, but the
// release is answered. The renewal may still be applied, so the keys wait.
func TestReleaseDoesNotResolveGrantInDoubt(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, list)
	now = now.Add(holds.RenewInterval)
	list[0].Draining = true
	released := false
	given := 0
	run := func() {
		for range 10 {
			for _, o := range k.Step(now, list) {
				switch o := o.(type) {
				case *ownership.Record:
					k.Recorded(now, true)
				case *ownership.Grant:
					if o.Owner.ID == "t0" {
						k.Granted(now, now, o, ownership.Unknown)
						continue
					}
					given++
					k.Granted(now, now, o, ownership.Done)
				case *ownership.Release:
					released = true
					k.Released(now, o, "h", ownership.Done)
				}
			}
		}
	}
	list[0].Draining = false
	run()
	list[0].Draining = true
	now = now.Add(200 * time.Millisecond)
	run()
	assert.Assert(t, released)
	assert.Equal(t, given, 1, "only the renewal of what t1 had")
	now = now.Add(holds.Normal * 13 / 10)
	run()
	assert.Assert(t, given > 1)
}

// What is told of a change must make the same assignment as the whole of it.
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

// A target falls silent and its keys wait for the end of its hold. The
// coordinator is lost meanwhile. Its successor must not begin the wait anew,
// and must not cut it short.
func TestSuccessorContinuesTheWait(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	first := newManager(now, 1, nil)
	stepUntilIdle(first, now, list)
	var recorded *ownership.Assignment
	for range 24 {
		now = now.Add(100 * time.Millisecond)
		for _, o := range first.Step(now, list) {
			switch o := o.(type) {
			case *ownership.Record:
				recorded = o.Assignment
				first.Recorded(now, true)
			case *ownership.Grant:
				out := ownership.Done
				if o.Owner.ID == "t0" {
					out = ownership.Unknown
				}
				first.Granted(now, now, o, out)
			}
		}
	}
	assert.Assert(t, recorded != nil)
	second := newManager(now, 2, recorded)
	assert.Equal(t, len(grantsTo(stepUntilIdle(second, now, list), "t1")), 1, "t0 may still hold its keys")
	assert.Assert(t, len(grantsTo(stepUntilIdle(second, now.Add(holds.Normal*14/10), list[1:]), "t1")) >= 2)
}

// The answer to a release is lost while a request still runs. A second release
// is answered at once, since the keys are released already. They must wait for
// the end of the hold, or two targets work on them.
func TestRepeatedReleaseIsNoProof(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, list)
	list[0].Draining = true
	releases, given := 0, 0
	run := func() {
		for range 10 {
			for _, o := range k.Step(now, list) {
				switch o := o.(type) {
				case *ownership.Record:
					k.Recorded(now, true)
				case *ownership.Grant:
					if o.Owner.ID == "t1" {
						given++
					}
					k.Granted(now, now, o, ownership.Done)
				case *ownership.Release:
					releases++
					out := ownership.Done
					if releases == 1 {
						out = ownership.Unknown
					}
					k.Released(now, o, "h", out)
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

// A grant waits in the queue of a full link when its connection is reset, and
// arrives a little later. The bound on its hold must count that.
func TestGrantMayArriveAfterItsReset(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	k := newManager(now, 1, nil)
	stepUntilIdle(k, now, list)
	reset := now.Add(holds.RenewInterval)
	stepWithOutcome(k, reset, list, "t0", ownership.Unknown)
	arrived := reset.Add(450 * time.Millisecond)
	end := arrived.Add(holds.Normal * 102 / 100)
	given := stepWithOutcome(k, end.Add(-time.Millisecond), list[1:], "t0", ownership.Unknown)
	for _, g := range grantsTo(given, "t1") {
		assert.Assert(t, g.Owner.ID == "t1" && g.First > 0, "t1 has its own keys only: %+v", g)
	}
}
