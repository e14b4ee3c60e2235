package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"basilcross.example/basilcross/ownership"
	"gotest.tools/v3/assert"
)

// randomAssignment splits the keys into pieces with random owners.
func randomAssignment(random *rand.Rand, pieces int) *ownership.Assignment {
	a := &ownership.Assignment{Service: "s"}
	for first := 0; first < ownership.KeyCount; {
		last := min(ownership.KeyCount-1, first+random.IntN(2*ownership.KeyCount/pieces))
		a.Pieces = append(a.Pieces, ownership.Piece{First: first, Last: last, Owner: fmt.Sprintf("t%d", random.IntN(pieces))})
		first = last + 1
	}
	return a
}

// Guards against keys that are lost, or in two pieces, when a change arrives in
// several datagrams in any order.
func TestDiffAppliedInAnyOrderGivesTheNextAssignment(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		base, next := randomAssignment(random, 12), randomAssignment(random, 12)
		changes := base.Diff(next)
		random.Shuffle(len(changes), func(i, j int) { changes[i], changes[j] = changes[j], changes[i] })
		got := base.With(2, changes)
		covered := 0
		for _, p := range got.Pieces {
			assert.Equal(t, p.First, covered)
			covered = p.Last + 1
		}
		assert.Equal(t, covered, ownership.KeyCount)
		for _, p := range next.Pieces {
			assert.Equal(t, got.Find(p.First).Owner, p.Owner)
			assert.Equal(t, got.Find(p.Last).Owner, p.Owner)
		}
	}
}

// Guards against a key whose change of owner is not reported.
func TestOwnerChangesFindsEveryChange(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	for range 100 {
		base, next := randomAssignment(random, 10), randomAssignment(random, 10)
		moved := base.OwnerChanges(next)
		for key := 0; key < ownership.KeyCount; key += 97 {
			in := slices.ContainsFunc(moved, func(p ownership.Piece) bool { return p.First <= key && key <= p.Last })
			assert.Equal(t, in, base.Find(key).Owner != next.Find(key).Owner, "key %d", key)
		}
	}
}

// Measures With for a change of 36 pieces, the number that fits into a datagram.
func BenchmarkWith(b *testing.B) {
	for _, n := range []int{100, 300, 1000, 3000} {
		b.Run(fmt.Sprintf("pieces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			random := rand.New(rand.NewPCG(5, 6))
			base := randomAssignment(random, n)
			changes := append([]ownership.Piece(nil), base.Pieces[:36]...)
			for b.Loop() {
				base.With(2, changes)
			}
		})
	}
}
