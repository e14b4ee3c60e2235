// Package peers is what instances tell each other in small datagrams: that the
// coordinator is there, how far each one's copies go, and the load on keys.
package peers

import "basilcross.example/basilcross/ownership"

// Message is a datagram, encoded as CBOR arrays: names of fields would be most
// of its bytes, and those between regions are paid. Exactly one of its pointers is set.
type Message struct {
	_ struct{} `cbor:",toarray"`

	From string
	// Incarnation is the sender's lifetime: another one under the same name means
	// that the process was started anew.
	Incarnation      string
	Revisions        map[string]uint64
	Heartbeat        *Heartbeat
	Report           *Report
	AssignmentUpdate *AssignmentUpdate
	Hello            *Instance
	ReserveRequest   *ReserveRequest
	ReserveResponse  *ReserveResponse
	Release          *Release
	// Leaving is set in the last message of an instance that ends.
	Leaving         bool
	ReaderHeartbeat *ReaderHeartbeat
	TableUpdate     *TableUpdate
}

// ReaderHeartbeat is the sign of life of an instance that follows the store's feeds for
// its zone.
type ReaderHeartbeat struct {
	_ struct{} `cbor:",toarray"`

	// MirrorRevisions is how far each table's copy is complete. Without it the sender's way to
	// the store is not proved any more, and others must not rely on it.
	MirrorRevisions map[string]uint64
	// TargetsDigest is the digest of the targets that it knows.
	TargetsDigest uint64
}

// TableUpdate is what a feed brought: the changes of a table after From up to To that
// others must hear of. Newest is the revision of the newest change, told or not.
type TableUpdate struct {
	_ struct{} `cbor:",toarray"`

	Table        string
	From, To     uint64
	NewestChange uint64
	Changes      []RowChange
	// Fetch is set if the rows do not fit into a datagram: the sender gives
	// its copy to who asks for it.
	Fetch bool
}

// RowChange is a changed row.
type RowChange struct {
	_ struct{} `cbor:",toarray"`

	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// ReserveRequest asks for a slot of a target.
type ReserveRequest struct {
	_ struct{} `cbor:",toarray"`

	Seq         uint64
	Service     string
	Kind        uint32
	Target      string
	Zone        string
	Excluded    []string
	Priority    int
	RejectLate  bool
	ObjectiveMs int64
	DeadlineMs  int64
}

// ReserveResponse answers it: with a target, with Queued, or with a refusal.
type ReserveResponse struct {
	_ struct{} `cbor:",toarray"`

	Seq         uint64
	Target      string
	Started     int64
	Queued      bool
	NoTarget    bool
	WaitMs      int64
	QueueLength int
}

// Release gives a slot back, or withdraws a request for one.
type Release struct {
	_ struct{} `cbor:",toarray"`

	Seq    uint64
	Result int
	// HeldUs is how long the sender had the slot, in microseconds.
	HeldUs int64
}

// Heartbeat is the coordinator's sign of life.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`

	Term int64
	// LeaseRevision is the revision of the lease's row, and LeaseMs what it is good for.
	LeaseRevision uint64
	LeaseMs       int64
	// Members is how many instances report to the coordinator.
	Members int
	// Resigned is set in the last beat of a coordinator that gives up.
	Resigned bool
	// InDoubt is set while the store does not answer it.
	InDoubt bool
}

// AssignmentUpdate is a change of a service's assignment that was recorded in the store.
type AssignmentUpdate struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Term    int64
	// Base is the revision to which Pieces are the difference.
	Base     uint64
	Revision uint64
	// Part is one of Parts datagrams with the same Revision.
	Part   int
	Parts  int
	Pieces []ownership.Piece
}

// Report is what an instance tells the coordinator.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Loads []KeyLoad
	// Latencies are how long targets need for an answer, as far as the sender
	// decides for them.
	Latencies []TargetLatency
}

// TargetLatency is a target's usual time of an answer.
type TargetLatency struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Target  string
	Ms      int
}

// KeyLoad is the work on one key since the last report.
type KeyLoad struct {
	_ struct{} `cbor:",toarray"`

	Service string
	Key     int
	// Ms is time of a target's slot, in milliseconds.
	Ms int
}

// Instance is what an instance writes about itself into the store.
type Instance struct {
	_ struct{} `cbor:",toarray"`

	Name        string `json:"name"`
	Incarnation string `json:"life"`
	Zone        string `json:"zone"`
	Datagram    string `json:"datagram"`
	Control     string `json:"control"`
	// Cores is its share of a processor; 0 if it does not know.
	Cores float64 `json:"cores,omitempty"`
}
