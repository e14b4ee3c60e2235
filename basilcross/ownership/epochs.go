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

const (
	// epochsToResign is how many epochs may be issued before the term is to end, and epochsToStop before it
	// must: the next term has the ones beyond epochsPerTerm.
	epochsToResign = epochsPerTerm / 8 * 7
	epochsToStop   = epochsPerTerm / 16 * 15
)

// NearlyUsedUp reports whether the term should be handed over to another one.
func (e *Epochs) NearlyUsedUp() bool { return e.used >= epochsToResign }

// UsedUp reports whether the term must end at once.
func (e *Epochs) UsedUp() bool { return e.used >= epochsToStop }

// Next returns an epoch higher than all that were issued before.
func (e *Epochs) Next() int64 {
	e.used++
	return e.Term*epochsPerTerm + e.used
}
