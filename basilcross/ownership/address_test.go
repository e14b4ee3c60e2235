package ownership_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

// scriptedManager plays a manager by hand: orders to t0 end as told, all others are carried
// out at once.
type scriptedManager struct {
	manager *ownership.Manager
	now     time.Time
	targets []*roster.Target
	// answer ends a grant to t0's address.
	answer func(g *ownership.Grant) ownership.Outcome
	orders []ownership.Order
	// holdWrites keeps writes unanswered.
	holdWrites bool
	written    *ownership.Assignment
	channel    uint64
	// lastAnswered is when t0 answered last.
	lastAnswered time.Time
}

func newScriptedManager(recorded *ownership.Assignment) *scriptedManager {
	s := &scriptedManager{now: time.Unix(1000, 0), targets: newTargets(2)}
	s.manager = newManager(s.now, 1, recorded)
	s.manager.Jitter = func(time.Duration) time.Duration { return 0 }
	return s
}

// run goes on for a while, in steps of 40 ms.
func (s *scriptedManager) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(40 * time.Millisecond) {
		for _, o := range s.manager.Step(s.now, s.targets) {
			s.orders = append(s.orders, o)
			s.execute(o)
		}
	}
}

func (s *scriptedManager) execute(o ownership.Order) {
	switch o := o.(type) {
	case *ownership.Record:
		if !s.holdWrites {
			s.written = o.Assignment
			s.manager.Recorded(s.now, true)
		}
	case *ownership.Grant:
		out := ownership.Done
		if o.Address == "t0:1" && s.answer != nil {
			out = s.answer(o)
		}
		if out != ownership.Unsent && out != ownership.ChannelClosed && o.Channel == 0 {
			s.channel++
			o.Channel = s.channel
		}
		if out == ownership.Done && o.Address == "t0:1" {
			s.lastAnswered = s.now
		}
		s.manager.Granted(s.now, s.now, o, out)
	case *ownership.Release:
		s.manager.Released(s.now, o, "h", ownership.Done)
	}
}

// replaceT0 lists a younger target at t0's address, and t0 no more.
func (s *scriptedManager) replaceT0(service string) *roster.Target {
	next := &roster.Target{ID: "next", Started: 2, Address: "t0:1", Slots: 3, FirstSeen: s.now}
	s.targets = s.targets[1:]
	if service != "" {
		s.manager.OwnerReplaced(roster.Incarnation{ID: "t0", Started: 1}, true)
		return nil
	}
	s.targets = append(s.targets, next)
	return next
}

// t1GotT0Keys tells whether t1 was granted any of the keys that it did not have.
func (s *scriptedManager) t1GotT0Keys(since int) bool {
	for _, g := range grantsTo(s.orders[since:], "t1") {
		if g.First < 32768 {
			return true
		}
	}
	return false
}

// The channel of an epoch is closed, and a new one reaches whoever lives at the
// address now. It must not see the same epoch.
func TestEpochBelongsToItsChannel(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	had := grantsTo(s.orders, "t0")
	sent := map[int64]uint64{}
	lost := false
	s.answer = func(g *ownership.Grant) ownership.Outcome {
		if g.Channel != 0 && !lost {
			lost = true
			return ownership.ChannelClosed
		}
		return ownership.Done
	}
	s.run(2 * time.Second)
	assert.Assert(t, lost)
	all := grantsTo(s.orders, "t0")
	assert.Assert(t, len(all) > len(had))
	for _, g := range all {
		assert.Assert(t, sent[g.Epoch] == 0 || sent[g.Epoch] == g.Channel, "epoch %d on two channels", g.Epoch)
		sent[g.Epoch] = g.Channel
	}
}

// A connection is refused, so nothing was sent, and the epoch may go out on the
// next one; but from then on on that one only.
func TestEpochMayBeSentAfterRefusedConnection(t *testing.T) {
	s := newScriptedManager(nil)
	refused := 0
	s.answer = func(*ownership.Grant) ownership.Outcome {
		if refused++; refused < 4 {
			return ownership.Unsent
		}
		return ownership.Done
	}
	s.run(2 * time.Second)
	all := grantsTo(s.orders, "t0")
	assert.Equal(t, all[0].Epoch, all[3].Epoch)
	assert.Assert(t, all[4].Channel != 0)
}

