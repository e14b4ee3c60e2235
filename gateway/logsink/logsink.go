// Package logsink writes log lines without ever making their writers wait.
package logsink

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"basilcross.example/basilcross/event"
	"basilcross.example/basilcross/ring"
)

const (
	// queueCapacity is how many lines may wait for a slow reader.
	queueCapacity = 2048
	// reportInterval is how often lines left out are counted in a line of their own.
	reportInterval = time.Second
)

// Sink is an io.Writer for one line each. Create it with New.
type Sink struct {
	out           io.Writer
	lines         *ring.Ring[[]byte]
	reportedDrops uint64
	// BytesWritten counts the bytes handed on.
	BytesWritten atomic.Uint64
}

// New returns a sink that writes to out as long as Serve runs.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: ring.New[[]byte](queueCapacity)}
}

// Write takes a line, or drops and counts it if too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	s.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// Serve writes lines until the context ends, and then those that wait.
func (s *Sink) Serve(ctx context.Context) error {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines.Items():
			s.writeOut(line)
		case <-tick.C:
			s.reportDrops()
		case <-ctx.Done():
			s.flush()
			return ctx.Err()
		}
	}
}

func (s *Sink) flush() {
	for {
		select {
		case line := <-s.lines.Items():
			s.writeOut(line)
		default:
			s.reportDrops()
			return
		}
	}
}

// writeOut writes a line. An error has nobody to be told to.
func (s *Sink) writeOut(line []byte) {
	n, _ := s.out.Write(line)
	s.BytesWritten.Add(uint64(max(n, 0)))
}

func (s *Sink) reportDrops() {
	dropped := s.lines.Dropped()
	if dropped == s.reportedDrops {
		return
	}
	event.LinesLeftOut.Log(slog.New(slog.NewJSONHandler(s.out, nil)), "lines", dropped-s.reportedDrops)
	s.reportedDrops = dropped
}
