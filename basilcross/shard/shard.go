// Package shard maps keys to shards, the ranges of a 64-bit hash space.
package shard

import (
	"fmt"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Shard is a contiguous, inclusive range of hashes with one owner.
type Shard struct {
	First uint64 `json:"first"`
	Last  uint64 `json:"last"`
	// Owner is the ID of the target that owns the shard; empty if none does.
	Owner string `json:"owner"`
	// Epoch grows with every change of owner or range, so that a target can
	// detect a request meant for an earlier owner.
	Epoch uint64 `json:"epoch"`
	// MovingTo is the ID of the next owner during a planned move.
	MovingTo string `json:"movingTo,omitempty"`
	// OwnerSince is the assignment version that set the current owner.
	OwnerSince uint64 `json:"since"`
}

// Contains reports whether the hash is in the shard.
func (s Shard) Contains(hash uint64) bool {
	return s.First <= hash && hash <= s.Last
}

// Hash returns the hash of a service's key.
func Hash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest never fail. The zero byte separates "a","bc" from "ab","c".
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Map is an immutable list of shards, in order, that cover the whole hash space.
// The zero value is empty.
type Map struct {
	shards      []Shard
	firstHashes []uint64
}

// GapError reports a list of shards that has a gap or an overlap in the hash space.
type GapError struct {
	// Hash is where the next shard should have begun.
	Hash uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("shards have a gap or an overlap at hash %#x", e.Hash)
}

// New returns a map of shards that cover every hash exactly once, or a *GapError.
func New(shards []Shard) (*Map, error) {
	sorted := slices.Clone(shards)
	slices.SortFunc(sorted, func(a, b Shard) int {
		if a.First < b.First {
			return -1
		}
		return 1
	})
	m := &Map{shards: sorted, firstHashes: make([]uint64, len(sorted))}
	next := uint64(0)
	for i, s := range sorted {
		if s.First != next || s.Last < s.First {
			return nil, &GapError{Hash: next}
		}
		m.firstHashes[i] = s.First
		next = s.Last + 1
	}
	if next != 0 || len(sorted) == 0 {
		return nil, &GapError{Hash: next}
	}
	return m, nil
}

// Find returns the shard that contains a hash; ok is false if the map is empty.
// It takes no lock and does not allocate.
func (m *Map) Find(hash uint64) (s Shard, ok bool) {
	if m == nil || len(m.shards) == 0 {
		return Shard{}, false
	}
	i := sort.Search(len(m.firstHashes), func(i int) bool { return m.firstHashes[i] > hash })
	return m.shards[i-1], true
}

// Shards returns the shards in order. The caller must not modify them.
func (m *Map) Shards() []Shard {
	if m == nil {
		return nil
	}
	return m.shards
}

// Split returns n shards without owners, of nearly equal width, that cover the
// whole hash space.
func Split(n int) []Shard {
	width := ^uint64(0)/uint64(n) + 1
	if n == 1 {
		width = 0
	}
	shards := make([]Shard, n)
	for i := range shards {
		shards[i] = Shard{First: uint64(i) * width, Last: uint64(i+1)*width - 1, Epoch: 1}
	}
	shards[n-1].Last = ^uint64(0)
	return shards
}
