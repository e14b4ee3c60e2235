package seat_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/seat"
	"basilcross.example/basilcross/table"
	"gotest.tools/v3/assert"
)

// instance is one instance with its own view of a seat in a shared table.
type instance struct {
	t     *testing.T
	table *table.Memory
	seat  seat.Seat
}

func newInstance(t *testing.T, m *table.Memory, id string) *instance {
	t.Helper()
	b := &instance{t: t, table: m}
	b.seat = seat.Seat{Name: "graz", Self: seat.Record{Holder: id, Incarnation: "1"}}
	b.read()
	return b
}

func (b *instance) read() {
	b.t.Helper()
	res, err := b.table.Transact(context.Background(), table.Transaction{ReadKeys: []string{seat.RowKey("graz")}})
	assert.NilError(b.t, err)
	if row, ok := res.Row(seat.RowKey("graz")); ok {
		assert.NilError(b.t, b.seat.Observe(time.Now(), &row))
		return
	}
	assert.NilError(b.t, b.seat.Observe(time.Now(), nil))
}

func (b *instance) write(tx table.Transaction, err error) bool {
	b.t.Helper()
	assert.NilError(b.t, err)
	res, err := b.table.Transact(context.Background(), tx)
	assert.NilError(b.t, err)
	return res.Committed
}

func (b *instance) claim(token string) bool {
	b.t.Helper()
	ok := b.write(b.seat.Claim(time.Now(), token))
	b.read()
	return ok
}

// A leader is lost. Nobody takes its seat while a renewal that it may have
// sent is still good; after the wait the other instance takes it with a new
// term, and the old holder, back again, finds itself without authority.
func TestSeatIsClaimedOnlyAfterAuthorityExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &table.Memory{}
		a := newInstance(t, m, "a")
		assert.Assert(t, a.claim("a1"))
		assert.Assert(t, a.seat.Authority().Valid(time.Now()))
		b := newInstance(t, m, "b")
		assert.Assert(t, !b.seat.Expired(time.Now()))
		time.Sleep(seat.LeaseDuration)
		assert.Assert(t, !a.seat.Authority().Valid(time.Now()))
		assert.Assert(t, !b.seat.Expired(time.Now()), "the observer's wait must outlast the holder's authority")
		time.Sleep(seat.LeaseDuration / 10)
		assert.Assert(t, b.seat.Expired(time.Now()))
		assert.Assert(t, b.claim("b1"))
		a.read()
		assert.Assert(t, !a.seat.Holding())
		r, _ := a.seat.Record()
		assert.Equal(t, r.Term, uint64(2))
	})
}

// The answer to a renewal is lost after the write took effect. The holder
// reads the row back, finds its token, and counts its authority from when it
// sent the write, not from when it learned of it.
func TestAuthorityCountsFromSendTimeAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newInstance(t, &table.Memory{}, "a")
		assert.Assert(t, a.claim("a1"))
		time.Sleep(300 * time.Millisecond)
		sent := time.Now()
		assert.Assert(t, a.write(a.seat.Renew(sent, "a2")))
		time.Sleep(400 * time.Millisecond)
		a.read()
		left := a.seat.Authority().Left(time.Now())
		assert.Assert(t, left > 0 && left <= seat.LeaseDuration-400*time.Millisecond, "left %v", left)
	})
}

// Two candidates see the seat free at the same moment. One write takes it; the
// other fails on the row's version and its instance learns who won.
func TestOnlyOneOfTwoCandidatesClaimsTheSeat(t *testing.T) {
	m := &table.Memory{}
	a := newInstance(t, m, "a")
	b := newInstance(t, m, "b")
	assert.Assert(t, a.claim("a1"))
	assert.Assert(t, !b.claim("b1"))
	assert.Assert(t, a.seat.Holding())
	assert.Assert(t, !b.seat.Holding())
}
