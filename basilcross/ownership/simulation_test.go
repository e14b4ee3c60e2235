package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
)

// simulation runs a manager and its successors against targets that handle grants
// as the platform specifies: a hold counts from the call's arrival on a clock up to
// 2 % slow, an epoch lower than one seen is refused, and calls without an answer
// may be applied seconds later. Orders go to an address, and the target running
// there accepts them, whatever its name. The simulation fails as soon as two
// targets hold a key at once, or one accepts a key with an epoch that another has
// had.
type simulation struct {
	t     *testing.T
	seed  uint64
	rand  *rand.Rand
	now   time.Time
	queue timedEvents
	// running has the process at each address, and otherServices the entries of
	// other services' targets.
	running       map[string]*fakeTarget
	listed        []*roster.Target
	otherServices []*roster.Target
	manager       *ownership.Manager
	term          int64
	written       *ownership.Assignment
	epochsSeen    map[int]map[*fakeTarget]int64
	startCount    int
	// connections are the opened connections; channel n is connections[n-1].
	connections []fakeConnection
	// congestedUntil is when the queue of the link to a zone is empty again; zones are
	// assigned to targets only if congestion is set.
	congestion     bool
	congestedUntil map[string]time.Time
	// cutUntil is until when the coordinator does not reach the target at an address; there are
	// such cuts only if cuts is set. With liveChannels its open connections go on.
	cuts         bool
	cutUntil     map[string]time.Time
	liveChannels bool
	// frozenUntil is when the coordinator resumes, storeDownUntil when the store
	// does.
	frozenUntil, storeDownUntil time.Time
	endedAt                     map[string]time.Time
	history                     []string
	reportedGone                map[roster.Incarnation]bool
}

func (s *simulation) logf(format string, args ...any) {
	s.history = append(s.history, fmt.Sprintf("%7.3f ", s.now.Sub(simulationStart).Seconds())+fmt.Sprintf(format, args...))
}

func (s *simulation) failf(format string, args ...any) {
	s.t.Helper()
	s.t.Log("\n" + strings.Join(s.history[max(0, len(s.history)-400):], "\n"))
	s.t.Fatalf("seed %d: "+format, append([]any{s.seed}, args...)...)
}

var simulationStart = time.Unix(1000, 0)

// fakeTarget is one process. It has ended if another one, or none, runs at its
// address.
type fakeTarget struct {
	name         string
	address      string
	entry        *roster.Target
	highestEpoch map[int]int64
	heldUntil    map[int]time.Time
	drift        float64
}

// fakeConnection is a connection and the process at its other end.
type fakeConnection struct {
	to     *fakeTarget
	opened time.Time
}

type timedEvent struct {
	at time.Time
	do func()
}

type timedEvents []timedEvent

