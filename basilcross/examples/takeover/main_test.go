package main

import (
	"bytes"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/golden"
)

func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		run(&out)
		golden.Assert(t, out.String(), "takeover.golden")
	})
}
