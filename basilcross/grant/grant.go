// Package grant is the protocol by which gateways give a target its shards for
// a time, and the guard by which a target keeps to it.
package grant

import (
	"fmt"
	"time"
)

// Path is where a target takes orders, by POST with a JSON body.
const Path = "/basilcross/grants"

// Request headers by which a target knows what a request was meant for.
const (
	EpochHeader    = "Basilcross-Epoch"
	HashHeader     = "Basilcross-Key-Hash"
	DeadlineHeader = "Basilcross-Deadline-Ms"
	// RefusedHeader marks an answer by which the target declares that the
	// request did not run. Its value is a Refused.
	RefusedHeader = "Basilcross-Refused"
)

// RefusalReason is why a target did not run a request.
type RefusalReason string

// The reasons of a target.
const (
	NotOwner     RefusalReason = "notOwner"
	LeaseExpired RefusalReason = "leaseLapsed"
	Moved        RefusalReason = "moved"
	Shed         RefusalReason = "shed"
	Leaving      RefusalReason = "leaving"
)

// Grant is a target's right to one shard.
type Grant struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	Epoch uint64 `json:"epoch"`
	// Revoked grants take no new work; the target reports when the last
	// request has finished.
	Revoked bool `json:"revoked,omitempty"`
}

// Order renews a target's lease. A zero Lease asks for the status only.
type Order struct {
	Renewer string `json:"renewer,omitempty"`
	// Incarnation and Stamp repeat what the target last said. The lease
	// counts from the moment at which the target issued the stamp.
	Incarnation string `json:"incarnation"`
	Stamp       uint64 `json:"stamp"`
	// Lease is in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Version is the assignment version of the grants.
	Version uint64 `json:"version"`
	// Grants are sent when Full is set, which is needed only when the target
	// has another version.
	Full   bool    `json:"full,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Status is a target's answer to an order.
type Status struct {
	Incarnation string `json:"incarnation"`
	Stamp       uint64 `json:"stamp"`
	// Version is the assignment version of the grants that the target holds.
	Version uint64 `json:"version"`
	// Renewed tells whether the order's lease was taken.
	Renewed bool      `json:"renewed"`
	Drained []Drained `json:"drained,omitempty"`
	// InFlight is the number of requests running.
	InFlight int `json:"inFlight"`
}

// Drained names a revoked grant without running requests.
type Drained struct {
	First uint64 `json:"first"`
	Epoch uint64 `json:"epoch"`
}

// RefusedError is returned by a guard for a request that must not run.
type RefusedError struct {
	Reason RefusalReason
	Hash   uint64
	Epoch  uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (hash %#x, epoch %d)", e.Reason, e.Hash, e.Epoch)
}
