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

// now is the arbitrary time at which the tests begin.
var now = time.Unix(1_000_000, 0)

func newScheduler(targets ...*roster.Target) *schedule.Scheduler {
	targetList := &roster.Roster{}
	for _, t := range targets {
		t.Service, t.Zone, t.Started = "s", "z", 1
	}
	targetList.Replace(now.Add(-time.Hour), targets, 1)
	return &schedule.Scheduler{Roster: targetList}
}

// request returns a request of a kind; the urgent kind precedes the long one.
func request(at time.Time, kind uint32, target string) schedule.Request {
	r := schedule.Request{Service: "s", Zone: "z", Kind: kind, Target: target, Priority: int(kind)}
	r.Objective, r.Deadline = at.Add(200*time.Millisecond), at.Add(1200*time.Millisecond)
	if kind == long {
		r.Objective, r.Deadline = at.Add(800*time.Millisecond), at.Add(2500*time.Millisecond)
	}
	return r
}

func submit(t *testing.T, s *schedule.Scheduler, at time.Time, r schedule.Request) *schedule.Ticket {
	t.Helper()
	ticket, err := s.Submit(at, r)
	assert.NilError(t, err)
	return ticket
}

// trainEstimates has the targets in slowness answer both kinds 60 times each: 40 ms and
// 240 ms of work, times the target's slowness. It returns the time afterwards.
func trainEstimates(t *testing.T, s *schedule.Scheduler, at time.Time, slowness map[string]float64) time.Time {
	t.Helper()
	for range 60 {
		for _, id := range slices.Sorted(maps.Keys(slowness)) {
			for kind, work := range []float64{urgent: 40, long: 240} {
				if work == 0 {
					continue
				}
				ticket := submit(t, s, at, request(at, uint32(kind), id))
				at = at.Add(time.Duration(work * slowness[id] * float64(time.Millisecond)))
				s.Release(at, ticket, schedule.Answered)
			}
		}
	}
	return at
}

// urgentTraffic sends urgent requests to target a. It returns the time after the last
// answer.
func urgentTraffic(t *testing.T, s *schedule.Scheduler, at time.Time) time.Time {
	t.Helper()
	for range 20 {
		ticket := submit(t, s, at, request(at, urgent, "a"))
		s.Release(at.Add(40*time.Millisecond), ticket, schedule.Answered)
		at = at.Add(60 * time.Millisecond)
	}
	return at
}

// Guards against a target estimated as slow because it gets more requests of a long kind.
func TestWorkAndSlownessAreEstimatedSeparately(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "fast", Slots: 1}, &roster.Target{ID: "slow", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"fast": 0.5, "slow": 1.5})
	for range 50 {
		// The fast target gets only the long kind, the slow one only the urgent kind.
		for id, kind := range map[string]uint32{"fast": long, "slow": urgent} {
			ticket := submit(t, s, at, request(at, kind, id))
			took := map[string]time.Duration{"fast": 120 * time.Millisecond, "slow": 60 * time.Millisecond}[id]
			at = at.Add(took)
			s.Release(at, ticket, schedule.Answered)
		}
	}
	latencies := map[string]time.Duration{}
	for _, l := range s.TargetLatencies() {
		latencies[l.Target] = l.Latency
	}
	ratio := float64(latencies["slow"]) / float64(latencies["fast"])
	assert.Assert(t, ratio > 2.5 && ratio < 3.5, "slow / fast is %.2f, not 3", ratio)
}

// Guards against latencies that depend on whether an instance has seen a rare kind.
func TestRareKindDoesNotChangeLatencies(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	before := s.TargetLatencies()[0].Latency
	rare := submit(t, s, at, request(at, 99, "a"))
	at = at.Add(2 * time.Millisecond)
	s.Release(at, rare, schedule.Answered)
	after := float64(s.TargetLatencies()[0].Latency) / float64(before)
	assert.Assert(t, after > 0.9 && after < 1.1, "%.2f of before", after)
}

// Guards against a slow target that is not detected while all its slots stay taken.
func TestLatencyIsUpdatedWhileAllSlotsAreTaken(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	before := s.TargetLatencies()[0].Latency
	running := submit(t, s, at, request(at, long, "a"))
	for range 40 {
		r := request(at, long, "a")
		r.Deadline, r.Objective = at.Add(time.Minute), at.Add(time.Minute)
		next := submit(t, s, at, r)
		at = at.Add(960 * time.Millisecond)
		s.Release(at, running, schedule.Answered)
		running = next
	}
	assert.Assert(t, s.TargetLatencies()[0].Latency > 3*before)
}

