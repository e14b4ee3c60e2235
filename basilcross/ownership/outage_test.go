package ownership_test

import (
	"container/heap"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

type outageSimulation struct {
	*loadSimulation
	lost         string
	unresponsive bool
}

// simulate runs until all keys of the lost target are served by others or by its
// next incarnation, and returns how long that took.
func (o *outageSimulation) simulate(t *testing.T) time.Duration {
	t.Helper()
	began := o.now
	for o.now.Sub(began) < 20*time.Second {
		for len(o.queue) > 0 && !o.queue[0].at.After(o.now) {
			heap.Pop(&o.queue).(timedEvent).do()
		}
		for _, order := range o.manager.Step(o.now, ownership.NewTargets(o.targets)) {
			o.execute(order)
		}
		if o.served() {
			return o.now.Sub(began)
		}
		o.now = o.now.Add(40 * time.Millisecond)
	}
	t.Fatal("the keys are not served again")
	return 0
}

// served reports whether all keys are granted, and none to the lost incarnation.
func (o *outageSimulation) served() bool {
	for _, p := range o.manager.Assignment().Pieces {
		if p.Owner == "" || p.FreeAt > 0 || p.Owner == o.lost && p.Started == 1 {
			return false
		}
	}
	return o.manager.Settled(o.now)
}

func (o *outageSimulation) execute(order ownership.Order) {
	const callTimeout = 450 * time.Millisecond
	switch order := order.(type) {
	case *ownership.Grant:
		if order.Owner.ID == o.lost && order.Owner.Started == 1 && o.unresponsive {
			// The connection hangs, and no other one can be opened.
			sent, outcome := o.now, ownership.Unsent
			if order.Channel != 0 {
				order.ChannelOpened, outcome = time.Unix(1000, 0), ownership.Unknown
			}
			o.after(callTimeout, func() { o.manager.Granted(o.now, sent, order, outcome) })
			return
		}
	case *ownership.Release:
		if order.Owner.ID == o.lost && order.Owner.Started == 1 && o.unresponsive {
			o.after(order.HeldUntil.Sub(o.now)+100*time.Millisecond, func() { o.manager.Released(o.now, order, "", ownership.Unknown) })
			return
		}
	}
	o.loadSimulation.execute(order)
}

// Guards against keys that are not served for too long after a target is lost, in
// each way that the platform can report it; callers must retry until then. They
// must be served again at once if the target is proved to hold nothing, and
// otherwise when its longest hold has expired.
func TestTimeUntilServedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		lose  func(o *outageSimulation)
		limit time.Duration
		// healthyFor is how long the target is healthy before; at least three
		// seconds.
		healthyFor time.Duration
	}{
		{"drains", func(o *outageSimulation) { o.replaceEntry().Draining = true }, time.Second, 0},
		{"entry removed, still answers", func(o *outageSimulation) { o.removeEntry() }, time.Second, 0},
		{"restarts under its name", func(o *outageSimulation) { o.unresponsive = true; o.replaceEntry().Started = 2 }, 2 * time.Second, 0},
		{"stops answering", func(o *outageSimulation) { o.unresponsive = true }, 7 * time.Second, 0},
		{"stops answering, entry removed after 2.6 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2600*time.Millisecond, o.removeEntry)
		}, 7 * time.Second, 0},
		{"stops answering, another target takes its address", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(time.Second, func() {
				o.targets = append(o.targets, &roster.Target{ID: "next", Started: 2, Address: o.replaceEntry().Address, Slots: 3, FirstSeen: o.now})
			})
		}, 2 * time.Second, 0},
		{"stops answering, another service takes its address after 2.4 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 3 * time.Second, 9 * time.Second},
		{"stops answering, an unsharded service takes its address after 2.4 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, false) })
		}, 3 * time.Second, 0},
		{"stops answering soon after its first answer, another service takes its address after 2.4 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 7 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &outageSimulation{loadSimulation: newLoadSimulation(20), lost: "t7"}
			o.loadSimulation.simulate(max(c.healthyFor, 3*time.Second))
			c.lose(o)
			took := o.simulate(t)
			t.Logf("%s: served again after %v", c.name, took)
			assert.Assert(t, took <= c.limit)
		})
	}
}

func (o *outageSimulation) replaceEntry() *roster.Target {
	for i, target := range o.targets {
		if target.ID == o.lost {
			changed := *target
			o.targets[i] = &changed
			return &changed
		}
	}
	return nil
}

func (o *outageSimulation) removeEntry() {
	var rest []*roster.Target
	for _, target := range o.targets {
		if target.ID != o.lost {
			rest = append(rest, target)
		}
	}
	o.targets = rest
}
