package ownership

import (
	"encoding/json"
	"fmt"
)

// assignmentRecord is the stored form of an assignment: each owner once, and
// pieces by their ends, since a row of the store holds 64 KB. 1,000 pieces of
// 300 targets take about 35 KB.
type assignmentRecord struct {
	Service string        `json:"service"`
	Term    int64         `json:"term"`
	Owners  []ownerRecord `json:"owners"`
	// Pieces are triples of the last key, the owner's index or -1, and FreeAt.
	Pieces [][3]int64 `json:"pieces"`
}

type ownerRecord struct {
	ID      string `json:"id"`
	Started int64  `json:"born"`
	Address string `json:"address"`
}

// MarshalJSON encodes the assignment in its stored form.
func (a *Assignment) MarshalJSON() ([]byte, error) {
	owners, pieces := split(a.Pieces)
	return json.Marshal(assignmentRecord{Service: a.Service, Term: a.Term, Owners: owners, Pieces: pieces})
}

// split returns the owners, each once, and the pieces as in assignmentRecord.
func split(list []Piece) (owners []ownerRecord, pieces [][3]int64) {
	owners, pieces = []ownerRecord{}, make([][3]int64, 0, len(list))
	index := map[ownerRecord]int64{}
	for _, p := range list {
		i := int64(-1)
		if p.Owner != "" {
			o := ownerRecord{p.Owner, p.Started, p.Address}
			found := false
			if i, found = index[o]; !found {
				i = int64(len(owners))
				index[o] = i
				owners = append(owners, o)
			}
		}
		pieces = append(pieces, [3]int64{int64(p.Last), i, p.FreeAt})
	}
	return owners, pieces
}

// join is the reverse of split, for pieces that begin with the key next.
func join(next int, owners []ownerRecord, pieces [][3]int64) (list []Piece, err error) {
	for _, t := range pieces {
		p := Piece{First: next, Last: int(t[0]), FreeAt: t[2]}
		if i := int(t[1]); i >= 0 {
			if i >= len(owners) {
				return nil, fmt.Errorf("piece from key %d: owner index %d, but only %d owners", next, i, len(owners))
			}
			p.Owner, p.Started, p.Address = owners[i].ID, owners[i].Started, owners[i].Address
		}
		list = append(list, p)
		next = p.Last + 1
	}
	return list, nil
}

// partRecord is the stored form of a part of an assignment. The owners are in columns, since
// the names of their fields would take a third of the row.
type partRecord struct {
	IDs       []string   `json:"ids"`
	Started   []int64    `json:"born"`
	Addresses []string   `json:"addresses"`
	Pieces    [][3]int64 `json:"pieces"`
}

func (a *Assignment) encodePart() []byte {
	owners, pieces := split(a.Pieces)
	r := partRecord{Pieces: pieces}
	for _, o := range owners {
		r.IDs, r.Started, r.Addresses = append(r.IDs, o.ID), append(r.Started, o.Started), append(r.Addresses, o.Address)
	}
	return mustMarshal(r)
}

func decodePart(first int, data []byte) ([]Piece, error) {
	var r partRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, err
	}
	if len(r.Started) != len(r.IDs) || len(r.Addresses) != len(r.IDs) {
		return nil, fmt.Errorf("part from key %d: %d IDs, %d start times, %d addresses", first, len(r.IDs), len(r.Started), len(r.Addresses))
	}
	owners := make([]ownerRecord, len(r.IDs))
	for i := range owners {
		owners[i] = ownerRecord{r.IDs[i], r.Started[i], r.Addresses[i]}
	}
	return join(first, owners, r.Pieces)
}

// UnmarshalJSON decodes the stored form. Only Parse checks that all keys are
// covered.
func (a *Assignment) UnmarshalJSON(data []byte) error {
	var r assignmentRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	pieces, err := join(0, r.Owners, r.Pieces)
	if err != nil {
		return err
	}
	*a = Assignment{Service: r.Service, Term: r.Term, Pieces: pieces}
	return nil
}
