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

// renewalSim plays a holder whose writes and answers are delayed or lost, and an
// observer that is told of each renewal when it is sent, late, or never.
type renewalSim struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	table  *table.Memory
	holder seat.Seat
	// sentAt has when the renewal that made a row version was sent.
	sentAt    map[uint64]time.Time
	observer  seat.Seat
	scheduled map[time.Time][]func()
}

func (p *renewalSim) schedule(d time.Duration, do func()) {
	at := p.now.Add(d)
	p.scheduled[at] = append(p.scheduled[at], do)
}

func (p *renewalSim) randomDelay(d time.Duration) time.Duration {
	return time.Duration(p.random.Int64N(d.Milliseconds())) * time.Millisecond
}

func (p *renewalSim) transact(tx table.Transaction) table.Result {
	tx.ReadKeys = []string{seat.RowKey("graz")}
	res, err := p.table.Transact(context.Background(), tx)
	assert.NilError(p.t, err)
	return res
}

func (p *renewalSim) observe(s *seat.Seat) {
	res := p.transact(table.Transaction{})
	row, _ := res.Row(seat.RowKey("graz"))
	assert.NilError(p.t, s.Observe(p.now, &row))
}

func (p *renewalSim) renew(token string) {
	sent := p.now
	tx, err := p.holder.Renew(sent, token)
	assert.NilError(p.t, err)
	record, _ := p.holder.Record()
	term, number := record.Term, p.holder.RenewalNumber()
	left := lease.New(sent, seat.LeaseDuration).Left(sent)
	if p.random.IntN(4) > 0 {
		p.schedule(p.randomDelay(300*time.Millisecond), func() { p.observer.AddHint(p.now, term, number, left) })
	}
	if p.random.IntN(4) == 0 {
		return
	}
	p.schedule(p.randomDelay(900*time.Millisecond), func() {
		res := p.transact(tx)
		if res.Committed {
			p.sentAt[res.Revision] = sent
		}
		if p.random.IntN(4) > 0 {
			p.schedule(p.randomDelay(300*time.Millisecond), func() { p.observe(&p.holder) })
		}
	})
}

// Guards against two holders where a renewal is taken for another one that was
// sent earlier: the observer's wait must outlast the renewal in the row.
func TestHintNeverEndsBeforeTheRenewal(t *testing.T) {
	told := 0
	for n := range uint64(200) {
		p := &renewalSim{
			t: t, random: rand.New(rand.NewPCG(n, 3)), now: time.Unix(1000, 0), table: &table.Memory{},
			sentAt: map[uint64]time.Time{}, scheduled: map[time.Time][]func(){},
		}
		p.holder = seat.Seat{Name: "graz", Self: seat.Record{Holder: "a", Incarnation: "1"}}
		p.observer = seat.Seat{Name: "graz", Self: seat.Record{Holder: "b", Incarnation: "1"}}
		assert.NilError(t, p.holder.Observe(p.now, nil))
		tx, err := p.holder.Claim(p.now, "claim")
		assert.NilError(t, err)
		p.sentAt[p.transact(tx).Revision] = p.now
		p.observe(&p.holder)
		next := p.now
		for step := range 20_000 {
			p.now = p.now.Add(time.Millisecond)
			for _, do := range p.scheduled[p.now] {
				do()
			}
			delete(p.scheduled, p.now)
			if p.now.After(next) {
				p.renew(strconv.Itoa(step))
				next = p.now.Add(50*time.Millisecond + p.randomDelay(800*time.Millisecond))
			}
			if p.random.IntN(150) == 0 {
				p.observe(&p.observer)
			}
			_, version := p.observer.Record()
			sent, known := p.sentAt[version]
			if !known || !p.observer.Expired(p.now) {
				continue
			}
			if p.observer.HasHint() {
				told++
			}
			left := lease.New(sent, seat.LeaseDuration).Left(p.now)
			assert.Assert(t, left == 0, "seed %d: the renewal of version %d is good for %v more", n, version, left)
		}
	}
	assert.Assert(t, told > 0)
}
