package schedule_test

import (
	"errors"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// usersWindow is the time over which the users count a limited target's requests, usersFactor and usersBurst
// what they allow beyond its limit.
const (
	usersWindow = 4 * time.Second
	usersFactor = 1.5
	usersBurst  = 5
)

// limitedScheduler returns a scheduler of one service, whose n targets state the same limit.
func limitedScheduler(n int, perSecond *float64) *schedule.Scheduler {
	s := &schedule.Scheduler{Roster: &roster.Roster{}, RateLimit: func(roster.Incarnation) (float64, bool) {
		return *perSecond, *perSecond >= 0
	}}
	var list []*roster.Target
	for k := range n {
		list = append(list, &roster.Target{ID: string(rune('a' + k)), Started: 1, Service: "s", Zone: "z", Slots: 3})
	}
	s.Roster.Replace(time.Unix(1000, 0), list, 1)
	return s
}

// mostIn returns the highest number of times in any window.
func mostIn(times []time.Time, window time.Duration) (most int) {
	for first, k := 0, 0; k < len(times); k++ {
		for times[k].Sub(times[first]) > window {
			first++
		}
		most = max(most, k-first+1)
	}
	return most
}

// sendByThree sends requests to a target with a limit through its scheduler and two replacements, and returns when they were
// sent, and which of them by the scheduler. If charged is set, each is charged for what the replacements send.
func sendByThree(t *rapid.T, perSecond float64, charged bool) (sent, own []time.Time) {
	now := time.Unix(1000, 0)
	schedulers := []*schedule.Scheduler{limitedScheduler(1, &perSecond), limitedScheduler(1, &perSecond), limitedScheduler(1, &perSecond)}
	for range rapid.IntRange(1, 400).Draw(t, "requests") {
		now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pauseMs")) * time.Millisecond)
		at := rapid.IntRange(0, 2).Draw(t, "scheduler")
		r := schedule.Request{Service: "s", Zone: "z", Objective: now.Add(50 * time.Millisecond), Deadline: now.Add(60 * time.Millisecond), RejectLate: true, Counting: schedule.Counting(at)}
		ticket, err := schedulers[at].Submit(now, r)
		if err != nil || ticket.Target == nil {
			continue
		}
		sent = append(sent, now)
		if at == 0 {
			own = append(own, now)
		}
		for other, s := range schedulers {
			if charged && at > 0 && other != at {
				s.Charge(ticket.Target)
			}
		}
		schedulers[at].Release(now.Add(time.Millisecond), ticket, schedule.Answered)
	}
	return sent, own
}

// Guards against a limited target that gets more than the users allow of its scheduler and a replacement
// of that, which count by themselves, however requests come and however long they take.
func TestSchedulersOfLimitedTargetStayWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(0, 8).Draw(t, "perSecond")
		sent, own := sendByThree(t, perSecond, false)
		assert.Assert(t, float64(mostIn(sent, usersWindow)) <= usersFactor*perSecond*usersWindow.Seconds()+usersBurst)
		assert.Assert(t, float64(mostIn(own, usersWindow)) <= max(perSecond, 0.25)*usersWindow.Seconds()+1)
	})
}

// Guards against replacements of a scheduler that add to what it sends, although it receives their reports: beyond the limit
// there may be the scheduler's own burst, and one request of each replacement that it has yet to make up for.
func TestChargedSchedulersShareOneLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(1, 8).Draw(t, "perSecond")
		sent, _ := sendByThree(t, perSecond, true)
		assert.Assert(t, float64(mostIn(sent, usersWindow)) <= perSecond*usersWindow.Seconds()+3)
	})
}

// Guards against a target that states a limit no more, or 0, and is never asked again.
func TestTargetIsUsedFullyAfterItsLimit(t *testing.T) {
	perSecond := 0.0
	s := limitedScheduler(1, &perSecond)
	now, sent := time.Unix(1000, 0), 0
	offer := func(d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(50 * time.Millisecond) {
			r := schedule.Request{Service: "s", Zone: "z", Objective: now.Add(20 * time.Millisecond), Deadline: now.Add(40 * time.Millisecond), RejectLate: true}
			if ticket, err := s.Submit(now, r); err == nil && ticket.Target != nil {
				n++
				s.Release(now.Add(10*time.Millisecond), ticket, schedule.Answered)
			}
		}
		return n
	}
	sent = offer(8 * time.Second)
	assert.Assert(t, sent >= 1 && sent <= 3, "%d requests in 8 s show whether the limit of 0 holds on", sent)
	perSecond = -1
	assert.Equal(t, offer(time.Second), 20)
}

// Guards against callers that wait for a service whose targets accept far less than is asked for.
func TestRequestsBeyondAllLimitsAreRefused(t *testing.T) {
	perSecond := 2.0
	s := limitedScheduler(2, &perSecond)
	now := time.Unix(1000, 0)
	var busy *schedule.BusyError
	waiting := 0
	for range 40 {
		_, err := s.Submit(now, schedule.Request{Service: "s", Zone: "z", Objective: now.Add(2 * time.Second), Deadline: now.Add(4 * time.Second)})
		if err == nil {
			waiting++
			continue
		}
		assert.Assert(t, errors.As(err, &busy))
	}
	assert.Assert(t, busy != nil && busy.RateLimited)
	assert.Assert(t, waiting <= 16, "%d requests wait for what is accepted in 4 s", waiting)
	assert.Assert(t, busy.Wait > time.Second, "%v", busy.Wait)
}
