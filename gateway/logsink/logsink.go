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
	// room is how many lines may wait for a slow reader.
	room = 2048
	// reportEvery is how often lines left out are counted in a line of their own.
	reportEvery = time.Second
)

// Sink is an io.Writer for one line each. Create it with New.
type Sink struct {
	out   io.Writer
	lines *ring.Ring[[]byte]
	told  uint64
	// Written counts the bytes handed on.
	Written atomic.Uint64
}

// New returns a sink that writes to out as long as Serve runs.
func New(out io.Writer) *Sink {
	return &Sink{out: out, lines: ring.New[[]byte](room)}
}

// Write takes a line, or drops and counts it if too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	s.lines.Offer(append([]byte(nil), line...))
	return len(line), nil
}

// Serve writes lines until the context ends, and then those that wait.
func (s *Sink) Serve(ctx context.Context) error {
	tick := time.NewTicker(reportEvery)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines.Items():
			s.put(line)
		case <-tick.C:
			s.report()
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
			s.put(line)
		default:
			s.report()
			return
		}
	}
}

// put writes a line. An error has nobody to be told to.
func (s *Sink) put(line []byte) {
	n, _ := s.out.Write(line)
	s.Written.Add(uint64(max(n, 0)))
}

func (s *Sink) report() {
	dropped := s.lines.Dropped()
	if dropped == s.told {
		return
	}
	event.LinesLeftOut.Log(slog.New(slog.NewJSONHandler(s.out, nil)), "lines", dropped-s.told)
	s.told = dropped
}
