package ownership

// Epochs numbers the grants of a term, each number once. The zero value of a
// term's epochs works.
type Epochs struct {
	Term int64
	used int64
}

// epochsPerTerm is how many epochs a term has. Terms are numbered in the store
// by a conditional write, so an epoch is never used twice, and every epoch of
// a term is above all of the terms before, also after the loss of everything.
const epochsPerTerm = 1 << 20

// Next returns an epoch above all that were used before.
func (e *Epochs) Next() int64 {
	e.used++
	return e.Term*epochsPerTerm + e.used
}