func (h timedEvents) Len() int           { return len(h) }
func (h timedEvents) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h timedEvents) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timedEvents) Push(x any)        { *h = append(*h, x.(timedEvent)) }
func (h *timedEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (s *simulation) after(d time.Duration, do func()) {
	heap.Push(&s.queue, timedEvent{s.now.Add(d), do})
}

// whenAwake calls do, which calls the manager, once the coordinator is not frozen.
func (s *simulation) whenAwake(do func()) {
	if s.now.Before(s.frozenUntil) {
		s.after(s.frozenUntil.Sub(s.now), do)
		return
	}
	do()
}

// whenStoreUp calls do, which needs the store, once the store answers.
func (s *simulation) whenStoreUp(do func()) {
	if s.now.Before(s.storeDownUntil) {
		s.after(s.storeDownUntil.Sub(s.now), do)
		return
	}
	do()
}

// sampleInterval is the distance between the sampled keys, which represent all.
const sampleInterval = 512

func sampledKeys(first, last int) (keys []int) {
	for k := (first + sampleInterval - 1) / sampleInterval * sampleInterval; k <= last; k += sampleInterval {
		keys = append(keys, k)
	}
	return keys
}

func (s *simulation) applyGrant(to *fakeTarget, arrived time.Time, o *ownership.Grant) ownership.Outcome {
	if s.running[to.address] != to {
		return ownership.Unknown
	}
	s.logf("%s applies a grant of %d to %d for %v, epoch %d, channel %d, received %v ago", to.name, o.First, o.Last, o.Owner, o.Epoch, o.Channel, s.now.Sub(arrived))
	keys := sampledKeys(o.First, o.Last)
	for _, k := range keys {
		if to.highestEpoch[k] > o.Epoch {
			return ownership.Stale
		}
	}
	until := arrived.Add(time.Duration(float64(o.Hold) * to.drift))
	for _, k := range keys {
		to.highestEpoch[k] = o.Epoch
		if until.Before(s.now) {
			continue
		}
		s.checkExclusive(k, to, o)
		if until.After(to.heldUntil[k]) {
			to.heldUntil[k] = until
		}
	}
	return ownership.Done
}

func (s *simulation) checkExclusive(k int, to *fakeTarget, o *ownership.Grant) {
	for _, other := range s.running {
		if other != to && other.heldUntil[k].After(s.now) {
			s.failf("key %d is held by %s and granted to %s, for %v", k, other.name, to.name, o.Owner)
		}
	}
	if s.epochsSeen[k] == nil {
		s.epochsSeen[k] = map[*fakeTarget]int64{}
	}
	for other, epoch := range s.epochsSeen[k] {
		if other != to && epoch >= o.Epoch {
			s.failf("key %d is granted to %s, for %v, with epoch %d, but %s has had epoch %d", k, to.name, o.Owner, o.Epoch, other.name, epoch)
		}
	}
	s.epochsSeen[k][to] = max(s.epochsSeen[k][to], o.Epoch)
}

const callTimeout = 450 * time.Millisecond

func (s *simulation) execute(m *ownership.Manager, o ownership.Order) {
	delay := time.Duration(s.rand.IntN(20)) * time.Millisecond
	switch o := o.(type) {
	case *ownership.Record:
		s.after(delay, func() {
			s.whenStoreUp(func() {
				if m == s.manager {
					s.written = o.Assignment
					s.whenAwake(func() { m.Recorded(s.now, true) })
				}
			})
		})
	case *ownership.Grant:
		s.executeGrant(m, o, delay)
	case *ownership.Release:
		s.after(delay, func() { s.executeRelease(m, o) })
	}
}

// connect returns the process at the other end of the order's channel, or of a new
// one.
func (s *simulation) connect(o *ownership.Grant) (*fakeTarget, ownership.Outcome) {
	cut := s.now.Before(s.cutUntil[o.Address])
	if cut && o.Channel != 0 && !s.liveChannels {
		// Its bytes are lost, since the connection is reset after the timeout.
		return nil, ownership.Unknown
	}
	if o.Channel == 0 {
		to := s.running[o.Address]
		if to == nil || cut {
			// The port refuses the connection.
			return nil, ownership.Unsent
		}
		s.connections = append(s.connections, fakeConnection{to, s.now})
		o.Channel, o.ChannelOpened = uint64(len(s.connections)), s.now
		return to, ownership.Done
	}
	to := s.connections[o.Channel-1].to
	o.ChannelOpened = s.connections[o.Channel-1].opened
	if s.running[to.address] != to || s.rand.IntN(200) == 0 {
		return nil, ownership.ChannelClosed
	}
	return to, ownership.Done
}

func (s *simulation) executeGrant(m *ownership.Manager, o *ownership.Grant, delay time.Duration) {
	sent := s.now
	chance := s.rand.IntN(100)
	if until := s.congestedUntil[s.zoneOf(o.Address)]; s.now.Before(until) {
		s.queueGrant(m, o, until)
		return
	}
	s.after(delay, func() {
		to, outcome := s.connect(o)
		if to == nil {
			s.whenAwake(func() { m.Granted(s.now, sent, o, outcome) })
			return
		}
		arrived := s.now
		switch {
		case chance < 6:
			// Applied late: no answer arrives, and the hold counts from the call's
			// arrival.
			s.after(2*time.Second+time.Duration(s.rand.IntN(10_000))*time.Millisecond, func() { s.applyGrant(to, arrived, o) })
		case chance < 10:
			s.applyGrant(to, arrived, o)
		default:
			outcome := s.applyGrant(to, arrived, o)
			s.whenAwake(func() { m.Granted(s.now, sent, o, outcome) })
			return
		}
		s.after(callTimeout, func() { s.whenAwake(func() { m.Granted(s.now, sent, o, ownership.Unknown) }) })
	})
}

func (s *simulation) executeRelease(m *ownership.Manager, o *ownership.Release) {
	from := s.running[o.Address]
	if from == nil || s.now.Before(s.cutUntil[o.Address]) || s.rand.IntN(20) == 0 {
		s.after(callTimeout, func() { s.whenAwake(func() { m.Released(s.now, o, "", ownership.Unknown) }) })
		return
	}
	s.after(time.Duration(s.rand.IntN(600))*time.Millisecond, func() {
		if s.running[o.Address] != from {
			s.whenAwake(func() { m.Released(s.now, o, "", ownership.Unknown) })
			return
		}
		for _, key := range sampledKeys(o.First, o.Last) {
			delete(from.heldUntil, key)
		}
		s.logf("%s released %d to %d for %v", from.name, o.First, o.Last, o.Owner)
		s.whenAwake(func() { m.Released(s.now, o, "h", ownership.Done) })
	})
}

// startTarget starts a process at a free address, and returns its unlisted entry.
func (s *simulation) startTarget(id, address string) *roster.Target {
	s.startCount++
	s.logf("%s starts at %s", id, address)
	entry := &roster.Target{ID: id, Started: s.now.UnixMilli(), Address: address, Slots: 3, Zone: s.zoneOf(address)}
	s.running[address] = &fakeTarget{
		name: fmt.Sprintf("%s/%d", id, s.startCount), address: address, entry: entry,
		highestEpoch: map[int]int64{}, heldUntil: map[int]time.Time{}, drift: 1 + 0.02*s.rand.Float64(),
	}
	return entry
}

// addEntry lists an entry, replacing the one under the same ID.
func (s *simulation) addEntry(t *roster.Target) {
	s.logf("%v is listed", t.Incarnation())
	t.FirstSeen = s.now
	for i, old := range s.listed {
		if old.ID == t.ID {
			s.listed[i] = t
			return
		}
	}
	s.listed = append(s.listed, t)
}

// removeEntry removes an entry, unless it is another incarnation's by now.
func (s *simulation) removeEntry(incarnation roster.Incarnation) {
	for i, t := range s.listed {
		if t.Incarnation() != incarnation {
			continue
		}
		s.listed = append(s.listed[:i:i], s.listed[i+1:]...)
		if len(s.listed) < 3 {
			id := fmt.Sprintf("n%d", s.startCount)
			s.addEntry(s.startTarget(id, id))
		}
		return
	}
}

func (s *simulation) randomBelow(d time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(d)))
}