// Guards against long requests that take every slot while urgent ones arrive.
func TestLastSlotIsReservedForUrgentRequests(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	at = urgentTraffic(t, s, at)
	first := submit(t, s, at, request(at, long, "a"))
	assert.Assert(t, first.Target != nil)
	second := submit(t, s, at, request(at, long, "a"))
	assert.Assert(t, second.Target == nil, "the last slot was assigned to a long request")
	assert.Assert(t, submit(t, s, at, request(at, urgent, "a")).Target != nil)
}

// Guards against a slot that stays idle although another one is free soon enough.
func TestSlotIsNotReservedIfAnotherIsFreeSoon(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	at = urgentTraffic(t, s, at)
	submit(t, s, at, request(at, long, "a"))
	second := submit(t, s, at, request(at, long, "a"))
	admitted := s.Admit(at.Add(200*time.Millisecond), second)
	assert.Equal(t, len(admitted), 1)
}

// Guards against a target with one slot that only the most urgent kind ever gets.
func TestOnlySlotIsNotReserved(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	at = urgentTraffic(t, s, at)
	assert.Assert(t, submit(t, s, at, request(at, long, "a")).Target != nil)
}

// Guards against a slot that stays reserved for a kind without further requests.
func TestSlotIsNotReservedForKindWithoutTraffic(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1}).Add(time.Minute)
	for range 2 {
		assert.Assert(t, submit(t, s, at, request(at, long, "a")).Target != nil)
	}
}

// Guards against slots that are idle during the round trip to another region.
func TestRemoteRequestIsSentBeforeSlotIsFree(t *testing.T) {
	for _, c := range []struct {
		transit time.Duration
		after   time.Duration
		sent    bool
	}{
		{0, 220 * time.Millisecond, false},
		{8 * time.Millisecond, 200 * time.Millisecond, false},
		{8 * time.Millisecond, 220 * time.Millisecond, true},
	} {
		s := newScheduler(&roster.Target{ID: "a", Slots: 1})
		at := trainEstimates(t, s, now, map[string]float64{"a": 1})
		submit(t, s, at, request(at, long, "a"))
		at = at.Add(c.after)
		r := request(at, long, "a")
		r.OneWayDelay = c.transit
		assert.Equal(t, submit(t, s, at, r).Target != nil, c.sent, "%v", c)
	}
}

// Guards against late requests that are refused, sent again as new ones, and then
// displace those that can still be answered in time.
func TestLateRequestWaitsBehindTimelyRequests(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"a": 1})
	running := submit(t, s, at, request(at, long, "a"))
	late := submit(t, s, at, request(at, long, "a"))
	at = late.WaitUntil
	assert.NilError(t, s.Expire(at, late))
	inTime := submit(t, s, at, request(at, long, "a"))
	admitted := s.Release(at, running, schedule.Answered)
	assert.Assert(t, len(admitted) == 1 && admitted[0] == inTime)
	var busy *schedule.BusyError
	assert.Assert(t, errors.As(s.Expire(late.WaitUntil, late), &busy))
	assert.Equal(t, len(s.Release(late.WaitUntil, inTime, schedule.Answered)), 0)
}

// Guards against refusals while the only targets are ones that fail now and then.
func TestFailingTargetsAreUsedWithoutAlternative(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2}, &roster.Target{ID: "b", Slots: 2})
	for range 6 {
		s.Release(now, submit(t, s, now, request(now, urgent, "")), schedule.Failed)
	}
	assert.Assert(t, submit(t, s, now, request(now, urgent, "")).Target != nil)
	r := request(now, urgent, "")
	r.RejectLate = true
	_, err := s.Submit(now, r)
	var none *schedule.NoTargetError
	assert.Assert(t, errors.As(err, &none), "want NoTargetError, so that another zone is tried; got %v", err)
}

