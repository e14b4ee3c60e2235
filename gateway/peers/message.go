// Package peers is what instances tell each other in small datagrams: that the
// coordinator is there, how far each one's copies go, and the load on keys.
package peers

import "basilcross.example/basilcross/ownership"

// Message is a datagram, encoded as CBOR arrays: names of fields would be most
// of its bytes, and those between regions are paid. Exactly one of its pointers is set.
type Message struct {
	_ struct{} `cbor:",toarray"`

	From string
	// Life is the sender's lifetime: another one under the same name means
	// that the process was started anew.
	Life      string
	Revisions map[string]uint64
	Beat      *Beat
	Report    *Report
	News      *News
	Hello     *Instance
	Reserve   *Reserve
	Reserved  *Reserved
	Release   *Release
	// Bye is set in the last message of an instance that ends.
	Bye    bool
	Reader *Reader
	Rows   *Rows
}

// Reader is the sign of life of an instance that follows the store's feeds for
// its zone.
type Reader struct {
	_ struct{} `cbor:",toarray"`

	// Reached is how far each table's copy is complete. Without it the sender's way to
	// the store is not proved any more, and others must not rely on it.
	Reached map[string]uint64
	// Targets is the digest of the targets that it knows.
	Targets uint64
}

// Rows is what a feed brought: the changes of a table after From up to To that
// others must hear of. Newest is the revision of the newest change, told or not.
type Rows struct {
	_ struct{} `cbor:",toarray"`

	Table    string
	From, To uint64
	Newest   uint64
	Rows     []Row
	// Fetch is set if the rows do not fit into a datagram: the sender gives
	// its copy to who asks for it.
	Fetch bool
}

// Row is a changed row.
type Row struct {
	_ struct{} `cbor:",toarray"`

	Key      string
	Value    []byte
	Revision uint64
	Removed  bool
}

// Reserve asks for a slot of a target.
type Reserve struct {
	_ struct{} `cbor:",toarray"`

	Seq         uint64
	Service     string
	Kind        uint32
	Target      string
	Zone        string
	Excluded    []string
	Priority    int
	OnTime      bool
	ObjectiveMs int64
	DeadlineMs  int64
}

// Reserved answers it: with a target, with Queued, or with a refusal.
type Reserved struct {
	_ struct{} `cbor:",toarray"`

	Seq      uint64
	Target   string
	Born     int64
	Queued   bool
	NoTarget bool
	WaitMs   int64
	Waiting  int
}

// Release gives a slot back, or withdraws a request for one.
type Release struct {
	_ struct{} `cbor:",toarray"`

	Seq    uint64
	Result int
	// TookUs is how long the sender had the slot, in microseconds.
	TookUs int64
}

// Beat is the coordinator's sign of life.
type Beat struct {
	_ struct{} `cbor:",toarray"`

	Term int64
	// Lease is the revision of the lease's row, and LeaseMs what it is good for.
	Lease   uint64
	LeaseMs int64
	// Members is how many instances report to the coordinator.
	Members int
	// Resigned is set in the last beat of a coordinator that gives up.
	Resigned bool
	// InDoubt is set while the store does not answer it.
	InDoubt bool
}

// News is a change of a service's assignment that was recorded in the store.
type News struct {
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
	// Speeds are how long targets need for an answer, as far as the sender
	// decides for them.
	Speeds []Speed
}

// Speed is a target's usual time of an answer.
type Speed struct {
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

	Name     string `json:"name"`
	Life     string `json:"life"`
	Zone     string `json:"zone"`
	Datagram string `json:"datagram"`
	Control  string `json:"control"`
	// Cores is its share of a processor; 0 if it does not know.
	Cores float64 `json:"cores,omitempty"`
}
