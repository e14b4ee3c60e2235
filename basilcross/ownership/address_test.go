package ownership_test

import (
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
	"gotest.tools/v3/assert"
)

// scriptedManager drives a manager. Grants to t0 end with a scripted outcome, other
// orders succeed at once.
type scriptedManager struct {
	manager *ownership.Manager
	now     time.Time
	targets []*roster.Target
	// answer returns the outcome of a grant to t0's address; nil lets it succeed.
	answer func(g *ownership.Grant) ownership.Outcome
	orders []ownership.Order
	// holdWrites leaves writes unanswered.
	holdWrites   bool
	written      *ownership.Assignment
	channel      uint64
	lastAnswered time.Time
}

func newScriptedManager(recorded *ownership.Assignment) *scriptedManager {
	s := &scriptedManager{now: time.Unix(1000, 0), targets: newTargets(2)}
	s.manager = newManager(s.now, 1, recorded)
	s.manager.Jitter = func(time.Duration) time.Duration { return 0 }
	return s
}

// run advances the time by d, in steps of 40 ms.
func (s *scriptedManager) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(40 * time.Millisecond) {
		for _, o := range s.manager.Step(s.now, ownership.NewTargets(s.targets)) {
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
		outcome := ownership.Done
		if o.Address == "t0:1" && s.answer != nil {
			outcome = s.answer(o)
		}
		if outcome != ownership.Unsent && outcome != ownership.ChannelClosed && o.Channel == 0 {
			s.channel++
			o.Channel = s.channel
		}
		if outcome == ownership.Done && o.Address == "t0:1" {
			s.lastAnswered = s.now
		}
		s.manager.Granted(s.now, s.now, o, outcome)
	case *ownership.Release:
		s.manager.Released(s.now, o, "h", ownership.Done)
	}
}

// replaceT0 removes t0 from the list. A younger target of this service (if service
// is empty) or another service's target gets its address.
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

// t1GotT0Keys reports whether t1 was granted t0's keys since the given order.
func (s *scriptedManager) t1GotT0Keys(since int) bool {
	for _, g := range grantsTo(s.orders[since:], "t1") {
		if g.First < 32768 {
			return true
		}
	}
	return false
}

// Guards against an epoch that two targets receive: its channel is closed, and
// a new one reaches the target now at the address.
func TestEpochBelongsToItsChannel(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	before := grantsTo(s.orders, "t0")
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
	assert.Assert(t, len(all) > len(before))
	for _, g := range all {
		assert.Assert(t, sent[g.Epoch] == 0 || sent[g.Epoch] == g.Channel, "epoch %d on two channels", g.Epoch)
		sent[g.Epoch] = g.Channel
	}
}

// Guards against a new epoch after a refused connection: the epoch was not sent, so
// it may be sent on the next connection, and then only on that one.
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

// Guards against granting keys elsewhere when a younger target has their owner's
// address: it may have received the owner's orders, so it keeps the keys under a
// new epoch.
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

// Guards against trusting a release while a misdirected grant is in doubt: the
// younger target received it, gave no answer and drains. Its release counts only
// after a higher epoch has fenced that grant.
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
		assert.Assert(t, !released, "released before the grant in doubt was fenced")
	}
	assert.Assert(t, len(grantsTo(s.orders[since:], "next")) > 0)
	assert.Assert(t, s.t1GotT0Keys(since))
}

// Guards against a grant that the store does not have: it records abandoned keys as
// free from some time on, and a younger target inherits them earlier. A later
// coordinator would give them to another target at that time.
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
	assert.Equal(t, len(grantsTo(s.orders[since:], "next")), 0, "a write without the new owner is in flight")
	s.manager.Recorded(s.now, true)
	s.run(200 * time.Millisecond)
	assert.Equal(t, len(grantsTo(s.orders[since:], "next")), 0, "the write of the new owner is in flight")
	s.manager.Recorded(s.now, true)
	s.holdWrites = false
	s.run(200 * time.Millisecond)
	assert.Assert(t, len(grantsTo(s.orders[since:], "next")) > 0)
}

