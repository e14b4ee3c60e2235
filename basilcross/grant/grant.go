// Package grant has the messages by which gateways grant shards to a target
// for the time of a lease, and the guard that enforces the grants there.
package grant

import (
	"fmt"
	"time"
)

// Path is where a target accepts an Order, by POST as JSON; it returns a Status.
const Path = "/basilcross/grants"

// Headers of requests to a target and of its responses.
const (
	EpochHeader    = "Basilcross-Epoch"       // epoch of the key's grant, decimal
	HashHeader     = "Basilcross-Key-Hash"    // hash of the key, hexadecimal
	DeadlineHeader = "Basilcross-Deadline-Ms" // time left for the request, ms
	// AttemptHeader has the ID of the attempt, which the target returns in its response.
	// Without it, each request is sent on a connection of its own: a late second response
	// to one request could be taken for the response to the next one.
	AttemptHeader = "Basilcross-Attempt"
	// RefusedHeader marks a response by which the target states that it did
	// not run the request. Its value is a RefusalReason.
	RefusedHeader = "Basilcross-Refused"
)

// RefusalReason states why a target did not run a request.
type RefusalReason string

// The reasons for which a target refuses a request.
const (
	NotOwner     RefusalReason = "notOwner"    // no grant for the key with this epoch
	LeaseExpired RefusalReason = "leaseLapsed" // the target's lease has expired
	Moved        RefusalReason = "moved"       // the grant is revoked
	Shed         RefusalReason = "shed"        // the target is overloaded
	Leaving      RefusalReason = "leaving"     // the target is shutting down
)

// Grant is a target's right to run requests for one shard: the keys with hashes
// from First to Last, both included.
type Grant struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	Epoch uint64 `json:"epoch"`
	// Revoked grants admit no new requests; the target reports the shard as
	// drained when the last running request has ended.
	Revoked bool `json:"revoked,omitempty"`
}

// Order renews a target's lease. One with a zero Lease only requests the status.
type Order struct {
	Renewer string `json:"renewer,omitempty"`
	// Incarnation and Stamp are copied from the target's last Status. The
	// lease starts at the time when the target issued the stamp.
	Incarnation string `json:"incarnation"`
	Stamp       uint64 `json:"stamp"`
	// Lease is the length of the lease, in nanoseconds.
	Lease time.Duration `json:"lease"`
	// Version is the assignment version of the grants.
	Version uint64 `json:"version"`
	// Grants are complete if Full is set, and absent otherwise. They are needed
	// only when the target has another version.
	Full   bool    `json:"full,omitempty"`
	Grants []Grant `json:"grants,omitempty"`
}

// Status is a target's response to an order.
type Status struct {
	Incarnation string `json:"incarnation"`
	Stamp       uint64 `json:"stamp"`
	// Version is the assignment version of the grants that the target holds.
	Version uint64 `json:"version"`
	// Renewed reports whether the target accepted the order's lease.
	Renewed bool      `json:"renewed"`
	Drained []Drained `json:"drained,omitempty"`
	// InFlight is the number of running requests.
	InFlight int `json:"inFlight"`
}

// Drained identifies a revoked grant for which no request is running.
type Drained struct {
	First uint64 `json:"first"`
	Epoch uint64 `json:"epoch"`
}

// RefusedError is returned by a Guard for a request that must not run.
type RefusedError struct {
	Reason RefusalReason
	Hash   uint64
	Epoch  uint64
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (hash %#x, epoch %d)", e.Reason, e.Hash, e.Epoch)
}
