// Package peers is what instances tell each other in small datagrams: that the
// coordinator is there, how far each one's copies go, and the load on keys.
package peers

import "basilcross.example/basilcross/ownership"

// Message is a datagram. Exactly one of Beat, Report, News and Hello is set.
type Message struct {
	From string `json:"from"`
	// Life is the sender's lifetime: another one under the same name means
	// that the process was started anew.
	Life      string            `json:"life"`
	Revisions map[string]uint64 `json:"revisions,omitempty"`
	Beat      *Beat             `json:"beat,omitempty"`
	Report    *Report           `json:"report,omitempty"`
	News      *News             `json:"news,omitempty"`
	Hello     *Instance         `json:"hello,omitempty"`
}

// Beat is the coordinator's sign of life.
type Beat struct {
	Term int64 `json:"term"`
	// Lease is the revision of the lease's row, and LeaseMs what it is good for.
	Lease   uint64 `json:"lease"`
	LeaseMs int64  `json:"leaseMs"`
	// Members is how many instances report to the coordinator.
	Members int `json:"members"`
	// Resigned is set in the last beat of a coordinator that gives up.
	Resigned bool `json:"resigned,omitempty"`
}

// News is a change of a service's assignment that was recorded in the store.
type News struct {
	Service string `json:"service"`
	Term    int64  `json:"term"`
	// Base is the revision to which Pieces are the difference.
	Base     uint64            `json:"base"`
	Revision uint64            `json:"revision"`
	Pieces   []ownership.Piece `json:"pieces"`
}

// Report is what an instance tells the coordinator.
type Report struct {
	Loads []KeyLoad `json:"loads,omitempty"`
}

// KeyLoad is the work on one key since the last report.
type KeyLoad struct {
	Service string `json:"s"`
	Key     int    `json:"k"`
	// Ms is time of a target's slot, in milliseconds.
	Ms int `json:"m"`
}

// Instance is what an instance writes about itself into the store.
type Instance struct {
	Name     string `json:"name"`
	Life     string `json:"life"`
	Zone     string `json:"zone"`
	Datagram string `json:"datagram"`
	Control  string `json:"control"`
}
