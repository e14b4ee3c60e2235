package ownership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"basilcross.example/basilcross/ownership"
	"basilcross.example/basilcross/roster"
)

// world plays a keeper and its successors against targets that take grants as
// the platform says: a hold counts from the call's arrival on a clock up to 2 %
// slow, a lower epoch than one seen is refused, and calls without an answer may
// be applied seconds later. It fails as soon as two targets hold a key at once,
// or one takes a key with an epoch that another has had.
type world struct {
	t       *testing.T
	seed    uint64
	rand    *rand.Rand
	now     time.Time
	queue   happenings
	targets map[roster.Life]*fakeTarget
	listed  []*roster.Target
	keeper  *ownership.Keeper
	term    int64
	written *ownership.Assignment
	had     map[int]map[roster.Life]int64
}

type fakeTarget struct {
	seen  map[int]int64
	until map[int]time.Time
	drift float64
}

type happening struct {
	at time.Time
	do func()
}

type happenings []happening

func (h happenings) Len() int           { return len(h) }
func (h happenings) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h happenings) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)        { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func (w *world) later(d time.Duration, do func()) {
	heap.Push(&w.queue, happening{w.now.Add(d), do})
}

// sampled keys stand for all.
const sampleEvery = 512

func sampled(first, last int) (keys []int) {
	for k := (first + sampleEvery - 1) / sampleEvery * sampleEvery; k <= last; k += sampleEvery {
		keys = append(keys, k)
	}
	return keys
}

func (w *world) grant(arrived time.Time, o *ownership.Grant) ownership.Outcome {
	to := w.targets[o.Owner]
	if to == nil {
		return ownership.Unsent
	}
	keys := sampled(o.First, o.Last)
	for _, k := range keys {
		if to.seen[k] > o.Epoch {
			return ownership.Stale
		}
	}
	until := arrived.Add(time.Duration(float64(o.Hold) * to.drift))
	for _, k := range keys {
		to.seen[k] = o.Epoch
		if until.Before(w.now) {
			continue
		}
		w.check(k, o)
		if until.After(to.until[k]) {
			to.until[k] = until
		}
	}
	return ownership.Done
}

func (w *world) check(k int, o *ownership.Grant) {
	for life, other := range w.targets {
		if life != o.Owner && other.until[k].After(w.now) {
			w.t.Fatalf("seed %d: key %d is held by %v and granted to %v at %v", w.seed, k, life, o.Owner, w.now)
		}
	}
	if w.had[k] == nil {
		w.had[k] = map[roster.Life]int64{}
	}
	for life, epoch := range w.had[k] {
		if life != o.Owner && epoch >= o.Epoch {
			w.t.Fatalf("seed %d: key %d goes to %v with epoch %d, %v had %d", w.seed, k, o.Owner, o.Epoch, life, epoch)
		}
	}
	w.had[k][o.Owner] = max(w.had[k][o.Owner], o.Epoch)
}

const giveUp = 450 * time.Millisecond

func (w *world) carryOut(k *ownership.Keeper, o ownership.Order) {
	delay := time.Duration(w.rand.IntN(20)) * time.Millisecond
	switch o := o.(type) {
	case *ownership.Record:
		w.later(delay, func() {
			if k == w.keeper {
				w.written = o.Assignment
				k.Recorded(w.now, true)
			}
		})
	case *ownership.Grant:
		w.carryOutGrant(k, o, delay)
	case *ownership.Release:
		w.later(delay, func() { w.release(k, o) })
	}
}

func (w *world) carryOutGrant(k *ownership.Keeper, o *ownership.Grant, delay time.Duration) {
	sent := w.now
	switch chance := w.rand.IntN(100); {
	case chance < 6:
		// Applied late: the answer never comes, the time counts from the arrival.
		w.later(delay, func() {
			arrived := w.now
			w.later(2*time.Second+time.Duration(w.rand.IntN(10_000))*time.Millisecond, func() { w.grant(arrived, o) })
		})
		w.later(giveUp, func() { k.Granted(w.now, sent, o, ownership.Unknown) })
	case chance < 10:
		w.later(delay, func() { w.grant(w.now, o) })
		w.later(giveUp, func() { k.Granted(w.now, sent, o, ownership.Unknown) })
	default:
		w.later(delay, func() { k.Granted(w.now, sent, o, w.grant(w.now, o)) })
	}
}

func (w *world) release(k *ownership.Keeper, o *ownership.Release) {
	from := w.targets[o.Owner]
	if from == nil || w.rand.IntN(20) == 0 {
		w.later(giveUp, func() { k.Released(w.now, o, "", ownership.Unknown) })
		return
	}
	w.later(time.Duration(w.rand.IntN(600))*time.Millisecond, func() {
		for _, key := range sampled(o.First, o.Last) {
			delete(from.until, key)
		}
		k.Released(w.now, o, "h", ownership.Done)
	})
}

func (w *world) start(id string, born int64) {
	t := &roster.Target{ID: id, Born: born, Address: id, Slots: 3, Seen: w.now}
	w.targets[t.Life()] = &fakeTarget{seen: map[int]int64{}, until: map[int]time.Time{}, drift: 1 + 0.02*w.rand.Float64()}
	for i, old := range w.listed {
		if old.ID == id {
			w.listed[i] = t
			return
		}
	}
	w.listed = append(w.listed, t)
}

// trouble does one thing that goes wrong or is planned.
func (w *world) trouble() {
	i := w.rand.IntN(len(w.listed))
	t := w.listed[i]
	switch w.rand.IntN(6) {
	case 0:
		gone := *t
		gone.Draining = true
		w.listed[i] = &gone
		w.later(2*time.Second, func() { w.end(gone.Life()) })
	case 1:
		// It crashes, and the list lags.
		delete(w.targets, t.Life())
		w.later(2*time.Second, func() { w.end(t.Life()) })
	case 2:
		delete(w.targets, t.Life())
		w.later(300*time.Millisecond, func() { w.start(t.ID, t.Born+1) })
	case 3:
		w.start(fmt.Sprintf("n%d", w.rand.IntN(1000)), 1)
	case 4:
		w.takeOver()
	case 5:
		key := w.rand.IntN(ownership.Keys)
		for i := range 40 {
			w.keeper.Load.Add(w.now, (key+i*100)%ownership.Keys, 0.5)
		}
	}
}

func (w *world) end(life roster.Life) {
	delete(w.targets, life)
	for i, t := range w.listed {
		if t.Life() == life && len(w.listed) > 3 {
			w.listed = append(w.listed[:i:i], w.listed[i+1:]...)
			return
		}
	}
}

// takeOver replaces the coordinator: the former one's calls under way still
// arrive, but it sends no more.
func (w *world) takeOver() {
	w.term++
	w.keeper = keeper(w.now, w.term, w.written)
}

func (w *world) play(steps int) {
	for i := range steps {
		w.now = w.now.Add(20 * time.Millisecond)
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			heap.Pop(&w.queue).(happening).do()
		}
		for _, o := range w.keeper.Step(w.now, w.listed) {
			w.carryOut(w.keeper, o)
		}
		if i%25 == 24 && w.rand.IntN(3) == 0 {
			w.trouble()
		}
	}
}

// Whatever happens to targets, calls and the coordinator, no key has two
// holders, and no epoch goes down.
func TestNoKeyHasTwoHolders(t *testing.T) {
	for seed := range uint64(150) {
		w := &world{
			t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
			targets: map[roster.Life]*fakeTarget{}, had: map[int]map[roster.Life]int64{},
		}
		for i := range 8 {
			w.start(fmt.Sprintf("t%d", i), 1)
		}
		w.takeOver()
		w.play(2000)
	}
}
