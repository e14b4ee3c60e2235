package logsink_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"basilcross.example/gateway/logsink"
	"gotest.tools/v3/assert"
)

// blockedWriter is a reader that takes nothing until it is let go.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Whoever reads the log stops reading. Requests must go on; what was left out
// is counted once the reader is back.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	sink := logsink.New(out)
	log := slog.New(slog.NewJSONHandler(sink, nil))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); _ = sink.Serve(ctx) }()
	for range 5000 {
		log.Info("line")
	}
	close(out.unblock)
	cancel()
	<-ended
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.text.String(), "linesLeftOut"))
	assert.Assert(t, strings.Count(out.text.String(), "\n") < 5000)
}