// Guards against a backoff that continues although the target answers again.
func TestAnswerEndsBackoff(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 4})
	inFlight := submit(t, s, now, request(now, urgent, "a"))
	for range 2 {
		s.Release(now, submit(t, s, now, request(now, urgent, "a")), schedule.Failed)
	}
	_, err := s.Submit(now, request(now, urgent, "a"))
	assert.Assert(t, err != nil)
	s.Release(now.Add(time.Millisecond), inFlight, schedule.Answered)
	assert.Assert(t, submit(t, s, now.Add(time.Millisecond), request(now, urgent, "a")).Target != nil)
}

func ExampleScheduler_Submit() {
	targetList := &roster.Roster{}
	targetList.Replace(now, []*roster.Target{{ID: "a", Service: "s", Zone: "z", Slots: 1}}, 1)
	s := &schedule.Scheduler{Roster: targetList}
	r := schedule.Request{Service: "s", Zone: "z", Objective: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
	first, _ := s.Submit(now, r)
	second, _ := s.Submit(now, r)
	fmt.Println(first.Target.ID, second.Target == nil)
	for _, t := range s.Release(now.Add(200*time.Millisecond), first, schedule.Answered) {
		fmt.Println(t.Target.ID, t == second)
	}
	// Output:
	// a true
	// a true
}

// Guards against a slow target's slot that goes to a request which only a faster target
// answers in time, while another request waits that the slow one answers in time.
func TestSlowTargetGetsRequestThatMeetsObjectiveThere(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "fast", Slots: 1}, &roster.Target{ID: "slow", Slots: 1})
	at := trainEstimates(t, s, now, map[string]float64{"fast": 0.5, "slow": 2})
	fast := submit(t, s, at, request(at, long, ""))
	slow := submit(t, s, at, request(at, long, ""))
	assert.Assert(t, fast.Target.ID == "fast" && slow.Target.ID == "slow")
	tight := request(at, long, "")
	tight.Objective = at.Add(400 * time.Millisecond)
	first := submit(t, s, at, tight)
	second := submit(t, s, at, request(at, long, ""))
	admitted := s.Release(at.Add(60*time.Millisecond), slow, schedule.Answered)
	assert.Assert(t, len(admitted) == 1 && admitted[0] == second)
	admitted = s.Release(at.Add(90*time.Millisecond), fast, schedule.Answered)
	assert.Assert(t, len(admitted) == 1 && admitted[0] == first)
}

// Guards against a target that gets no requests from any instance because one has lost its
// link to it.
func TestFailuresToConnectOfOneInstanceDoNotHarmOthers(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at := now
	for range 20 {
		for range 3 {
			r := request(at, urgent, "a")
			r.Requester = "cut"
			if ticket, err := s.Submit(at, r); err == nil && ticket.Target != nil {
				s.Release(at, ticket, schedule.Unreachable)
			}
		}
		r := request(at, urgent, "a")
		r.Requester = "linked"
		ticket := submit(t, s, at, r)
		assert.Assert(t, ticket.Target != nil)
		at = at.Add(20 * time.Millisecond)
		s.Release(at, ticket, schedule.Answered)
	}
}

// Guards against a target that no instance tries again since those without links to it keep
// reporting it.
func TestInstanceWithLinksTriesTargetThatOthersReport(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at := now
	for range 50 {
		at = at.Add(20 * time.Millisecond)
		for _, requester := range []string{"cut", "cutToo"} {
			r := request(at, urgent, "a")
			r.Requester = requester
			if ticket, err := s.Submit(at, r); err == nil && ticket.Target != nil {
				s.Release(at, ticket, schedule.Unreachable)
			}
		}
	}
	r := request(at, urgent, "a")
	r.Requester = "linked"
	assert.Assert(t, submit(t, s, at, r).Target != nil)
}

// Guards against a target that is down getting a stream of attempts from a large fleet.
func TestTargetThatIsDownGetsFewAttempts(t *testing.T) {
	s := newScheduler(&roster.Target{ID: "a", Slots: 2})
	at, attempts := now, 0
	for at.Before(now.Add(2 * time.Second)) {
		at = at.Add(5 * time.Millisecond)
		for n := range 11 {
			r := request(at, urgent, "a")
			r.Requester = fmt.Sprint("instance", n)
			if ticket, err := s.Submit(at, r); err == nil && ticket.Target != nil {
				attempts++
				s.Release(at, ticket, schedule.Unreachable)
			}
		}
	}
	// Each instance may try twice, and once more after each of its backoffs of 0.2 s and more.
	assert.Assert(t, attempts <= 2*11+2*4, "%d attempts", attempts)
}
