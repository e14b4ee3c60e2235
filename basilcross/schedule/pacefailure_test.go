package schedule_test

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// Guards against a target that fails or sheds at random, whatever it is sent, and stays paced for good.
func TestTargetThatFailsAtRandomReachesFullPace(t *testing.T) {
	for _, result := range []schedule.Result{schedule.Shed, schedule.Failed} {
		for _, share := range []float64{0.05, 0.1, 0.2} {
			for seed := range uint64(20) {
				f := newPacedFleet(t)
				f.list(nil)
				random := rand.New(rand.NewPCG(seed, 2))
				began := f.at
				for first := true; first || f.PacedTargets() > 0; first = false {
					tickets := f.sendTo(5, nil)
					f.at = f.at.Add(40 * time.Millisecond)
					for _, k := range tickets {
						r := schedule.Answered
						if random.Float64() < share {
							r = result
						}
						f.Release(f.at, k, r)
					}
					assert.Assert(t, f.at.Sub(began) < time.Minute, "%v %.2f, seed %d: still paced", result, share, seed)
				}
			}
		}
	}
}

// Guards against an owner that fails under two requests and gets two again and again, since its pace begins again with
// each failure.
func TestOwnerThatFailsUnderTwoServesOne(t *testing.T) {
	f := newPacedFleet(t)
	f.list(nil)
	failed, answered := 0, 0
	for range 1000 {
		tickets := f.sendTo(5, func(r *schedule.Request) { r.Target = "c" })
		if len(tickets) > 1 {
			failed += len(tickets)
			f.end(tickets, 10*time.Millisecond, schedule.Failed)
			continue
		}
		answered += len(tickets)
		f.end(tickets, 40*time.Millisecond, schedule.Answered)
	}
	t.Logf("%d failed, %d answered", failed, answered)
	assert.Assert(t, answered > 10*failed)
}

// Guards against a request that is held for the free slot of a paced target to which it is not sent.
func TestPassedOverTargetIsNoFreeSlot(t *testing.T) {
	for _, admission := range []*schedule.Admission{nil, {}} {
		f := newPacedFleet(t)
		f.Admission = admission
		f.list(nil)
		for range 2 {
			f.end(f.sendTo(1, nil), 400*time.Millisecond, schedule.Answered)
		}
		for range 3 {
			submit(t, f.Scheduler, f.at, request(f.at, long, "a"))
		}
		f.at = f.at.Add(10 * time.Millisecond)
		f.end(f.sendTo(1, nil), 0, schedule.Abandoned)
		r := request(f.at, urgent, "")
		r.RejectLate = true
		_, err := f.Submit(f.at, r)
		var busy *schedule.BusyError
		assert.Assert(t, errors.As(err, &busy), "%v", err)
		assert.Assert(t, busy.Wait > 200*time.Millisecond, "%v", busy.Wait)
	}
}

// Guards against a replacement of a scheduler that paces all targets of a zone with each request.
func TestReplacementPacesOnlyWhatItUses(t *testing.T) {
	var list []*roster.Target
	for k := range 70 {
		list = append(list, &roster.Target{ID: string(rune('A'+k/10)) + string(rune('0'+k%10)), Slots: 3})
	}
	s := newScheduler(list...)
	s.Pace = true
	changes := 0
	s.OnPace = func(schedule.PaceChange) { changes++ }
	for at := now; at.Before(now.Add(5 * time.Second)); at = at.Add(time.Second) {
		r := request(at, urgent, "")
		r.Counting = schedule.CountsPart
		k := submit(t, s, at, r)
		s.Release(at.Add(40*time.Millisecond), k, schedule.Answered)
		s.Prune(at.Add(time.Second))
	}
	assert.Assert(t, changes <= 10, "%d changes", changes)
}
