package schedule_test

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

const (
	urgent uint32 = iota + 1
	long
)

// now is a moment as good as any.
var now = time.Unix(1_000_000, 0)

func newSchedule(targets ...*roster.Target) *schedule.Schedule {
	known := &roster.Roster{}
	for _, t := range targets {
		t.Service, t.Zone, t.Born = "s", "z", 1
	}
	known.Replace(now.Add(-time.Hour), targets, 1)
	return &schedule.Schedule{Roster: known}
}

// request is one of a kind; the urgent kind has a priority above the long one's.
func request(at time.Time, kind uint32, target string) schedule.Request {
	r := schedule.Request{Service: "s", Zone: "z", Kind: kind, Target: target, Priority: int(kind)}
	r.Objective, r.Deadline = at.Add(200*time.Millisecond), at.Add(1200*time.Millisecond)
	if kind == long {
		r.Objective, r.Deadline = at.Add(800*time.Millisecond), at.Add(2500*time.Millisecond)
	}
	return r
}

func enter(t *testing.T, s *schedule.Schedule, at time.Time, r schedule.Request) *schedule.Ticket {
	t.Helper()
	ticket, err := s.Enter(at, r)
	assert.NilError(t, err)
	return ticket
}

// teach lets targets answer both kinds for a while: 40 ms and 240 ms of work, and
// slowness times as long where that is given. It returns the time afterwards.
func teach(t *testing.T, s *schedule.Schedule, at time.Time, slowness map[string]float64) time.Time {
	t.Helper()
	for range 60 {
		for _, id := range slices.Sorted(maps.Keys(slowness)) {
			for kind, work := range []float64{urgent: 40, long: 240} {
				if work == 0 {
					continue
				}
				ticket := enter(t, s, at, request(at, uint32(kind), id))
				at = at.Add(time.Duration(work * slowness[id] * float64(time.Millisecond)))
				s.Release(at, ticket, schedule.Answered)
			}
		}
	}
	return at
}

// A service's kinds differ six times in work, and its targets in speed. With one
// mean for all, a target that happens to get more of the long kind looks slow.
func TestWorkAndSpeedAreLearntApart(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "fast", Slots: 1}, &roster.Target{ID: "slow", Slots: 1})
	at := teach(t, s, now, map[string]float64{"fast": 0.5, "slow": 1.5})
	for range 50 {
		// The fast one gets only the long kind, the slow one only the other.
		for id, kind := range map[string]uint32{"fast": long, "slow": urgent} {
			ticket := enter(t, s, at, request(at, kind, id))
			took := map[string]time.Duration{"fast": 120 * time.Millisecond, "slow": 60 * time.Millisecond}[id]
			at = at.Add(took)
			s.Release(at, ticket, schedule.Answered)
		}
	}
	speeds := map[string]time.Duration{}
	for _, v := range s.Speeds() {
		speeds[v.Target] = v.Latency
	}
	ratio := float64(speeds["slow"]) / float64(speeds["fast"])
	assert.Assert(t, ratio > 2.5 && ratio < 3.5, "slow / fast is %.2f, not 3", ratio)
}

// A route that hardly anybody uses is known to one instance and not to another. If
// it counted as much as the others, their targets would seem unlike in speed.
func TestRareKindDoesNotChangeSpeeds(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 1})
	at := teach(t, s, now, map[string]float64{"a": 1})
	before := s.Speeds()[0].Latency
	rare := enter(t, s, at, request(at, 99, "a"))
	at = at.Add(2 * time.Millisecond)
	s.Release(at, rare, schedule.Answered)
	after := float64(s.Speeds()[0].Latency) / float64(before)
	assert.Assert(t, after > 0.9 && after < 1.1, "%.2f of before", after)
}

// All slots are always taken, as on the heaviest days. If only answers to requests
// that found a slot free counted, a target that turns slow would never be noticed.
func TestSpeedIsLearntWhileAllSlotsAreTaken(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 1})
	at := teach(t, s, now, map[string]float64{"a": 1})
	before := s.Speeds()[0].Latency
	running := enter(t, s, at, request(at, long, "a"))
	for range 40 {
		r := request(at, long, "a")
		r.Deadline, r.Objective = at.Add(time.Minute), at.Add(time.Minute)
		next := enter(t, s, at, r)
		at = at.Add(960 * time.Millisecond)
		s.Release(at, running, schedule.Answered)
		running = next
	}
	assert.Assert(t, s.Speeds()[0].Latency > 3*before)
}

// Requests of the long kind take every slot of a target. The urgent ones that come
// meanwhile wait longer than their objective, which no order can mend any more.
func TestLastSlotIsKeptForUrgentRequests(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 2})
	at := teach(t, s, now, map[string]float64{"a": 1})
	for range 20 {
		at = at.Add(60 * time.Millisecond)
		ticket := enter(t, s, at, request(at, urgent, "a"))
		s.Release(at.Add(40*time.Millisecond), ticket, schedule.Answered)
	}
	first := enter(t, s, at, request(at, long, "a"))
	assert.Assert(t, first.Target != nil)
	second := enter(t, s, at, request(at, long, "a"))
	assert.Assert(t, second.Target == nil, "the last slot went to a long request")
	assert.Assert(t, enter(t, s, at, request(at, urgent, "a")).Target != nil)
}