// injectFault causes one random fault or planned change.
func (s *simulation) injectFault() {
	i := s.rand.IntN(len(s.listed))
	t := s.listed[i]
	switch s.rand.IntN(10) {
	case 0:
		draining := *t
		draining.Draining = true
		s.listed[i] = &draining
		s.after(2*time.Second, func() {
			if p := s.running[t.Address]; p != nil && p.entry.Incarnation() == t.Incarnation() {
				s.stopTarget(t.Address)
			}
		})
	case 1:
		s.stopTarget(t.Address)
	case 2:
		s.replaceTarget(t, t.ID, 300*time.Millisecond)
	case 3:
		id := fmt.Sprintf("n%d", s.startCount)
		s.addEntry(s.startTarget(id, id))
	case 4:
		s.takeOver()
	case 5:
		key := s.rand.IntN(ownership.KeyCount)
		for i := range 40 {
			s.manager.Load.Add(s.now, (key+i*100)%ownership.KeyCount, 0.5)
		}
	case 6:
		s.replaceTarget(t, fmt.Sprintf("r%d", s.startCount), 0)
	case 7:
		s.reuseAddress(t)
	case 8:
		s.storeOutage(s.randomBelow(6 * time.Second))
	case 9:
		// Short enough that the coordinator continues with the rest of its lease.
		s.frozenUntil = s.now.Add(s.randomBelow(1500 * time.Millisecond))
		s.logf("the coordinator is frozen until %.3f", s.frozenUntil.Sub(simulationStart).Seconds())
	}
}

