package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

// largeFleet returns a manager, the targets of its service, and a time at which they have
// been listed for long.
func largeFleet(n int) (*ownership.Manager, []*roster.Target, time.Time) {
	start := time.Unix(1000, 0)
	targets := make([]*roster.Target, n)
	for k := range targets {
		targets[k] = &roster.Target{
			ID: fmt.Sprintf("t%05d", k), Started: 1, Service: "s", Address: fmt.Sprintf("10.0.%d.%d:80", k/250, k%250),
			Slots: 3, FirstSeen: start, Zone: fmt.Sprintf("z%d", k%8),
		}
	}
	m := &ownership.Manager{Service: "s", Term: 1, Holds: holds, Jitter: func(time.Duration) time.Duration { return 0 }}
	now := start.Add(time.Minute)
	m.BeginTerm(now, nil, 0, 0)
	return m, targets, now
}

// answer answers grants, and records what the orders ask for. It returns the grants.
func answer(m *ownership.Manager, now time.Time, orders []ownership.Order) (grants []*ownership.Grant) {
	for _, o := range orders {
		switch o := o.(type) {
		case *ownership.Record:
			m.Recorded(now, true)
		case *ownership.Grant:
			m.Granted(now, now, o, ownership.Done)
			grants = append(grants, o)
		}
	}
	return grants
}

// Guards against a coordinator that spends all its processor time, and the link between
// regions, on renewals: their number grew with the targets.
func TestRenewalsOfLargeFleetArePaced(t *testing.T) {
	const step = 40 * time.Millisecond
	for _, n := range []int{1000, 5606} {
		m, targets, now := largeFleet(n)
		listed := ownership.NewTargets(targets)
		sent := map[int]time.Time{}
		hold := map[int]time.Duration{}
		count := 0
		begun := now
		for ; now.Sub(begun) < 12*time.Second; now = now.Add(step) {
			for _, g := range answer(m, now, m.Step(now, listed)) {
				if last, again := sent[g.First]; again {
					// A renewal that is lost, and the loss of the coordinator right after
					// it, must fit into the hold.
					assert.Assert(t, now.Sub(last)+2*time.Second < hold[g.First], "%d targets: renewed after %v of %v", n, now.Sub(last), hold[g.First])
				}
				assert.Assert(t, g.Hold <= holds.Long)
				sent[g.First], hold[g.First] = now, g.Hold
				count++
			}
		}
		assert.Assert(t, len(sent) > n*9/10)
		assert.Assert(t, float64(count-len(sent))/12 < 1600, "%d targets: %d renewals in 12 s", n, count-len(sent))
	}
}

// Measures the first assignment of all keys, and a round of balancing after a quarter of the
// targets were added.
func BenchmarkAssignAll(b *testing.B) {
	for _, n := range []int{300, 3000, 6000, 12000} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			for b.Loop() {
				m, targets, now := largeFleet(n)
				orders := m.Step(now, ownership.NewTargets(targets[:n*4/5]))
				assert.Equal(b, len(orders), 1)
				answer(m, now, orders)
				answer(m, now, m.Step(now, ownership.NewTargets(targets[:n*4/5])))
				m.Step(now.Add(time.Second), ownership.NewTargets(targets))
			}
		})
	}
}
