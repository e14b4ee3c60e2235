package schedule_test

import (
	"slices"
	"testing"
	"time"

	"basilcross.example/basilcross/pace"
	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// pacedFleet is a scheduler with target a, which has been there for an hour, and its changes of pace.
type pacedFleet struct {
	*schedule.Scheduler
	t       *testing.T
	at      time.Time
	changes []schedule.PaceChange
}

func newPacedFleet(t *testing.T) *pacedFleet {
	f := &pacedFleet{Scheduler: newScheduler(&roster.Target{ID: "a", Slots: 3}), t: t}
	f.Pace = true
	f.OnPace = func(c schedule.PaceChange) { f.changes = append(f.changes, c) }
	f.at = trainEstimates(t, f.Scheduler, now, map[string]float64{"a": 1})
	assert.Equal(t, len(f.changes), 0, "a was listed long ago")
	return f
}

// list adds or changes target c.
func (f *pacedFleet) list(change func(*roster.Target)) {
	c := &roster.Target{ID: "c", Service: "s", Zone: "z", Slots: 3, Started: 1}
	if change != nil {
		change(c)
	}
	f.Roster.Apply(f.at, []roster.Change{{ID: "c", Target: c}}, 2)
}

// sendTo sends up to n requests that only c may serve unless another may, and returns those that c gets.
func (f *pacedFleet) sendTo(n int, with func(*schedule.Request)) (tickets []*schedule.Ticket) {
	for range n {
		r := request(f.at, urgent, "")
		r.Excluded = map[string]bool{"a": true}
		if with != nil {
			with(&r)
		}
		t, err := f.Submit(f.at, r)
		if err != nil {
			continue
		}
		if t.Target == nil {
			f.Cancel(t)
			continue
		}
		tickets = append(tickets, t)
	}
	return tickets
}

// end has requests end at once after the given time.
func (f *pacedFleet) end(tickets []*schedule.Ticket, after time.Duration, r schedule.Result) {
	f.at = f.at.Add(after)
	for _, t := range tickets {
		f.Release(f.at, t, r)
	}
}

// warmUp has c answer as usual until it is at full pace.
func (f *pacedFleet) warmUp() {
	for range 10 {
		f.end(f.sendTo(3, nil), 40*time.Millisecond, schedule.Answered)
	}
	assert.Equal(f.t, f.PacedTargets(), 0)
	f.at = f.at.Add(time.Second)
	f.changes = nil
}

func (f *pacedFleet) causes() (list []pace.Cause) {
	for _, c := range f.changes {
		if c.Began {
			list = append(list, c.Cause)
		}
	}
	return list
}

// Guards against a started target that is flooded, or left idle, and against a pace that does not end.
func TestStartedTargetIsPaced(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	first := submit(t, f.Scheduler, f.at, request(f.at, urgent, ""))
	assert.Equal(t, first.Target.ID, "c", "the next decision")
	assert.Equal(t, len(f.sendTo(5, nil)), 0)
	assert.Equal(t, f.PacedTargets(), 1)
	f.end([]*schedule.Ticket{first}, 40*time.Millisecond, schedule.Answered)
	two := f.sendTo(5, nil)
	assert.Equal(t, len(two), 2)
	f.end(two, 40*time.Millisecond, schedule.Answered)
	assert.Assert(t, len(f.sendTo(5, nil)) >= 3)
	assert.Equal(t, f.PacedTargets(), 0)
	assert.Equal(t, len(f.changes), 2)
	assert.DeepEqual(t, f.changes[1].Run, pace.Run{Cause: pace.Started, Duration: 80 * time.Millisecond, Answers: 3})
}

// Guards against a feature that changes decisions where it is not switched on.
func TestWithoutPaceNoTargetIsPaced(t *testing.T) {
	f := newPacedFleet(t)
	f.Pace = false
	f.list(nil)
	assert.Assert(t, len(f.sendTo(5, nil)) >= 3)
	assert.Equal(t, len(f.changes), 0)
}

// Guards against requests at a paced target that has turned slow, while others would answer sooner, and against
// one that is forgotten meanwhile.
func TestSlowPacedTargetIsProbedOnly(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	f.end(f.sendTo(1, nil), 400*time.Millisecond, schedule.Answered)
	first := submit(t, f.Scheduler, f.at, request(f.at, urgent, ""))
	assert.Equal(t, first.Target.ID, "c", "its probe is due")
	f.end([]*schedule.Ticket{first}, 200*time.Millisecond, schedule.Answered)
	next := submit(t, f.Scheduler, f.at, request(f.at, urgent, ""))
	assert.Equal(t, next.Target.ID, "a")
	f.at = f.at.Add(250 * time.Millisecond)
	assert.Equal(t, submit(t, f.Scheduler, f.at, request(f.at, urgent, "")).Target.ID, "c")
}

// Guards against requests that go to a paced target since its request has just begun, as if it had been answered at once.
func TestRequestInFlightDoesNotMakeATargetLookFast(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	f.sendTo(1, func(r *schedule.Request) { r.Target = "c" })
	f.at = f.at.Add(4 * time.Millisecond)
	assert.Equal(t, submit(t, f.Scheduler, f.at, request(f.at, urgent, "")).Target.ID, "a", "equal ones in order of their IDs")
}

// Guards against a target that is slow for good and is paced for ever.
func TestSlowTargetReachesFullPace(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	began := f.at
	fullUse := time.Duration(0)
	for f.at.Sub(began) < 20*time.Second && (f.PacedTargets() > 0 || f.at.Equal(began)) {
		tickets := f.sendTo(4, nil)
		if len(tickets) >= 3 && fullUse == 0 {
			fullUse = f.at.Sub(began)
		}
		f.end(tickets, 120*time.Millisecond, schedule.Answered)
	}
	t.Logf("all slots after %v, full pace after %v", fullUse, f.at.Sub(began))
	assert.Equal(t, f.PacedTargets(), 0)
	assert.Assert(t, fullUse > 0 && fullUse < time.Second, "it is not slower with more requests")
}

// Guards against a target that gets as many requests as its slots while it becomes slow by them, and against one that
// is not used fully within a few answers once it copes.
func TestPaceFallsWhileAnswersAreLate(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	rounds, sent := 0, 0
	for slowUntil := f.at.Add(3 * time.Second); f.at.Before(slowUntil); rounds++ {
		tickets := f.sendTo(4, nil)
		sent += len(tickets)
		took := 40 * time.Millisecond
		if len(tickets) > 1 {
			took = 120 * time.Millisecond
		}
		f.end(tickets, took, schedule.Answered)
	}
	t.Logf("%d requests in %d rounds", sent, rounds)
	assert.Equal(t, f.PacedTargets(), 1)
	assert.Assert(t, sent <= 2*rounds)
	answers := 0
	for {
		tickets := f.sendTo(4, nil)
		if len(tickets) >= 3 {
			break
		}
		answers += len(tickets)
		assert.Assert(t, answers <= 6)
		f.end(tickets, 40*time.Millisecond, schedule.Answered)
	}
	t.Logf("all slots after %d answers", answers)
}

// Guards against an instance that starts and sends one request at a time to every target.
func TestSchedulerThatStartsKnowsNoPaces(t *testing.T) {
	f := newPacedFleet(t)
	list := &roster.Roster{}
	list.Replace(now, []*roster.Target{{ID: "c", Service: "s", Zone: "z", Slots: 3, Started: 1}}, 1)
	s := &schedule.Scheduler{Roster: list, Pace: true}
	f.Scheduler, f.at = s, now.Add(time.Millisecond)
	assert.Assert(t, len(f.sendTo(5, nil)) >= 3)
	assert.Equal(t, s.PacedTargets(), 0)
}

// Guards against the targets of a scheduler that does not respond, which get a burst from each instance that
// replaces it, as one whose messages are lost does; and against a replacement that stays at that.
func TestReplacementStartsAtOne(t *testing.T) {
	for _, counting := range []schedule.Counting{schedule.CountsPart, schedule.CountsNone} {
		f := newPacedFleet(t)
		f.list(func(c *roster.Target) { c.Started = 2 })
		f.warmUp()
		replacement := &schedule.Scheduler{Roster: f.Roster, Pace: true}
		f.at, f.Scheduler = f.at.Add(time.Minute), replacement
		with := func(r *schedule.Request) { r.Counting = counting }
		first := f.sendTo(5, with)
		assert.Equal(t, len(first), 1)
		for range 3 {
			f.end(first, 40*time.Millisecond, schedule.Answered)
			first = f.sendTo(5, with)
		}
		assert.Assert(t, len(first) >= 3, "%d", len(first))
		// It is asked again much later, and knows nothing of what others sent meanwhile.
		f.end(first, 40*time.Millisecond, schedule.Answered)
		f.at = f.at.Add(time.Minute)
		assert.Equal(t, len(f.sendTo(5, with)), 1)
	}
}

// Guards against a paced target that stays idle until a deadline, since the message that its only request has
// ended was lost.
func TestLostReleaseDoesNotHoldThePace(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	assert.Equal(t, len(f.sendTo(1, nil)), 1)
	f.at = f.at.Add(900 * time.Millisecond)
	assert.Equal(t, len(f.sendTo(1, nil)), 0)
	f.at = f.at.Add(200 * time.Millisecond)
	assert.Equal(t, len(f.sendTo(5, nil)), 1)
}

// Guards against a new incarnation that inherits the full pace of the one before.
func TestRestartedTargetIsPaced(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	f.warmUp()
	f.list(func(c *roster.Target) { c.Started = 2 })
	assert.Equal(t, len(f.sendTo(5, nil)), 1)
	assert.DeepEqual(t, f.causes(), []pace.Cause{pace.Started})
}

// Guards against a target that turns cold and keeps the pace that it had reached, and against a burst when it is
// warm; its rate stays limited besides.
func TestTargetThatTurnsColdIsPacedAnew(t *testing.T) {
	f := newPacedFleet(t)
	f.ColdRate = func(at time.Time, c *roster.Target) (float64, bool) { return 50, c.IsCold(at) }
	f.list(nil)
	f.end(f.sendTo(1, nil), 40*time.Millisecond, schedule.Answered)
	f.list(func(c *roster.Target) { c.Seq, c.WarmupLeft = 1, 2*time.Second })
	f.sendTo(1, nil)
	f.at = f.at.Add(100 * time.Millisecond)
	first := f.sendTo(5, nil)
	assert.Equal(t, len(first), 1)
	f.at = f.at.Add(40 * time.Millisecond)
	assert.Equal(t, len(f.sendTo(5, nil)), 0, "two would be allowed without the cold state")
	f.end(first, 0, schedule.Answered)
	for range 30 {
		f.end(f.sendTo(5, nil), 50*time.Millisecond, schedule.Answered)
	}
	assert.Equal(t, f.PacedTargets(), 0)
	f.at = f.at.Add(2 * time.Second)
	assert.Equal(t, len(f.sendTo(5, nil)), 1, "it is warm")
}

// Guards against a burst when a limit, a rest or a backoff ends.
func TestRecoveredTargetIsPaced(t *testing.T) {
	for cause, recover := range map[pace.Cause]func(f *pacedFleet){
		pace.LimitLifted: func(f *pacedFleet) {
			limited := true
			f.RateLimit = func(i roster.Incarnation) (float64, bool) { return 5, limited && i.ID == "c" }
			f.sendTo(1, nil)
			limited = false
		},
		pace.Rested: func(f *pacedFleet) { f.end(f.sendTo(2, nil), 10*time.Millisecond, schedule.Rested) },
		pace.Failed: func(f *pacedFleet) { f.end(f.sendTo(2, nil), 10*time.Millisecond, schedule.Failed) },
	} {
		f := newPacedFleet(t)
		f.list(nil)
		f.warmUp()
		recover(f)
		f.at = f.at.Add(3 * time.Second)
		assert.Equal(t, len(f.sendTo(5, nil)), 1, cause.String())
		assert.DeepEqual(t, f.causes(), []pace.Cause{cause})
	}
}

// Guards against a target that fails under more than one request, and is sent two or three each time.
func TestTargetThatFailsUnderTwoGetsNoMore(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	sent, failed, most := 0, 0, 0
	for range 200 {
		tickets := f.sendTo(5, nil)
		sent += len(tickets)
		most = max(most, len(tickets))
		if len(tickets) > 1 {
			failed += len(tickets)
			f.end(tickets, 10*time.Millisecond, schedule.Failed)
			continue
		}
		f.end(tickets, 40*time.Millisecond, schedule.Answered)
	}
	t.Logf("%d of %d failed, at most %d at once", failed, sent, most)
	assert.Assert(t, most <= 2)
	assert.Assert(t, failed > 0 && 10*failed < sent, "it is tried with two now and then only")
	assert.Equal(t, f.PacedTargets(), 1)
}

// Guards against an owner that starts with one slot, since its keys' requests have no other target.
func TestPacedOwnerStartsAtHalfItsSlots(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	assert.Equal(t, len(f.sendTo(5, func(r *schedule.Request) { r.Target = "c" })), 2)
}

// Guards against requests that wait for the other targets and become late, while a started one gets one at a time.
func TestStartedTargetIsNeededWhereRequestsWait(t *testing.T) {
	f := newPacedFleet(t)
	var tickets []*schedule.Ticket
	for range 8 {
		tickets = append(tickets, submit(t, f.Scheduler, f.at, request(f.at, urgent, "")))
	}
	f.list(nil)
	admitted := f.Admit(f.at, tickets[len(tickets)-1])
	assert.Equal(t, len(admitted), 2)
	assert.Equal(t, admitted[0].Target.ID, "c")
}

// Guards against a count of paced targets that grows with each scheduler that was replaced once.
func TestPaceOfUnusedReplacementEnds(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	f.warmUp()
	f.Scheduler = &schedule.Scheduler{Roster: f.Roster, Pace: true, OnPace: f.OnPace}
	f.at = f.at.Add(time.Minute)
	f.end(f.sendTo(1, func(r *schedule.Request) { r.Counting = schedule.CountsPart }), 40*time.Millisecond, schedule.Answered)
	assert.Equal(t, f.PacedTargets(), 1)
	f.Prune(f.at.Add(11 * time.Second))
	assert.Equal(t, f.PacedTargets(), 0)
	assert.Assert(t, slices.ContainsFunc(f.changes, func(c schedule.PaceChange) bool { return !c.Began && c.Cause == pace.Replacement }))
}