// storeOutage makes the store unreachable. The coordinator continues until its
// lease expires, and another one begins a term when the store is back.
func (s *simulation) storeOutage(d time.Duration) {
	const lease = 2 * time.Second
	s.storeDownUntil = s.now.Add(d)
	s.logf("the store is unreachable until %.3f", s.storeDownUntil.Sub(simulationStart).Seconds())
	if d < lease {
		return
	}
	s.after(lease, func() { s.frozenUntil = s.storeDownUntil })
	s.after(d, s.takeOver)
}

// replaceTarget ends a target and starts another one at its address, under the same
// or another name, before or after the list shows either change.
func (s *simulation) replaceTarget(t *roster.Target, id string, minDelay time.Duration) {
	s.stopTarget(t.Address)
	s.after(minDelay+s.randomBelow(2*time.Second), func() {
		if s.running[t.Address] != nil {
			return
		}
		next := s.startTarget(id, t.Address)
		process := s.running[t.Address]
		s.after(s.randomBelow(2500*time.Millisecond), func() {
			s.whenStoreUp(func() {
				s.addEntry(next)
				if s.running[t.Address] != process {
					// The process has ended meanwhile.
					s.after(entryRemovalDelay, func() { s.whenStoreUp(func() { s.removeEntry(next.Incarnation()) }) })
				}
			})
		})
	})
}

// reuseAddress ends a target and gives its address to another service, which the
// platform does two seconds later at the earliest.
func (s *simulation) reuseAddress(t *roster.Target) {
	s.stopTarget(t.Address)
	s.after(2*time.Second+s.randomBelow(2*time.Second), func() {
		if s.running[t.Address] != nil || s.now.Sub(s.endedAt[t.Address]) < 2*time.Second {
			return
		}
		other := s.startTarget(fmt.Sprintf("o%d", s.startCount), t.Address)
		s.after(s.randomBelow(time.Second), func() {
			s.whenStoreUp(func() { s.otherServices = append(s.otherServices, other) })
		})
	})
}

// entryRemovalDelay is how long the platform keeps the entry of an ended target.
const entryRemovalDelay = 2600 * time.Millisecond

// stopTarget ends the process at the address; its entry is removed later.
func (s *simulation) stopTarget(address string) {
	p := s.running[address]
	if p == nil {
		return
	}
	s.logf("%s ends", p.name)
	delete(s.running, address)
	s.endedAt[address] = s.now
	s.after(entryRemovalDelay, func() { s.whenStoreUp(func() { s.removeEntry(p.entry.Incarnation()) }) })
}

// reportReplaced reports to the manager the other services' targets that run at its
// owners' addresses.
func (s *simulation) reportReplaced() {
	for incarnation, owner := range s.manager.Owners() {
		listed := false
		for _, t := range s.listed {
			listed = listed || t.ID == incarnation.ID
		}
		for _, t := range s.otherServices {
			if t.Address == owner.Address && t.Started > incarnation.Started && (owner.Unresponsive || !listed) {
				if !s.reportedGone[incarnation] {
					s.reportedGone[incarnation] = true
					s.logf("%v is replaced by %s at %s", incarnation, t.ID, t.Address)
				}
				s.manager.OwnerReplaced(incarnation, true)
			}
		}
	}
}