// Another target comes to the address. The keys stay there, under its name and
// a new epoch: it may have taken orders that were meant for the one before.
func TestYoungerTargetInheritsTheKeysAtItsAddress(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	last := grantsTo(s.orders, "t0")[0]
	s.replaceT0("")
	since := len(s.orders)
	s.run(200 * time.Millisecond)
	got := grantsTo(s.orders[since:], "next")
	assert.Assert(t, len(got) > 0)
	assert.Assert(t, got[0].Epoch > last.Epoch)
	assert.Equal(t, got[0].Channel, uint64(0)+s.channel, "on a channel of its own")
	assert.Equal(t, s.written.Find(0).Owner, "next")
	assert.Assert(t, !s.t1GotT0Keys(since))
}

// An order meant for the one before reached the newcomer and was left without an
// answer: it may be applied late. The newcomer leaves at once. Its release is
// worth nothing before a higher epoch has shut that order out.
func TestMisdirectedGrantIsFencedBeforeRelease(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	s.answer = func(*ownership.Grant) ownership.Outcome { return ownership.Unknown }
	s.run(900 * time.Millisecond)
	s.answer = nil
	s.replaceT0("").Draining = true
	since := len(s.orders)
	s.run(400 * time.Millisecond)
	for _, o := range s.orders[since:] {
		if g, ok := o.(*ownership.Grant); ok && g.Owner.ID == "next" {
			break
		}
		_, released := o.(*ownership.Release)
		assert.Assert(t, !released, "released before it was shut out")
	}
	assert.Assert(t, len(grantsTo(s.orders[since:], "next")) > 0)
	assert.Assert(t, s.t1GotT0Keys(since))
}

// The keys were given up, and the store has the moment at which they are free.
// A newcomer gets them sooner; but first the store must say so, or a successor
// gives them to another one at that moment.
func TestInheritedKeysAreRecordedBeforeTheirGrant(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	s.answer = func(*ownership.Grant) ownership.Outcome { return ownership.Unsent }
	s.holdWrites = true
	for range 100 {
		s.run(40 * time.Millisecond)
		if s.manager.Assignment().Find(0).FreeAt > 0 {
			break
		}
	}
	assert.Assert(t, s.manager.Assignment().Find(0).FreeAt > 0)
	s.answer = nil
	s.replaceT0("")
	since := len(s.orders)
	s.run(200 * time.Millisecond)
	assert.Equal(t, len(grantsTo(s.orders[since:], "next")), 0, "a write without it is under way")
	s.manager.Recorded(s.now, true)
	s.run(200 * time.Millisecond)
	assert.Equal(t, len(grantsTo(s.orders[since:], "next")), 0, "the write of it is under way")
	s.manager.Recorded(s.now, true)
	s.holdWrites = false
	s.run(200 * time.Millisecond)
	assert.Assert(t, len(grantsTo(s.orders[since:], "next")) > 0)
}

// The target is at another address under its name. What was its address may
// have another one by now that took its orders, so the keys are asked back there.
func TestTargetThatMovesIsReleasedAtItsFormerAddress(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	s.targets[0] = &roster.Target{ID: "t0", Started: 2, Address: "t0:2", Slots: 3, FirstSeen: s.now}
	since := len(s.orders)
	s.run(400 * time.Millisecond)
	first, ok := s.orders[since].(*ownership.Release)
	assert.Assert(t, ok, "%T", s.orders[since])
	assert.Equal(t, first.Address, "t0:1")
}

// Another service's target has the address. It can have none of the keys if the
// last one that answered there, for long, was still alive too short a time
// before every channel was opened. Otherwise the keys wait for the stray order.
func TestKeysWaitForGrantsSentToAnotherService(t *testing.T) {
	long := 9 * time.Second
	for _, c := range []struct {
		name string
		// steady is for how long the target has answered, and opened how long
		// after its last answer the channel of an order without answer was open.
		steady, opened time.Duration
		waits          bool
	}{
		{"no order since", long, -1, false},
		{"an order within the time", long, 1900 * time.Millisecond, false},
		{"an order after the time", long, 2100 * time.Millisecond, true},
		{"answers that began lately", time.Second, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedManager(nil)
			s.run(800*time.Millisecond + c.steady)
			s.answer = func(g *ownership.Grant) ownership.Outcome {
				if c.opened < 0 || g.Channel != 0 {
					return ownership.Unsent
				}
				g.ChannelOpened = s.lastAnswered.Add(c.opened)
				return ownership.Unknown
			}
			if c.opened >= 0 {
				// The channel is lost, so that the next order opens one.
				first := true
				opened := s.answer
				s.answer = func(g *ownership.Grant) ownership.Outcome {
					if first {
						first = false
						return ownership.ChannelClosed
					}
					return opened(g)
				}
			}
			s.run(900 * time.Millisecond)
			s.replaceT0("other")
			since := len(s.orders)
			s.run(400 * time.Millisecond)
			assert.Equal(t, s.t1GotT0Keys(since), !c.waits)
			s.run(5 * time.Second)
			assert.Assert(t, s.t1GotT0Keys(since))
		})
	}
}

