package shard_test

import (
	"errors"
	"fmt"
	"testing"

	"basilcross.example/basilcross/shard"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func ExampleMap_Find() {
	shards := shard.Split(2)
	shards[0].Owner, shards[1].Owner = "t1", "t2"
	m, err := shard.New(shards)
	if err != nil {
		fmt.Println(err)
	}
	s, _ := m.Find(1 << 63)
	fmt.Println(s.Owner)
	// Output: t2
}

func TestFindReturnsShardOfHash(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, err := shard.New(shard.Split(rapid.IntRange(1, 5000).Draw(t, "shards")))
		assert.NilError(t, err)
		hash := rapid.Uint64().Draw(t, "hash")
		s, ok := m.Find(hash)
		assert.Assert(t, ok && s.Contains(hash))
	})
}

// A missing last shard, a gap between two shards and an empty list are refused.
func TestNewRefusesGaps(t *testing.T) {
	shards := shard.Split(4)
	var gap *shard.GapError
	_, err := shard.New(shards[:3])
	assert.Assert(t, errors.As(err, &gap))
	shards[2].First++
	_, err = shard.New(shards)
	assert.Assert(t, errors.As(err, &gap))
	_, err = shard.New(nil)
	assert.Assert(t, errors.As(err, &gap))
}
