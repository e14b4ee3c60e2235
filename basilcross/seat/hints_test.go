package seat_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"basilcross.example/basilcross/lease"
	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"gotest.tools/v3/assert"
)

// renewalSim simulates a holder whose writes and responses are delayed or lost,
// and an observer that receives each hint at once, late, or never.
type renewalSim struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	table  *table.Memory
	holder seat.Seat
	// sentAt is when the renewal that wrote a row version was sent.
	sentAt    map[uint64]time.Time
	observer  seat.Seat
	scheduled map[time.Time][]func()
}

func (sim *renewalSim) schedule(d time.Duration, do func()) {
	at := sim.now.Add(d)
	sim.scheduled[at] = append(sim.scheduled[at], do)
}

func (sim *renewalSim) randomDelay(d time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(d.Milliseconds())) * time.Millisecond
}

func (sim *renewalSim) transact(tx table.Transaction) table.Result {
	tx.ReadKeys = []string{seat.RowKey("graz")}
	res, err := sim.table.Transact(context.Background(), tx)
	assert.NilError(sim.t, err)
	return res
}

func (sim *renewalSim) observe(s *seat.Seat) {
	res := sim.transact(table.Transaction{})
	row, _ := res.Row(seat.RowKey("graz"))
	assert.NilError(sim.t, s.Observe(sim.now, &row))
}

func (sim *renewalSim) renew(token string) {
	sent := sim.now
	tx, err := sim.holder.Renew(sent, token)
	assert.NilError(sim.t, err)
	record, _ := sim.holder.Record()
	term, number := record.Term, sim.holder.RenewalNumber()
	left := lease.New(sent, seat.LeaseDuration).Left(sent)
	if sim.random.IntN(4) > 0 {
		sim.schedule(sim.randomDelay(300*time.Millisecond), func() { sim.observer.AddAnnouncement(sim.now, term, number, left) })
	}
	if sim.random.IntN(4) == 0 {
		return
	}
	sim.schedule(sim.randomDelay(900*time.Millisecond), func() {
		res := sim.transact(tx)
		if res.Committed {
			sim.sentAt[res.Revision] = sent
		}
		if sim.random.IntN(4) > 0 {
			sim.schedule(sim.randomDelay(300*time.Millisecond), func() { sim.observe(&sim.holder) })
		}
	})
}

// Guards against two holders at a time: if a hint of an earlier renewal were
// applied to the one in the row, the seat would expire before its holder stops.
func TestAnnouncedEndIsNotBeforeLeaseEnd(t *testing.T) {
	hinted := 0
	for n := range uint64(200) {
		sim := &renewalSim{
			t: t, random: rand.New(rand.NewPCG(n, 3)), now: time.Unix(1000, 0), table: &table.Memory{},
			sentAt: map[uint64]time.Time{}, scheduled: map[time.Time][]func(){},
		}
		sim.holder = seat.Seat{Name: "graz", Self: seat.Record{Holder: "a", Incarnation: "1"}}
		sim.observer = seat.Seat{Name: "graz", Self: seat.Record{Holder: "b", Incarnation: "1"}}
		assert.NilError(t, sim.holder.Observe(sim.now, nil))
		tx, err := sim.holder.Claim(sim.now, "claim")
		assert.NilError(t, err)
		sim.sentAt[sim.transact(tx).Revision] = sim.now
		sim.observe(&sim.holder)
		next := sim.now
		for step := range 20_000 {
			sim.now = sim.now.Add(time.Millisecond)
			for _, do := range sim.scheduled[sim.now] {
				do()
			}
			delete(sim.scheduled, sim.now)
			if sim.now.After(next) {
				sim.renew(strconv.Itoa(step))
				next = sim.now.Add(50*time.Millisecond + sim.randomDelay(800*time.Millisecond))
			}
			if sim.random.IntN(150) == 0 {
				sim.observe(&sim.observer)
			}
			_, version := sim.observer.Record()
			sent, known := sim.sentAt[version]
			if !known || !sim.observer.Expired(sim.now) {
				continue
			}
			if sim.observer.HasAnnouncement() {
				hinted++
			}
			left := lease.New(sent, seat.LeaseDuration).Left(sim.now)
			assert.Assert(t, left == 0, "seed %d: the renewal of row version %d is valid for %v more", n, version, left)
		}
	}
	assert.Assert(t, hinted > 0)
}
