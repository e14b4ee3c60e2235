// Package ownership decides which target holds which keys of a sharded service,
// and when keys may go to the next one. It calls nobody: it takes events and
// returns orders, so that every order of events can be tested.
package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"basilcross.example/basilcross/roster"
)

// KeyCount is the number of keys; they are 0 to Keys-1.
const KeyCount = 1 << 16

// Piece is a contiguous range of keys with one owner. Both ends belong to it.
type Piece struct {
	_ struct{} `cbor:",toarray"`

	First   int    `json:"first"`
	Last    int    `json:"last"`
	Owner   string `json:"owner,omitempty"`
	Started int64  `json:"born,omitempty"`
	Address string `json:"address,omitempty"`
	// FreeAt is set once the owner is given up without proof: the moment on
	// the store's clock, in milliseconds, at which it holds nothing any more.
	// A successor need not begin the wait anew.
	FreeAt int64 `json:"freeAt,omitempty"`
}

// Incarnation names the owner's lifetime.
func (p *Piece) Incarnation() roster.Incarnation {
	return roster.Incarnation{ID: p.Owner, Started: p.Started}
}

// Assignment is what is recorded of a service: sorted pieces that cover all
// keys. It is written before a key is granted, so that whoever coordinates
// next knows every target that may hold it.
type Assignment struct {
	Service string  `json:"service"`
	Term    int64   `json:"term"`
	Pieces  []Piece `json:"pieces"`
}

// GapError says that an assignment does not cover the keys.
type GapError struct {
	Key int
}

func (e *GapError) Error() string {
	return fmt.Sprintf("assignment: key %d is in no piece or in two", e.Key)
}

// Parse decodes an assignment and checks that it covers all keys once.
func Parse(text []byte) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(text, a); err != nil {
		return nil, fmt.Errorf("parse assignment: %w", err)
	}
	next := 0
	for _, p := range a.Pieces {
		if p.First != next || p.Last < p.First {
			return nil, fmt.Errorf("parse assignment: %w", &GapError{Key: next})
		}
		next = p.Last + 1
	}
	if next != KeyCount {
		return nil, fmt.Errorf("parse assignment: %w", &GapError{Key: next})
	}
	return a, nil
}

// Find returns the piece that has the key, or nil if the key is none.
func (a *Assignment) Find(key int) *Piece {
	i := sort.Search(len(a.Pieces), func(i int) bool { return a.Pieces[i].Last >= key })
	if i == len(a.Pieces) || key < a.Pieces[i].First {
		return nil
	}
	return &a.Pieces[i]
}

// Diff returns the pieces of next that a does not have in the same way.
func (a *Assignment) Diff(next *Assignment) []Piece {
	same := make(map[Piece]bool, len(a.Pieces))
	for _, p := range a.Pieces {
		same[p] = true
	}
	var changed []Piece
	for _, p := range next.Pieces {
		if !same[p] {
			changed = append(changed, p)
		}
	}
	return changed
}

// OwnerChanges returns the ranges of keys that have another owner in next.
func (a *Assignment) OwnerChanges(next *Assignment) []Piece {
	var moved []Piece
	for i, j := 0, 0; i < len(a.Pieces) && j < len(next.Pieces); {
		old, p := a.Pieces[i], next.Pieces[j]
		last := min(old.Last, p.Last)
		if old.Owner != p.Owner {
			moved = append(moved, Piece{First: max(old.First, p.First), Last: last, Owner: p.Owner})
		}
		if old.Last == last {
			i++
		}
		if p.Last == last {
			j++
		}
	}
	return moved
}

// With returns the assignment with other pieces laid over it, which do not overlap.
func (a *Assignment) With(term int64, pieces []Piece) *Assignment {
	over := slices.Clone(pieces)
	slices.SortFunc(over, func(p, q Piece) int { return p.First - q.First })
	next := &Assignment{Service: a.Service, Term: term, Pieces: make([]Piece, 0, len(a.Pieces)+2*len(over))}
	first := 0
	rest := a.Pieces
	for _, p := range over {
		rest = next.appendRange(rest, first, p.First-1)
		next.Pieces = append(next.Pieces, p)
		first = p.Last + 1
	}
	next.appendRange(rest, first, KeyCount-1)
	return next
}

// appendRange appends what others' pieces say of the keys from first to last. It
// returns the pieces that may say something of the keys after these.
func (a *Assignment) appendRange(others []Piece, first, last int) (rest []Piece) {
	for len(others) > 0 {
		p := others[0]
		p.First, p.Last = max(p.First, first), min(p.Last, last)
		if p.First <= p.Last {
			a.Pieces = append(a.Pieces, p)
		}
		if others[0].Last > last {
			break
		}
		others = others[1:]
	}
	return others
}
