package ownership

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRowBytes is the size up to which an assignment is stored in one row. The store
	// accepts 64 KB.
	maxRowBytes = 48 << 10
	// maxRowPieces bounds the pieces in one of several rows: with as many owners they take
	// some 15 KB. Neighbouring rows with fewer than minRowPieces together are joined.
	maxRowPieces = 256
	minRowPieces = maxRowPieces / 4
)

// Rows are the rows of assignments in the store, by key. An assignment that is too large
// for one row has an index, under the service's name, and parts. The index is written with
// every change, and has the checksums of the parts, so that parts which were read at
// different moments are not taken for one assignment. A version that knows single rows only
// finds no pieces in an index, and does not coordinate.
type Rows map[string][]byte

// rowIndex is the index of an assignment that is stored in parts.
type rowIndex struct {
	Service string    `json:"service"`
	Term    int64     `json:"term"`
	Parts   []rowPart `json:"parts"`
}

// rowPart refers to the part that begins with the key First.
type rowPart struct {
	First int    `json:"first"`
	Sum   uint64 `json:"sum"`
}

// PartError reports a part of an assignment that is missing, or not the one that its index
// refers to.
type PartError struct {
	First int
}

func (e *PartError) Error() string {
	return fmt.Sprintf("part from key %d is missing or was changed", e.First)
}

func partKey(service string, first int) string { return service + "/" + strconv.Itoa(first) }

// With returns a copy of the rows in which those of the assignment's service are replaced.
// The present division into parts is kept as far as possible, since each changed part is
// written.
func (r Rows) With(a *Assignment) Rows {
	rows := Rows{}
	maps.Copy(rows, r)
	firsts := firstKeys(r[a.Service])
	for _, first := range firsts {
		delete(rows, partKey(a.Service, first))
	}
	single := a.encode()
	if len(single) <= maxRowBytes {
		rows[a.Service] = single
		return rows
	}
	index := rowIndex{Service: a.Service, Term: a.Term}
	for _, part := range a.divide(firsts) {
		first := part.Pieces[0].First
		text := part.encodePart()
		rows[partKey(a.Service, first)] = text
		index.Parts = append(index.Parts, rowPart{First: first, Sum: xxhash.Sum64(text)})
	}
	rows[a.Service] = mustMarshal(index)
	return rows
}

func (a *Assignment) encode() []byte { return mustMarshal(a) }

func mustMarshal(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("ownership: encode assignment: " + err.Error())
	}
	return text
}

// firstKeys returns the first keys of an index's parts; none if the row is no index.
func firstKeys(row []byte) (keys []int) {
	var index rowIndex
	if json.Unmarshal(row, &index) != nil {
		return nil
	}
	for _, p := range index.Parts {
		keys = append(keys, p.First)
	}
	return keys
}

// divide cuts the assignment at the given keys, then splits parts with too many pieces and
// joins neighbours with few.
func (a *Assignment) divide(firsts []int) []*Assignment {
	var parts [][]Piece
	rest := a.Pieces
	for i, first := range firsts {
		last := KeyCount - 1
		if i+1 < len(firsts) {
			last = firsts[i+1] - 1
		}
		part := &Assignment{}
		rest = part.appendRange(rest, first, last)
		parts = append(parts, part.Pieces)
	}
	if len(firsts) == 0 {
		parts = [][]Piece{a.Pieces}
	}
	var divided []*Assignment
	for _, pieces := range parts {
		if n := len(divided); n > 0 && len(divided[n-1].Pieces)+len(pieces) < minRowPieces {
			divided[n-1].Pieces = append(divided[n-1].Pieces, pieces...)
			continue
		}
		// Half of the limit leaves room for further pieces.
		size := maxRowPieces / 2
		if len(pieces) <= maxRowPieces {
			size = len(pieces)
		}
		for chunk := range slices.Chunk(pieces, size) {
			divided = append(divided, &Assignment{Pieces: slices.Clone(chunk)})
		}
	}
	return divided
}

// Change returns the rows to write and the keys to remove so that the store has the next
// rows instead of r.
func (r Rows) Change(next Rows) (set Rows, removed []string) {
	set = maps.Clone(next)
	for key, text := range r {
		switch value, ok := next[key]; {
		case !ok:
			removed = append(removed, key)
		case string(value) == string(text):
			delete(set, key)
		}
	}
	slices.Sort(removed)
	return set, removed
}

// Assemble returns the assignments in the rows, by service, and the joined errors of those
// that are invalid, each of which wraps a *GapError or a *PartError.
func (r Rows) Assemble() (map[string]*Assignment, error) {
	assignments := map[string]*Assignment{}
	var errs []error
	parts := map[string]bool{}
	for service, text := range r {
		for _, first := range firstKeys(text) {
			parts[partKey(service, first)] = true
		}
	}
	for service, text := range r {
		if parts[service] {
			continue
		}
		a, err := r.assemble(service, text)
		if err != nil {
			errs = append(errs, fmt.Errorf("assignment of service %s: %w", service, err))
			continue
		}
		assignments[service] = a
	}
	return assignments, errors.Join(errs...)
}

func (r Rows) assemble(service string, text []byte) (*Assignment, error) {
	var index rowIndex
	if err := json.Unmarshal(text, &index); err != nil {
		return nil, err
	}
	if len(index.Parts) == 0 {
		return Parse(text)
	}
	a := &Assignment{Service: index.Service, Term: index.Term}
	for _, part := range index.Parts {
		text := r[partKey(service, part.First)]
		if xxhash.Sum64(text) != part.Sum {
			return nil, &PartError{First: part.First}
		}
		pieces, err := decodePart(part.First, text)
		if err != nil {
			return nil, err
		}
		for _, p := range pieces {
			a.appendJoined(p)
		}
	}
	if err := a.checkCoverage(); err != nil {
		return nil, err
	}
	return a, nil
}

// appendJoined appends a piece, or extends the last one if that was cut in two.
func (a *Assignment) appendJoined(p Piece) {
	if n := len(a.Pieces); n > 0 {
		last := a.Pieces[n-1]
		last.First, last.Last = p.First, p.Last
		if last == p {
			a.Pieces[n-1].Last = p.Last
			return
		}
	}
	a.Pieces = append(a.Pieces, p)
}
