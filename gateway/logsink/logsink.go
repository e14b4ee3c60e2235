// Package logsink writes log lines without blocking the goroutines that log.
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
	// queueCapacity is how many lines may wait for a slow output.
	queueCapacity = 2048
	// reportInterval is how often the number of dropped lines is logged.
	reportInterval = time.Second
)

// Sink is an io.Writer that queues lines, one per Write. Create it with New.
type Sink struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	// reportedDrops is how many dropped lines have been logged.
	reportedDrops uint64
	// BytesWritten counts the bytes written to the output.
	BytesWritten atomic.Uint64
}

// New returns a sink that writes to out while Serve runs.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: ring.New[[]byte](queueCapacity)}
}

// Write queues a line, or drops and counts it if the queue is full. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// Serve writes queued lines until the context ends, and then those still queued.
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

// writeOut writes a line. It ignores errors, since they could not be logged.
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
