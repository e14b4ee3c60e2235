package shard_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of random histories, so that a test gives the same
// verdict each time. Another one is tried by -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
