package schedule_test

import (
	"errors"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// playShared plays four seconds of load on a region of four targets with three slots each.
// Bound requests (40 ms, the given number per second) can be served there only; as many
// others of equal work can be served elsewhere too. It returns the share of the bound ones
// that were answered within their objective, and the number of others that were served here.
func playShared(t *testing.T, alternative bool, perSecond int) (inTime float64, others int) {
	t.Helper()
	s := newScheduler(&roster.Target{ID: "a", Slots: 3}, &roster.Target{ID: "b", Slots: 3}, &roster.Target{ID: "c", Slots: 3}, &roster.Target{ID: "d", Slots: 3})
	s.IsBound = func(kind uint32) bool { return kind == urgent }
	s.HasAlternative = func(*schedule.Request) bool { return alternative }
	type flight struct {
		ticket *schedule.Ticket
		end    time.Time
	}
	var running []flight
	admit := func(at time.Time, list []*schedule.Ticket) {
		for _, ticket := range list {
			running = append(running, flight{ticket, at.Add(40 * time.Millisecond)})
		}
	}
	total, good := 0, 0
	for ms := range 4000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		kept := running[:0]
		var ended []flight
		for _, f := range running {
			if f.end.After(at) {
				kept = append(kept, f)
			} else {
				ended = append(ended, f)
			}
		}
		running = kept
		for _, f := range ended {
			r := f.ticket.Request
			if r.Kind == urgent && !at.After(r.Objective) {
				good++
			} else if r.Kind != urgent {
				others++
			}
			admit(at, s.Release(at, f.ticket, schedule.Answered))
		}
		// Five at once, alternating between the kinds.
		if ms%(5000/perSecond) != 0 {
			continue
		}
		for range 5 {
			for _, kind := range []uint32{long, urgent} {
				r := request(at, kind, "")
				// Both kinds of reads and bookings have the same objective.
				r.Objective, r.RejectLate = at.Add(100*time.Millisecond), true
				if kind == urgent {
					total++
				}
				ticket, err := s.Submit(at, r)
				var busy *schedule.BusyError
				switch {
				case errors.As(err, &busy):
				case ticket.Target != nil:
					admit(at, []*schedule.Ticket{ticket})
				}
			}
		}
	}
	return float64(good) / float64(total), others
}

// Guards against requests that could be served in another region and take the slots of
// those that cannot, on a day when the latter need nearly all of them.
func TestBoundRequestsKeepTheirSlots(t *testing.T) {
	shared, _ := playShared(t, false, 250)
	kept, others := playShared(t, true, 250)
	t.Logf("bound requests in time: %.3f shared, %.3f kept, others served here: %d", shared, kept, others)
	assert.Assert(t, kept > 0.95, "%.3f", kept)
	assert.Assert(t, shared < kept)
}

// Guards against slots that stay free for bound requests on a calm day: crossing to another
// region costs others time and money.
func TestOthersUseTheSlotsThatBoundRequestsLeave(t *testing.T) {
	_, others := playShared(t, true, 50)
	assert.Assert(t, others > 190, "%d of 200", others)
}
