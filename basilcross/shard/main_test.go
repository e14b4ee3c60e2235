package shard_test

import (
	"testing"

	"basilcross.example/basilcross/internal/seed"
)

func TestMain(m *testing.M) { seed.Main(m) }
