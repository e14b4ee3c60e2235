package ownership

// Epochs issues the epochs of a term, each once. Term must be set.
type Epochs struct {
	Term int64
	used int64
}

// epochsPerTerm is the number of epochs in a term. Terms are numbered in the
// store by a conditional write, so an epoch is never used twice, and every
// epoch of a term is higher than all epochs of earlier terms, even after the
// loss of all instances.
const epochsPerTerm = 1 << 20

// Next returns an epoch higher than all that were issued before.
func (e *Epochs) Next() int64 {
	e.used++
	return e.Term*epochsPerTerm + e.used
}
