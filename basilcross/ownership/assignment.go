// Package ownership decides which target holds which keys of a sharded service,
// and when keys may be granted to another target. It does no I/O: it receives
// events and returns orders, so that tests can exercise any sequence of events.
package ownership

import (
	"encoding/json"
	"fmt"
	"slices"
	"sort"

	"basilcross.example/basilcross/roster"
)

// KeyCount is the number of keys; keys are 0 to KeyCount-1.
const KeyCount = 1 << 16

// Piece is a contiguous range of keys, from First to Last inclusive, with one
// owner.
type Piece struct {
	_ struct{} `cbor:",toarray"`

	First   int    `json:"first"`
	Last    int    `json:"last"`
	Owner   string `json:"owner,omitempty"`
	Started int64  `json:"born,omitempty"`
	Address string `json:"address,omitempty"`
	// FreeAt is set once the piece is taken from its owner without proof of a
	// release: the time on the store's clock, in milliseconds, at which the owner's
	// hold has ended. A later coordinator need not restart the wait.
	FreeAt int64 `json:"freeAt,omitempty"`
}

// Incarnation identifies the owner's incarnation.
func (p *Piece) Incarnation() roster.Incarnation {
	return roster.Incarnation{ID: p.Owner, Started: p.Started}
}

// Assignment is the recorded state of a service: sorted pieces that cover all
// keys. It is written before a key is granted, so that the next coordinator has
// every target that may hold the key.
type Assignment struct {
	Service string  `json:"service"`
	Term    int64   `json:"term"`
	Pieces  []Piece `json:"pieces"`
}

// GapError reports an assignment that does not cover every key exactly once.
type GapError struct {
	Key int
}

func (e *GapError) Error() string {
	return fmt.Sprintf("key %d is in no piece or in several pieces", e.Key)
}

// Parse decodes an assignment and checks that it covers every key exactly once.
// If it does not, the error wraps a *GapError.
func Parse(data []byte) (*Assignment, error) {
	a := &Assignment{}
	if err := json.Unmarshal(data, a); err != nil {
		return nil, fmt.Errorf("parse assignment: %w", err)
	}
	if err := a.checkCoverage(); err != nil {
		return nil, err
	}
	return a, nil
}

// checkCoverage returns an error that wraps a *GapError unless the pieces cover every key
// exactly once.
func (a *Assignment) checkCoverage() error {
	next := 0
	for _, p := range a.Pieces {
		if p.First != next || p.Last < p.First {
			return fmt.Errorf("parse assignment: %w", &GapError{Key: next})
		}
		next = p.Last + 1
	}
	if next != KeyCount {
		return fmt.Errorf("parse assignment: %w", &GapError{Key: next})
	}
	return nil
}

// Find returns the piece that contains the key, or nil if there is none.
func (a *Assignment) Find(key int) *Piece {
	i := sort.Search(len(a.Pieces), func(i int) bool { return a.Pieces[i].Last >= key })
	if i == len(a.Pieces) || key < a.Pieces[i].First {
		return nil
	}
	return &a.Pieces[i]
}

// Diff returns the pieces of next that are not in a with the same values.
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

// OwnerChanges returns the ranges of keys with another owner in next, each with
// that owner.
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

// With returns a copy with the given term in which pieces, which must not overlap,
// replace what was recorded for their keys.
func (a *Assignment) With(term int64, pieces []Piece) *Assignment {
	changes := slices.Clone(pieces)
	slices.SortFunc(changes, func(p, q Piece) int { return p.First - q.First })
	next := &Assignment{Service: a.Service, Term: term, Pieces: make([]Piece, 0, len(a.Pieces)+2*len(changes))}
	first := 0
	rest := a.Pieces
	for _, p := range changes {
		rest = next.appendRange(rest, first, p.First-1)
		next.Pieces = append(next.Pieces, p)
		first = p.Last + 1
	}
	next.appendRange(rest, first, KeyCount-1)
	return next
}

// appendRange appends the parts of source's pieces that lie between first and last.
// It returns the pieces that may contain keys after last.
func (a *Assignment) appendRange(source []Piece, first, last int) (rest []Piece) {
	for len(source) > 0 {
		p := source[0]
		p.First, p.Last = max(p.First, first), min(p.Last, last)
		if p.First <= p.Last {
			a.Pieces = append(a.Pieces, p)
		}
		if source[0].Last > last {
			break
		}
		source = source[1:]
	}
	return source
}
