// Package shard maps keys to ranges of a 64-bit hash space.
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
	// Owner is the target's identifier; empty means nobody.
	Owner string `json:"owner"`
	// Epoch grows with every change of owner or range, so that a target can
	// tell a request meant for an earlier owner.
	Epoch uint64 `json:"epoch"`
	// MovingTo is the next owner while a planned move is under way.
	MovingTo string `json:"movingTo,omitempty"`
	// OwnerSince is the assignment version that made the present owner.
	OwnerSince uint64 `json:"since"`
}

// Contains tells whether the hash lies in the shard.
func (s Shard) Contains(hash uint64) bool {
	return s.First <= hash && hash <= s.Last
}

// Hash places a key of a service in the hash space.
func Hash(service, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Digest's writes never fail. The zero byte keeps "a","bc" and "ab","c" apart.
	_, _ = d.WriteString(service)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Map is an immutable list of shards that covers the hash space in order.
// The zero value covers nothing.
type Map struct {
	shards      []Shard
	firstHashes []uint64
}

// GapError says where a list of shards leaves or doubles a part of the space.
type GapError struct {
	Hash uint64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("shards do not join after hash %#x", e.Hash)
}

// New checks that the shards cover the whole space once and returns their map.
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

// Find returns the shard of a hash; ok is false on an empty map. It takes no
// lock and allocates nothing.
func (m *Map) Find(hash uint64) (s Shard, ok bool) {
	if m == nil || len(m.shards) == 0 {
		return Shard{}, false
	}
	i := sort.Search(len(m.firstHashes), func(i int) bool { return m.firstHashes[i] > hash })
	return m.shards[i-1], true
}

// Shards returns the shards in order; the caller must not change them.
func (m *Map) Shards() []Shard {
	if m == nil {
		return nil
	}
	return m.shards
}

// Split divides the whole space into n shards of nearly equal width without
// owners.
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