// cutLinks keeps the coordinator from reaching some targets or all for a while. It finds out
// later, or wrongly, that its links are down, and that they are back.
func (s *simulation) cutLinks() {
	all, lasts := s.rand.IntN(2) == 0, s.randomBelow(6*time.Second)
	s.liveChannels = s.rand.IntN(3) == 0
	for _, t := range s.listed {
		if all || s.rand.IntN(2) == 0 {
			s.cutUntil[t.Address] = s.now.Add(lasts)
		}
	}
	s.logf("links are down until %.3f, to all: %v, live connections go on: %v", s.now.Add(lasts).Sub(simulationStart).Seconds(), all, s.liveChannels)
	m := s.manager
	began := s.randomBelow(2 * time.Second)
	s.after(began, func() { s.whenAwake(func() { m.SetUnlinked(s.now, true) }) })
	s.after(max(began, lasts)+s.randomBelow(time.Second), func() { s.whenAwake(func() { m.SetUnlinked(s.now, false) }) })
}

// takeOver replaces the coordinator: calls of the former one that are in flight
// still arrive, but it sends no more.
func (s *simulation) takeOver() {
	s.term++
	s.logf("term %d begins", s.term)
	s.reportedGone = map[roster.Incarnation]bool{}
	clear(s.cutUntil)
	s.manager = newManager(s.now, s.term, s.written)
	// The jitter comes from the seed, so that a seed always gives the same run.
	s.manager.Jitter = s.randomBelow
}

func (s *simulation) run(steps int) {
	for i := range steps {
		s.now = s.now.Add(20 * time.Millisecond)
		for len(s.queue) > 0 && !s.queue[0].at.After(s.now) {
			heap.Pop(&s.queue).(timedEvent).do()
		}
		if s.now.Before(s.frozenUntil) {
			continue
		}
		s.reportReplaced()
		if s.congestion {
			s.manager.RecordHeard(s.now, "near")
			s.manager.RecordHeard(s.now, "far")
			if i%150 == 75 && s.now.After(s.congestedUntil["far"]) {
				s.congestedUntil["far"] = s.now.Add(s.randomBelow(6 * time.Second))
				s.logf("the link to far is congested until %.3f", s.congestedUntil["far"].Sub(simulationStart).Seconds())
			}
		}
		if s.cuts && i%100 == 50 {
			s.cutLinks()
		}
		for _, o := range s.manager.Step(s.now, ownership.NewTargets(s.listed)) {
			s.execute(s.manager, o)
		}
		if i%25 == 24 && s.rand.IntN(3) == 0 {
			s.injectFault()
		}
	}
}

// Guards against two holders of a key, and against epochs that go down, under
// random faults of targets, calls, the store and the coordinator.
func TestNoKeyHasTwoHolders(t *testing.T) { simulate(t, 150, false, false) }

// Guards against two holders of a key while the coordinator does not reach some targets, or all.
func TestNoKeyHasTwoHoldersWhileLinksAreDown(t *testing.T) { simulate(t, 150, false, true) }

func simulate(t *testing.T, seeds uint64, congestion, cuts bool) {
	for seed := range seeds {
		s := &simulation{
			t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), now: simulationStart,
			congestion: congestion, congestedUntil: map[string]time.Time{}, cuts: cuts, cutUntil: map[string]time.Time{},
			running: map[string]*fakeTarget{}, epochsSeen: map[int]map[*fakeTarget]int64{}, reportedGone: map[roster.Incarnation]bool{},
			endedAt: map[string]time.Time{},
		}
		for i := range 8 {
			id := fmt.Sprintf("t%d", i)
			s.addEntry(s.startTarget(id, id))
		}
		s.takeOver()
		s.run(2000)
	}
}
