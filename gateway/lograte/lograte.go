// Package lograte bounds how many log lines each event may write, so that one
// event that repeats under load neither costs the processor nor pushes the
// others' lines out.
package lograte

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"basilcross.example/basilcross/event"
)

const (
	// defaultLimit is how many lines an event may write in a window where Limit
	// is zero: more than an instance answers requests at the load it is made for.
	defaultLimit = 400
	// window is the time in which lines are counted.
	window = time.Second
)

// Handler is a slog.Handler that passes on a limited number of lines for each
// event, and counts the others in a line of their own. Next must be set.
type Handler struct {
	Next slog.Handler
	// Limit is how many lines an event may write in a second; zero is 400.
	Limit int

	counts *windowCounts
	once   sync.Once
}

// windowCounts are the lines of each event in the present window.
type windowCounts struct {
	mu    sync.Mutex
	start time.Time
	lines map[int64]int
}

// Enabled passes the question on.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.Next.Enabled(ctx, l) }

// WithAttrs returns a handler that counts together with this one.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{Next: h.Next.WithAttrs(a), Limit: h.Limit, counts: h.sharedCounts()}
}

// WithGroup returns a handler that counts together with this one.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{Next: h.Next.WithGroup(name), Limit: h.Limit, counts: h.sharedCounts()}
}

// Handle writes the line unless its event has written too many.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	c := h.sharedCounts()
	number := eventNumber(r)
	c.mu.Lock()
	left := c.rotate(r.Time, h.effectiveLimit())
	c.lines[number]++
	over := number != 0 && c.lines[number] > h.effectiveLimit()
	c.mu.Unlock()
	log := slog.New(h.Next)
	for n, lines := range left {
		event.LinesLeftOut.Log(log, "of", n, "lines", lines)
	}
	if over {
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

// rotate begins a new window if the present one is over, and returns how many
// lines of which events were left out in that.
func (c *windowCounts) rotate(now time.Time, limit int) map[int64]int {
	if now.Sub(c.start) < window {
		return nil
	}
	var left map[int64]int
	for n, seen := range c.lines {
		if n == 0 || seen <= limit {
			continue
		}
		if left == nil {
			left = map[int64]int{}
		}
		left[n] = seen - limit
	}
	c.start = now
	clear(c.lines)
	return left
}

// eventNumber returns the event's number; 0 if the line has none.
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
