// Package lograte limits the rate of log lines per event, so that an event that repeats
// under load neither uses much CPU time nor displaces the lines of other events.
package lograte

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
)

const (
	// defaultLimit is the lines per event and window if Limit is zero: more than the
	// requests that an instance answers in that time at its design load.
	defaultLimit = 400
	// window is the time over which lines are counted.
	window = time.Second
)

// Handler is a slog.Handler that passes a limited number of lines per event to Next,
// and logs the number of dropped ones. Next must be set.
type Handler struct {
	Next slog.Handler
	// Limit is the lines per second and event; zero means 400.
	Limit int

	counts *windowCounts
	once   sync.Once
}

// windowCounts counts the lines of each event number in the current window.
type windowCounts struct {
	mu    sync.Mutex
	start time.Time
	lines map[int64]int
}

// Enabled reports whether Next handles records of the level.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.Next.Enabled(ctx, l) }

// WithAttrs returns a handler with the attributes that shares the counts of this one.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{Next: h.Next.WithAttrs(a), Limit: h.Limit, counts: h.sharedCounts()}
}

// WithGroup returns a handler with the group that shares the counts of this one.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Next: h.Next.WithGroup(name), Limit: h.Limit, counts: h.sharedCounts()}
}

// Handle passes the record to Next unless its event has reached the limit. Records
// without an event number are not limited.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	c := h.sharedCounts()
	number := eventNumber(r)
	c.mu.Lock()
	dropped := c.rotate(r.Time, h.effectiveLimit())
	c.lines[number]++
	limited := number != 0 && c.lines[number] > h.effectiveLimit()
	c.mu.Unlock()
	log := slog.New(h.Next)
	for n, lines := range dropped {
		event.LinesLeftOut.Log(log, "of", n, "lines", lines)
	}
	if limited {
		return nil
	}
	return h.Next.Handle(ctx, r)
}

func (h *Handler) effectiveLimit() int {
	if h.Limit > 0 {
		return h.Limit
	}
	return defaultLimit
}

func (h *Handler) sharedCounts() *windowCounts {
	h.once.Do(func() {
		if h.counts == nil {
			h.counts = &windowCounts{lines: map[int64]int{}}
		}
	})
	return h.counts
}

// rotate starts a new window if the current one is over, and returns how many lines of
// each event were dropped in that one.
func (c *windowCounts) rotate(now time.Time, limit int) map[int64]int {
	if now.Sub(c.start) < window {
		return nil
	}
	var dropped map[int64]int
	for n, lines := range c.lines {
		if n == 0 || lines <= limit {
			continue
		}
		if dropped == nil {
			dropped = map[int64]int{}
		}
		dropped[n] = lines - limit
	}
	c.start = now
	clear(c.lines)
	return dropped
}

// eventNumber returns the event number of a record; 0 if it has none.
func eventNumber(r slog.Record) (number int64) {
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == event.NumberKey {
			number = a.Value.Int64()
			return false
		}
		return true
	})
	return number
}