// A target was slow and has ended. Another lifetime has its name, and nothing
// says that it is slow too: it gets its share of the keys.
func TestLatencyIsDroppedWithItsTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	list := newTargets(2)
	for _, target := range list {
		target.FirstSeen = now
	}
	k := newManager(now, 1, nil)
	k.SetLatency("t0", time.Second)
	k.SetLatency("t1", 100*time.Millisecond)
	k.Step(now, list[1:])
	stepUntilIdle(k, now.Add(2*time.Second), list)
	a := k.Assignment()
	assert.Equal(t, len(a.Pieces), 2)
	assert.Assert(t, a.Pieces[0].Last > ownership.KeyCount/2-1000 && a.Pieces[0].Last < ownership.KeyCount/2+1000, "%v", a.Pieces)
}

// The write that gives a newcomer the given-up keys is one that the store never
// takes. What its address may hold runs out before others get them.
func TestKeysWaitIfTheWriteFails(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	held := s.lastAnswered.Add(holds.Normal * 102 / 100)
	s.answer = func(*ownership.Grant) ownership.Outcome { return ownership.Unsent }
	s.run(2200 * time.Millisecond)
	assert.Assert(t, s.written.Find(0).FreeAt > 0)
	s.replaceT0("")
	s.holdWrites = true
	s.run(80 * time.Millisecond)
	since := len(s.orders)
	s.manager.Recorded(s.now, false)
	s.holdWrites = false
	for s.now.Before(held) {
		s.run(40 * time.Millisecond)
		assert.Assert(t, !s.t1GotT0Keys(since))
		assert.Equal(t, len(grantsTo(s.orders[since:], "next")), 0)
	}
}

// A release of stray keys reaches the newcomer and gets no answer. A second one,
// later, is answered at once though the work has not ended: it proves nothing,
// also after the newcomer got the keys under its own name.
func TestUnansweredReleaseCountsForTheInheritor(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	s.targets = s.targets[1:]
	for _, o := range s.manager.Step(s.now, s.targets) {
		if r, ok := o.(*ownership.Release); ok && r.Address == "t0:1" {
			s.manager.Released(s.now, r, "", ownership.Unknown)
			continue
		}
		s.execute(o)
	}
	next := &roster.Target{ID: "next", Started: 2, Address: "t0:1", Slots: 3, FirstSeen: s.now}
	s.targets = append(s.targets, next)
	s.run(300 * time.Millisecond)
	assert.Assert(t, len(grantsTo(s.orders, "next")) > 0)
	next.Draining = true
	since := len(s.orders)
	s.run(300 * time.Millisecond)
	assert.Assert(t, !s.t1GotT0Keys(since))
	s.run(holds.Normal * 11 / 10)
	assert.Assert(t, s.t1GotT0Keys(since))
}

// Two divided services may have the same address one after the other. Their
// epochs are numbered together, so a target that took an order of the other
// service's, too, never has the epoch of another one.
func TestServicesShareEpochNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	epochs := &ownership.Epochs{Term: 1}
	seen := map[int64]bool{}
	for _, service := range []string{"lists", "others"} {
		k := &ownership.Manager{Service: service, Term: 1, Epochs: epochs, Holds: holds}
		k.BeginTerm(now, nil, holds.Long, storeTime(now))
		for _, o := range stepUntilIdle(k, now, newTargets(3)) {
			if g, ok := o.(*ownership.Grant); ok {
				assert.Assert(t, !seen[g.Epoch], "epoch %d of both services", g.Epoch)
				seen[g.Epoch] = true
			}
		}
	}
	assert.Equal(t, len(seen), 6)
}
