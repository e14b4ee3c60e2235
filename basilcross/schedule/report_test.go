package schedule_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/roster"
	"basilcross.example/basilcross/schedule"
	"gotest.tools/v3/assert"
)

// playNoise sends a request each 40 ms to four targets, of which one is three times slower
// for 400 ms, then another one. It returns the share that is answered within 100 ms; the
// work takes 50 ms.
func playNoise(t *testing.T, reported bool) float64 {
	t.Helper()
	var targets []*roster.Target
	for _, id := range []string{"a", "b", "c", "d"} {
		targets = append(targets, &roster.Target{ID: id, Slots: 3})
	}
	s := newScheduler(targets...)
	random := rand.New(rand.NewPCG(1, 2))
	type flight struct {
		ticket *schedule.Ticket
		end    time.Time
	}
	var running []flight
	slow, good, total := "a", 0, 0
	for ms := range 20000 {
		at := now.Add(time.Duration(ms) * time.Millisecond)
		if ms%400 == 0 {
			slow = targets[random.IntN(len(targets))].ID
		}
		kept := running[:0]
		for _, f := range running {
			if f.end.After(at) {
				kept = append(kept, f)
				continue
			}
			if reported {
				f.ticket.ReportedSlowness = 1
				if f.ticket.Target.ID == slow {
					f.ticket.ReportedSlowness = 3
				}
			}
			s.Release(at, f.ticket, schedule.Answered)
		}
		running = kept
		if ms%20 != 0 {
			continue
		}
		ticket := submit(t, s, at, request(at, urgent, ""))
		took := 50 * time.Millisecond
		if ticket.Target.ID == slow {
			took *= 3
		}
		total++
		if took <= 100*time.Millisecond {
			good++
		}
		running = append(running, flight{ticket, at.Add(took)})
	}
	return float64(good) / float64(total)
}

// Guards against requests that go to a target which has just said how slow it is.
func TestReportedSlownessIsAvoided(t *testing.T) {
	silent, reported := playNoise(t, false), playNoise(t, true)
	t.Logf("in time: %.3f by response times, %.3f by reports", silent, reported)
	assert.Assert(t, reported > silent+0.05)
}
