package ownership_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"basilcross.example/basilcross/ownership"
	"gotest.tools/v3/assert"
)

// largeAssignment has the given numbers of targets and pieces.
func largeAssignment(random *rand.Rand, targets, pieces int) *ownership.Assignment {
	a := randomAssignment(random, pieces)
	for i := range a.Pieces {
		n := random.IntN(targets)
		a.Pieces[i].Owner, a.Pieces[i].Started = fmt.Sprintf("i-%010x", n), 1768631337386
		a.Pieces[i].Address = fmt.Sprintf("10.%d.%d.1:8262", n/256, n%256)
	}
	return a
}

// storeRows are the limits of the store for a row and a transaction.
const (
	storeRowBytes         = 64 << 10
	storeTransactionBytes = 1 << 20
	storeTransactionRows  = 100
)

// Guards against an assignment of a large fleet that the store refuses because its row, or
// the transaction, is too large: no key is granted then. It also guards against a reader that finds
// another assignment than was written, while the pieces change many times.
func TestLargeAssignmentIsStoredInParts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	a := largeAssignment(random, 3000, 10000)
	rows, stored := ownership.Rows{}, ownership.Rows{}
	for round := range 60 {
		next := rows.With(a)
		set, removed := rows.Change(next)
		size := 0
		for key, text := range set {
			assert.Assert(t, len(text) <= storeRowBytes, "%s: %d bytes", key, len(text))
			size += len(text)
			stored[key] = text
		}
		assert.Assert(t, size*4/3 < storeTransactionBytes && len(set)+len(removed) < storeTransactionRows, "%d bytes, %d rows", size, len(set))
		for _, key := range removed {
			delete(stored, key)
		}
		rows = next
		got, err := stored.Assemble()
		assert.NilError(t, err)
		assert.Equal(t, len(got), 1)
		for key := 0; key < ownership.KeyCount; key += 13 {
			assert.Equal(t, got["s"].Find(key).Owner, a.Find(key).Owner)
		}
		if round > 0 {
			assert.Assert(t, size < 200<<10, "a change of few pieces writes %d bytes", size)
		}
		// A busy range is cut further and further.
		first := 20000 + 40*round
		a = a.With(1, []ownership.Piece{
			{First: first, Last: first, Owner: "i-1"}, {First: first + 1, Last: first + 1, Owner: "i-2"}, {First: first + 2, Last: first + 2, Owner: "i-3"},
		})
	}
}

// Guards against an upgrade after which the former row is still taken for the assignment,
// or after which a version that knows only that form coordinates without any assignment.
func TestFormOfRowsChangesWithTheSize(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	small, large := largeAssignment(random, 30, 60), largeAssignment(random, 2000, 4000)
	for _, a := range []*ownership.Assignment{small, large} {
		a.Service = "s"
	}
	rows := ownership.Rows{}.With(small)
	_, err := ownership.Parse(rows["s"])
	assert.NilError(t, err, "the former form is used while it fits")
	rows = rows.With(large)
	var gap *ownership.GapError
	_, err = ownership.Parse(rows["s"])
	assert.Assert(t, errors.As(err, &gap), "a former version must not take the index for an assignment")
	got, err := rows.Assemble()
	assert.NilError(t, err)
	assert.Equal(t, got["s"].Find(777).Owner, large.Find(777).Owner)
	next := rows.With(small)
	assert.Equal(t, len(next), 1)
	_, removed := rows.Change(next)
	assert.Assert(t, len(removed) > 1)
}

// Guards against parts of two assignments that are taken for one, because they were read in
// several calls while the assignment changed.
func TestPartsOfDifferentMomentsAreRejected(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	a := largeAssignment(random, 2000, 4000)
	rows := ownership.Rows{}.With(a)
	next := rows.With(a.With(2, []ownership.Piece{{First: 9, Last: 9, Owner: "other"}}))
	set, _ := rows.Change(next)
	for key := range set {
		mixed := ownership.Rows{}
		for k, v := range next {
			mixed[k] = v
		}
		mixed[key] = rows[key]
		var part *ownership.PartError
		_, err := mixed.Assemble()
		assert.Assert(t, errors.As(err, &part), "former %s: %v", key, err)
	}
}
