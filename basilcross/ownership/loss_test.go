package ownership_test

import (
	"container/heap"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

// outageSimulation is a play with one target that is lost in some way.
type outageSimulation struct {
	*loadSimulation
	lost string
	// unresponsive is set while the lost target answers nothing.
	unresponsive bool
}

// simulate goes on until the lost target's keys are all served by others, or by its
// next lifetime, and returns how long that took.
func (o *outageSimulation) simulate(t *testing.T) time.Duration {
	t.Helper()
	began := o.now
	for o.now.Sub(began) < 20*time.Second {
		for len(o.queue) > 0 && !o.queue[0].at.After(o.now) {
			heap.Pop(&o.queue).(timedEvent).do()
		}
		for _, order := range o.manager.Step(o.now, o.targets) {
			o.execute(order)
		}
		if o.served() {
			return o.now.Sub(began)
		}
		o.now = o.now.Add(40 * time.Millisecond)
	}
	t.Fatal("not served again")
	return 0
}

// served tells whether no key is with the lost lifetime any more, and all are
// granted to somebody.
func (o *outageSimulation) served() bool {
	for _, p := range o.manager.Assignment().Pieces {
		if p.Owner == "" || p.FreeAt > 0 || p.Owner == o.lost && p.Started == 1 {
			return false
		}
	}
	return o.manager.Settled(o.now)
}

func (o *outageSimulation) execute(order ownership.Order) {
	const giveUp = 450 * time.Millisecond
	switch order := order.(type) {
	case *ownership.Grant:
		if order.Owner.ID == o.lost && order.Owner.Started == 1 && o.unresponsive {
			// Its connection hangs, and no other one can be opened.
			sent, out := o.now, ownership.Unsent
			if order.Channel != 0 {
				order.ChannelOpened, out = time.Unix(1000, 0), ownership.Unknown
			}
			o.after(giveUp, func() { o.manager.Granted(o.now, sent, order, out) })
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

// A target is lost in each of the ways that the platform knows. Its callers are
// told to come back until its keys are served again: at once where there is a
// proof that it holds nothing, and else when its longest hold has run out.
func TestTimeUntilServedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(o *outageSimulation)
		most time.Duration
		// before is how long all goes well; 0 is three seconds.
		before time.Duration
	}{
		{"it leaves", func(o *outageSimulation) { o.replaceEntry().Draining = true }, time.Second, 0},
		{"its entry is gone, and it answers", func(o *outageSimulation) { o.removeEntry() }, time.Second, 0},
		{"it starts again under its name", func(o *outageSimulation) { o.unresponsive = true; o.replaceEntry().Started = 2 }, 2 * time.Second, 0},
		{"it falls silent", func(o *outageSimulation) { o.unresponsive = true }, 7 * time.Second, 0},
		{"it falls silent, and its entry goes after 2.6 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2600*time.Millisecond, o.removeEntry)
		}, 7 * time.Second, 0},
		{"it falls silent, and another target has its address", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(time.Second, func() {
				o.targets = append(o.targets, &roster.Target{ID: "next", Started: 2, Address: o.replaceEntry().Address, Slots: 3, FirstSeen: o.now})
			})
		}, 2 * time.Second, 0},
		{"it falls silent, and another service has its address after 2.4 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 3 * time.Second, 9 * time.Second},
		{"it falls silent, and an undivided service has its address after 2.4 s", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, false) })
		}, 3 * time.Second, 0},
		{"the same, and its answers have only begun", func(o *outageSimulation) {
			o.unresponsive = true
			o.after(2400*time.Millisecond, func() { o.manager.OwnerReplaced(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 7 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &outageSimulation{loadSimulation: newLoadSimulation(20), lost: "t7"}
			o.loadSimulation.simulate(max(c.before, 3*time.Second))
			c.lose(o)
			took := o.simulate(t)
			t.Logf("%s: served again after %v", c.name, took)
			assert.Assert(t, took <= c.most)
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
