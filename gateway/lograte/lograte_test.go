package lograte_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/gateway/lograte"
	"gotest.tools/v3/assert"
)

// A target answers nothing, and each of thousands of attempts writes a line.
// Other events' lines come through, and what was left out is counted.
func TestFrequentEventDoesNotSuppressOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(&lograte.Handler{Next: slog.NewJSONHandler(&out, nil), Limit: 5}).With("instance", "gw")
		for range 100 {
			event.AttemptFailed.Log(log, "request", "r")
		}
		event.ConfigInForce.Log(log, "version", 7)
		assert.Equal(t, strings.Count(out.String(), "attemptFailed"), 5)
		assert.Equal(t, strings.Count(out.String(), "configInForce"), 1)
		time.Sleep(time.Second)
		event.AttemptFailed.Log(log, "request", "s")
		assert.Equal(t, strings.Count(out.String(), "attemptFailed"), 6)
		assert.Assert(t, strings.Contains(out.String(), `"of":405,"lines":95`), out.String())
	})
}

func BenchmarkHandle(b *testing.B) {
	log := slog.New(&lograte.Handler{Next: slog.NewJSONHandler(io.Discard, nil)})
	for b.Loop() {
		event.AttemptFailed.Log(log, "request", "r")
	}
}
