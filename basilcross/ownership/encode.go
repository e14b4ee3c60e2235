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
	r := assignmentRecord{Service: a.Service, Term: a.Term, Owners: []ownerRecord{}, Pieces: make([][3]int64, 0, len(a.Pieces))}
	index := map[ownerRecord]int64{}
	for _, p := range a.Pieces {
		i := int64(-1)
		if p.Owner != "" {
			o := ownerRecord{p.Owner, p.Started, p.Address}
			found := false
			if i, found = index[o]; !found {
				i = int64(len(r.Owners))
				index[o] = i
				r.Owners = append(r.Owners, o)
			}
		}
		r.Pieces = append(r.Pieces, [3]int64{int64(p.Last), i, p.FreeAt})
	}
	return json.Marshal(r)
}

// UnmarshalJSON decodes the stored form. Only Parse checks that all keys are
// covered.
func (a *Assignment) UnmarshalJSON(data []byte) error {
	var r assignmentRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	*a = Assignment{Service: r.Service, Term: r.Term}
	next := 0
	for _, t := range r.Pieces {
		p := Piece{First: next, Last: int(t[0]), FreeAt: t[2]}
		if i := int(t[1]); i >= 0 {
			if i >= len(r.Owners) {
				return fmt.Errorf("piece from key %d: owner index %d, but only %d owners", next, i, len(r.Owners))
			}
			p.Owner, p.Started, p.Address = r.Owners[i].ID, r.Owners[i].Started, r.Owners[i].Address
		}
		a.Pieces = append(a.Pieces, p)
		next = p.Last + 1
	}
	return nil
}