// The same once the first long request is about to end: then a slot is free again
// soon enough, and keeping the other one would only leave it idle.
func TestSlotIsNotKeptIfAnotherIsFreeSoon(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 2})
	at := teach(t, s, now, map[string]float64{"a": 1})
	for range 20 {
		at = at.Add(60 * time.Millisecond)
		ticket := enter(t, s, at, request(at, urgent, "a"))
		s.Release(at.Add(40*time.Millisecond), ticket, schedule.Answered)
	}
	enter(t, s, at, request(at, long, "a"))
	second := enter(t, s, at, request(at, long, "a"))
	placed := s.Admit(at.Add(200*time.Millisecond), second)
	assert.Equal(t, len(placed), 1)
}

// A target has one slot, and urgent requests come all the time. Kept for them, it
// would never be given to any other kind.
func TestOnlySlotIsNotKept(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 1})
	at := teach(t, s, now, map[string]float64{"a": 1})
	for range 20 {
		at = at.Add(60 * time.Millisecond)
		ticket := enter(t, s, at, request(at, urgent, "a"))
		s.Release(at.Add(40*time.Millisecond), ticket, schedule.Answered)
	}
	assert.Assert(t, enter(t, s, at.Add(40*time.Millisecond), request(at, long, "a")).Target != nil)
}

// Without urgent requests nothing is kept.
func TestSlotIsNotKeptForNobody(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 2})
	at := teach(t, s, now, map[string]float64{"a": 1}).Add(time.Minute)
	for range 2 {
		assert.Assert(t, enter(t, s, at, request(at, long, "a")).Target != nil)
	}
}

// The one who asks is in another region. If its request were sent only after the
// word of a free slot had come and gone, the slot would be idle meanwhile.
func TestRequestFromAfarIsSentAheadOfTheSlot(t *testing.T) {
	for _, c := range []struct {
		transit time.Duration
		after   time.Duration
		sent    bool
	}{
		{0, 220 * time.Millisecond, false},
		{8 * time.Millisecond, 200 * time.Millisecond, false},
		{8 * time.Millisecond, 220 * time.Millisecond, true},
	} {
		s := newSchedule(&roster.Target{ID: "a", Slots: 1})
		at := teach(t, s, now, map[string]float64{"a": 1})
		enter(t, s, at, request(at, long, "a"))
		at = at.Add(c.after)
		r := request(at, long, "a")
		r.Transit = c.transit
		assert.Equal(t, enter(t, s, at, r).Target != nil, c.sent, "%v", c)
	}
}

// A request misses its objective while it waits. Refused, it would come back and
// look like a new one that can still be in time, at the cost of one that can. It
// waits behind those instead, and is refused at last.
func TestLateRequestWaitsBehindAllInTime(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 1})
	at := teach(t, s, now, map[string]float64{"a": 1})
	running := enter(t, s, at, request(at, long, "a"))
	late := enter(t, s, at, request(at, long, "a"))
	at = late.Until
	assert.NilError(t, s.Expire(at, late))
	inTime := enter(t, s, at, request(at, long, "a"))
	placed := s.Release(at, running, schedule.Answered)
	assert.Assert(t, len(placed) == 1 && placed[0] == inTime)
	var busy *schedule.BusyError
	assert.Assert(t, errors.As(s.Expire(late.Until, late), &busy))
	assert.Equal(t, len(s.Release(late.Until, inTime, schedule.Answered)), 0)
}

// Every target of a zone has failed twice in a row, as some do that lose answers
// now and then. Requests were refused as if there were no target at all.
func TestTargetsThatAllFailedAreUsed(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 2}, &roster.Target{ID: "b", Slots: 2})
	for range 6 {
		s.Release(now, enter(t, s, now, request(now, urgent, "")), schedule.Failed)
	}
	assert.Assert(t, enter(t, s, now, request(now, urgent, "")).Target != nil)
	r := request(now, urgent, "")
	r.OnTime = true
	_, err := s.Enter(now, r)
	var none *schedule.NoTargetError
	assert.Assert(t, errors.As(err, &none), "another zone may still do: %v", err)
}

// A target that was paused for failures answers one that was under way. It would
// be left alone for seconds more, though it works.
func TestAnswerEndsAPause(t *testing.T) {
	s := newSchedule(&roster.Target{ID: "a", Slots: 4})
	under := enter(t, s, now, request(now, urgent, "a"))
	for range 2 {
		s.Release(now, enter(t, s, now, request(now, urgent, "a")), schedule.Failed)
	}
	_, err := s.Enter(now, request(now, urgent, "a"))
	assert.Assert(t, err != nil)
	s.Release(now.Add(time.Millisecond), under, schedule.Answered)
	assert.Assert(t, enter(t, s, now.Add(time.Millisecond), request(now, urgent, "a")).Target != nil)
}

func ExampleSchedule_Enter() {
	known := &roster.Roster{}
	known.Replace(now, []*roster.Target{{ID: "a", Service: "s", Zone: "z", Slots: 1}}, 1)
	s := &schedule.Schedule{Roster: known}
	r := schedule.Request{Service: "s", Zone: "z", Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
	first, _ := s.Enter(now, r)
	second, _ := s.Enter(now, r)
	fmt.Println(first.Target.ID, second.Target == nil)
	for _, t := range s.Release(now.Add(200*time.Millisecond), first, schedule.Answered) {
		fmt.Println(t.Target.ID, t == second)
	}
	// Output:
	// a true
	// a true
}
