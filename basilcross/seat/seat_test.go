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

// instance has its own view of a seat in a shared table.
type instance struct {
	t     *testing.T
	table *table.Memory
	seat  seat.Seat
}

func newInstance(t *testing.T, m *table.Memory, id string) *instance {
	t.Helper()
	i := &instance{t: t, table: m}
	i.seat = seat.Seat{Name: "graz", Self: seat.Record{Holder: id, Incarnation: "1"}}
	i.read()
	return i
}

func (i *instance) read() {
	i.t.Helper()
	res, err := i.table.Transact(context.Background(), table.Transaction{ReadKeys: []string{seat.RowKey("graz")}})
	assert.NilError(i.t, err)
	if row, ok := res.Row(seat.RowKey("graz")); ok {
		assert.NilError(i.t, i.seat.Observe(time.Now(), &row))
		return
	}
	assert.NilError(i.t, i.seat.Observe(time.Now(), nil))
}

func (i *instance) write(tx table.Transaction, err error) bool {
	i.t.Helper()
	assert.NilError(i.t, err)
	res, err := i.table.Transact(context.Background(), tx)
	assert.NilError(i.t, err)
	return res.Committed
}

func (i *instance) claim(token string) bool {
	i.t.Helper()
	ok := i.write(i.seat.Claim(time.Now(), token))
	i.read()
	return ok
}

// Guards against two holders after a holder stops renewing: another instance
// must not claim the seat before the last renewal has expired, and the former
// holder must observe that it lost the seat to a new term.
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

// Guards against a holder with authority for too long: if the response to a
// renewal is lost and the holder reads the row back later, its authority must
// count from when it sent the write.
func TestAuthorityCountsFromSendTimeAfterLostResponse(t *testing.T) {
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

// Guards against two holders when two candidates see the seat free at the same
// time: the second write must fail on the row's version.
func TestOnlyOneOfTwoCandidatesClaimsTheSeat(t *testing.T) {
	m := &table.Memory{}
	a := newInstance(t, m, "a")
	b := newInstance(t, m, "b")
	assert.Assert(t, a.claim("a1"))
	assert.Assert(t, !b.claim("b1"))
	assert.Assert(t, a.seat.Holding())
	assert.Assert(t, !b.seat.Holding())
}
