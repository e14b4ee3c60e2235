package ownership_test

import (
	"container/heap"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

// outage is a play with one target that is lost in some way.
type outage struct {
	*loadPlay
	lost string
	// silent is set while the lost target answers nothing.
	silent bool
}

// play goes on until the lost target's keys are all served by others, or by its
// next lifetime, and returns how long that took.
func (o *outage) play(t *testing.T) time.Duration {
	t.Helper()
	began := o.now
	for o.now.Sub(began) < 20*time.Second {
		for len(o.queue) > 0 && !o.queue[0].at.After(o.now) {
			heap.Pop(&o.queue).(timedEvent).do()
		}
		for _, order := range o.manager.Step(o.now, o.list) {
			o.carryOut(order)
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
func (o *outage) served() bool {
	for _, p := range o.manager.Assignment().Pieces {
		if p.Owner == "" || p.FreeAt > 0 || p.Owner == o.lost && p.Born == 1 {
			return false
		}
	}
	return o.manager.Settled(o.now)
}

func (o *outage) carryOut(order ownership.Order) {
	const giveUp = 450 * time.Millisecond
	switch order := order.(type) {
	case *ownership.Grant:
		if order.Owner.ID == o.lost && order.Owner.Started == 1 && o.silent {
			// Its connection hangs, and no other one can be opened.
			sent, out := o.now, ownership.Unsent
			if order.Channel != 0 {
				order.Opened, out = time.Unix(1000, 0), ownership.Unknown
			}
			o.later(giveUp, func() { o.manager.Granted(o.now, sent, order, out) })
			return
		}
	case *ownership.Release:
		if order.Owner.ID == o.lost && order.Owner.Started == 1 && o.silent {
			o.later(order.Until.Sub(o.now)+100*time.Millisecond, func() { o.manager.Released(o.now, order, "", ownership.Unknown) })
			return
		}
	}
	o.loadPlay.carryOut(order)
}

// A target is lost in each of the ways that the platform knows. Its callers are
// told to come back until its keys are served again: at once where there is a
// proof that it holds nothing, and else when its longest hold has run out.
func TestTimeUntilServedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(o *outage)
		most time.Duration
		// before is how long all goes well; 0 is three seconds.
		before time.Duration
	}{
		{"it leaves", func(o *outage) { o.find().Draining = true }, time.Second, 0},
		{"its entry is gone, and it answers", func(o *outage) { o.drop() }, time.Second, 0},
		{"it starts again under its name", func(o *outage) { o.silent = true; o.find().Started = 2 }, 2 * time.Second, 0},
		{"it falls silent", func(o *outage) { o.silent = true }, 7 * time.Second, 0},
		{"it falls silent, and its entry goes after 2.6 s", func(o *outage) {
			o.silent = true
			o.later(2600*time.Millisecond, o.drop)
		}, 7 * time.Second, 0},
		{"it falls silent, and another target has its address", func(o *outage) {
			o.silent = true
			o.later(time.Second, func() {
				o.list = append(o.list, &roster.Target{ID: "next", Started: 2, Address: o.find().Address, Slots: 3, FirstSeen: o.now})
			})
		}, 2 * time.Second, 0},
		{"it falls silent, and another service has its address after 2.4 s", func(o *outage) {
			o.silent = true
			o.later(2400*time.Millisecond, func() { o.manager.Gone(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 3 * time.Second, 9 * time.Second},
		{"it falls silent, and an undivided service has its address after 2.4 s", func(o *outage) {
			o.silent = true
			o.later(2400*time.Millisecond, func() { o.manager.Gone(roster.Incarnation{ID: o.lost, Started: 1}, false) })
		}, 3 * time.Second, 0},
		{"the same, and its answers have only begun", func(o *outage) {
			o.silent = true
			o.later(2400*time.Millisecond, func() { o.manager.Gone(roster.Incarnation{ID: o.lost, Started: 1}, true) })
		}, 7 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := &outage{loadPlay: newLoadPlay(20), lost: "t7"}
			o.loadPlay.play(max(c.before, 3*time.Second))
			c.lose(o)
			took := o.play(t)
			t.Logf("%s: served again after %v", c.name, took)
			assert.Assert(t, took <= c.most)
		})
	}
}

func (o *outage) find() *roster.Target {
	for i, target := range o.list {
		if target.ID == o.lost {
			changed := *target
			o.list[i] = &changed
			return &changed
		}
	}
	return nil
}

func (o *outage) drop() {
	var rest []*roster.Target
	for _, target := range o.list {
		if target.ID != o.lost {
			rest = append(rest, target)
		}
	}
	o.list = rest
}