// Guards against releasing keys at the new address of a target that moved: another
// target may have received its orders at the former one.
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

// Guards against two holders after another service's target got the address. It can
// hold no keys if the former owner answered for long and was last alive less than
// the reuse time before each channel was opened. Otherwise a misdirected grant must
// expire first.
func TestKeysWaitForGrantsSentToAnotherService(t *testing.T) {
	longTime := 9 * time.Second
	for _, c := range []struct {
		name string
		// answering is how long the target has answered, and opened how long after
		// its last answer the channel of an unanswered order was opened; negative
		// for no such order.
		answering, opened time.Duration
		waits             bool
	}{
		{"no order without an answer", longTime, -1, false},
		{"channel opened within the reuse time", longTime, 1900 * time.Millisecond, false},
		{"channel opened after the reuse time", longTime, 2100 * time.Millisecond, true},
		{"answers began recently", time.Second, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newScriptedManager(nil)
			s.run(800*time.Millisecond + c.answering)
			s.answer = func(g *ownership.Grant) ownership.Outcome {
				if c.opened < 0 || g.Channel != 0 {
					return ownership.Unsent
				}
				g.ChannelOpened = s.lastAnswered.Add(c.opened)
				return ownership.Unknown
			}
			if c.opened >= 0 {
				// The channel is closed, so that the next order opens another.
				first := true
				answerOpened := s.answer
				s.answer = func(g *ownership.Grant) ownership.Outcome {
					if first {
						first = false
						return ownership.ChannelClosed
					}
					return answerOpened(g)
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

// Guards against a latency that outlasts its target: the next incarnation under the
// name must get its share of the keys.
func TestLatencyIsDroppedWithItsTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	targets := newTargets(2)
	for _, target := range targets {
		target.FirstSeen = now
	}
	m := newManager(now, 1, nil)
	m.SetLatency("t0", time.Second)
	m.SetLatency("t1", 100*time.Millisecond)
	m.Step(now, ownership.NewTargets(targets[1:]))
	stepUntilIdle(m, now.Add(2*time.Second), targets)
	a := m.Assignment()
	assert.Equal(t, len(a.Pieces), 2)
	assert.Assert(t, a.Pieces[0].Last > ownership.KeyCount/2-1000 && a.Pieces[0].Last < ownership.KeyCount/2+1000, "%v", a.Pieces)
}

// Guards against two holders when the write that gives abandoned keys to a
// younger target fails: what that target may hold must expire first.
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

// Guards against trusting a repeated release: the first one reached the younger
// target and got no answer, the second is answered at once though the work has not
// ended. It proves nothing, even after the younger target was granted the keys.
func TestUnansweredReleaseCountsForTheInheritor(t *testing.T) {
	s := newScriptedManager(nil)
	s.run(2 * time.Second)
	s.targets = s.targets[1:]
	for _, o := range s.manager.Step(s.now, ownership.NewTargets(s.targets)) {
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

// Guards against equal epochs in two sharded services that use an address one
// after the other: a target may receive orders of both.
func TestServicesShareEpochNumbers(t *testing.T) {
	now := time.Unix(1000, 0)
	epochs := &ownership.Epochs{Term: 1}
	issued := map[int64]bool{}
	for _, service := range []string{"lists", "others"} {
		m := &ownership.Manager{Service: service, Term: 1, Epochs: epochs, Holds: holds}
		m.BeginTerm(now, nil, holds.Long, storeTime(now))
		for _, o := range stepUntilIdle(m, now, newTargets(3)) {
			if g, ok := o.(*ownership.Grant); ok {
				assert.Assert(t, !issued[g.Epoch], "epoch %d was issued for both services", g.Epoch)
				issued[g.Epoch] = true
			}
		}
	}
	assert.Equal(t, len(issued), 6)
}
